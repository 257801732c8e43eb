package main

import (
	"context"
	"fmt"

	"github.com/gypsumyard/gypsumyard/internal/listcheck"
	"github.com/gypsumyard/gypsumyard/internal/statecheck"
	"github.com/urfave/cli/v3"
)

func checkListsCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check the lists before their entries are put",
		ArgsUsage: "FILE",
		Description: "FILE holds an object with the fields plans, customers and databases, each with the entries by name, comments allowed.\n" +
			"Exit codes: 0 no findings (differences are none), 1 findings, 2 a file that cannot be read, or wrong usage.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "`FILE` of the lists in force, to show what differs"},
			&cli.StringFlag{Name: "format", Usage: "format of the report, text or json", Value: string(statecheck.FormatText)},
		},
		Action: checkLists,
	}
}

func checkLists(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError{fmt.Errorf("want %s", c.ArgsUsage)}
	}
	format, err := statecheck.ParseFormat(c.String("format"))
	if err != nil {
		return usageError{err}
	}
	lists, err := readLists(c.Args().First())
	if err != nil {
		return usageError{err}
	}
	r := statecheck.Report{Findings: lists.Check()}
	if c.IsSet("against") {
		old, err := readLists(c.String("against"))
		if err != nil {
			return usageError{err}
		}
		r.Differences = lists.Compare(old)
	}
	if err := r.Write(c.Root().Writer, format); err != nil {
		return err
	}
	return r.Err()
}

func readLists(file string) (*listcheck.Lists, error) {
	text, err := readEntry(file)
	if err != nil {
		return nil, err
	}
	l, err := listcheck.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return l, nil
}
