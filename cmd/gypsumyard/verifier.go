package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gypsumyard/gypsumyard/internal/caller"
	"github.com/urfave/cli/v3"
)

func verifierCommand() *cli.Command {
	return &cli.Command{
		Name:  "verifier",
		Usage: "read a password from standard input and print the verifier of a login",
		Description: "The password is the first line without its end. Each run prints another verifier,\n" +
			"because each has a salt of its own.",
		Action: func(_ context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			password, err := readPassword(os.Stdin)
			if err != nil {
				return err
			}
			v, err := caller.Verifier(password)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.Root().Writer, v)
			return err
		},
	}
}

// readPassword returns the first line of r without the line ending.
func readPassword(r io.Reader) (string, error) {
	line, err := bufio.NewReader(r).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return "", fmt.Errorf("read the password: %w", err)
	}
	line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
	if line == "" {
		return "", usageError{errors.New("standard input holds no password")}
	}
	return line, nil
}
