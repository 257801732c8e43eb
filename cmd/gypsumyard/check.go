package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/urfave/cli/v3"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check settings files and report every mistake with line and column",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return usageError{errors.New("name at least one settings file")}
			}
			var mistakes error
			for _, f := range c.Args().Slice() {
				if _, err := config.Load(f); err != nil {
					mistakes = errors.Join(mistakes, err)
					continue
				}
				fmt.Fprintf(c.Root().Writer, "%s: ok\n", f)
			}
			if mistakes != nil {
				return usageError{mistakes}
			}
			return nil
		},
	}
}
