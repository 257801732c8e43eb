package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/gypsumyard/gypsumyard/internal/lineowner"
	"github.com/gypsumyard/gypsumyard/internal/statecheck"
	"github.com/gypsumyard/gypsumyard/platform"
	"github.com/urfave/cli/v3"
)

// exitInput is the exit code of check-state for files that cannot be read or are no JSON,
// and for wrong usage.
const exitInput = 2

// An inputError is an error that makes the command exit with exitInput.
type inputError struct{ error }

func (e inputError) Unwrap() error { return e.error }

func checkStateCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-state",
		Usage:     "check a desired state before it is sent to the store",
		ArgsUsage: "FILE",
		Description: "FILE holds the desired state as JSON, as it is written to the store.\n" +
			"Exit codes: 0 no findings (differences are none), 1 findings, 2 a file that cannot be read or is no JSON, or wrong usage.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "`FILE` of the state in force, to show what differs"},
			&cli.StringFlag{Name: "format", Usage: "format of the report, text or json", Value: string(statecheck.FormatText)},
		},
		Action:       checkState,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return inputError{err} },
	}
}

func checkState(_ context.Context, c *cli.Command) error {
	if c.NArg() != 1 {
		return inputError{errors.New("want one file with a desired state")}
	}
	format, err := statecheck.ParseFormat(c.String("format"))
	if err != nil {
		return inputError{err}
	}
	state, err := readState(c.Args().First())
	if err != nil {
		return err
	}
	r := statecheck.Report{Findings: state.Findings(lineowner.MinConnections)}
	if c.IsSet("against") {
		old, err := readState(c.String("against"))
		if err != nil {
			return err
		}
		differences, findings := state.Compare(old)
		r.Differences, r.Findings = differences, append(r.Findings, findings...)
	}
	if err := r.Write(c.Root().Writer, format); err != nil {
		return err
	}
	return r.Err()
}

func readState(path string) (s *platform.StateText, err error) {
	defer func() {
		if err != nil {
			err = inputError{err}
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if s, err = platform.ParseState(text); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}
