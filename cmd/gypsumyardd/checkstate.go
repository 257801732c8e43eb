package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// The formats of the report.
const (
	formatText = "text"
	formatJSON = "json"
)

func checkStateCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-state",
		Usage:     "check a desired state before it is sent to the store",
		ArgsUsage: "FILE",
		Description: "FILE holds the desired state as JSON, as it is written to the store.\n" +
			"Exit codes: 0 no findings (differences are none), 1 findings, 2 a file that cannot be read or is no JSON, or wrong usage.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "`FILE` of the state in force, to show what differs"},
			&cli.StringFlag{Name: "format", Usage: "format of the report, text or json", Value: formatText},
		},
		Action:       checkState,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return inputError{err} },
	}
}

// A stateReport is the result of check-state.
type stateReport struct {
	Findings []statecheck.Finding `json:"findings"`
	// Differences is null if nothing was compared.
	Differences []platform.StateDifference `json:"differences"`
}

func checkState(_ context.Context, c *cli.Command) error {
	format := c.String("format")
	if c.NArg() != 1 {
		return inputError{errors.New("want one file with a desired state")}
	}
	if format != formatText && format != formatJSON {
		return inputError{fmt.Errorf("unknown format %q, want %s or %s", format, formatText, formatJSON)}
	}
	state, err := readState(c.Args().First())
	if err != nil {
		return err
	}
	r := stateReport{Findings: []statecheck.Finding{}}
	r.Findings = append(r.Findings, state.Findings(lineowner.MinConnections)...)
	if c.IsSet("against") {
		old, err := readState(c.String("against"))
		if err != nil {
			return err
		}
		differences, findings := state.Compare(old)
		r.Differences, r.Findings = differences, append(r.Findings, findings...)
	}
	write := r.writeText
	if format == formatJSON {
		write = r.writeJSON
	}
	if err := write(c.Root().Writer); err != nil {
		return err
	}
	if len(r.Findings) > 0 {
		return fmt.Errorf("errors: %d, warnings: %d", statecheck.Count(r.Findings, statecheck.Error), statecheck.Count(r.Findings, statecheck.Warning))
	}
	return nil
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

func (r stateReport) writeJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

func (r stateReport) writeText(w io.Writer) error {
	var out bytes.Buffer
	for _, f := range r.Findings {
		path := f.Path
		if path != "" {
			path += ": "
		}
		fmt.Fprintf(&out, "%s %s%s [%s]\n", f.Severity, path, f.Text, f.Kind)
	}
	for _, d := range r.Differences {
		switch {
		case d.From == "":
			fmt.Fprintf(&out, "added %s\n", withValue(d.Path, d.To))
		case d.To == "":
			fmt.Fprintf(&out, "removed %s\n", withValue(d.Path, d.From))
		default:
			fmt.Fprintf(&out, "changed %s: %s -> %s\n", d.Path, d.From, d.To)
		}
	}
	_, err := out.WriteTo(w)
	return err
}

// withValue returns the path with the value that was added or removed there. Entries as a
// whole have none.
func withValue(path, value string) string {
	if value == statecheck.Present {
		return path
	}
	return path + ": " + value
}
