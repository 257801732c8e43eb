package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/gypsumyard/gypsumyard/internal/slopes"
	"github.com/urfave/cli/v3"
)

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure what one more session, database, host or message costs",
		Description: "Runs each experiment at several sizes in this process, on loopback, and prints the\n" +
			"slope of each measure. Processor time is that of the process less the stand-ins'.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "only", Usage: "`NAME` of an experiment; may be given several times"},
			&cli.BoolFlag{Name: "list", Usage: "list the experiments and run none"},
			&cli.IntFlag{Name: "repeats", Usage: "`NUMBER` of runs at each size", Value: 3},
			&cli.Uint64Flag{Name: "seed", Usage: "`NUMBER` from which random choices are drawn", Value: 1},
			&cli.StringFlag{Name: "json", Usage: "write the results to `FILE`"},
			&cli.BoolFlag{Name: "quiet", Usage: "report no progress"},
		},
		Action: runSlopes,
	}
}

func runSlopes(ctx context.Context, c *cli.Command) error {
	if err := noArguments(c); err != nil {
		return err
	}
	if c.Bool("list") {
		for _, x := range slopes.Experiments() {
			fmt.Fprintf(c.Root().Writer, "%s: %s\n", x.Name, x.About)
		}
		return nil
	}
	o := slopes.Options{Only: c.StringSlice("only"), Repeats: c.Int("repeats"), Seed: c.Uint64("seed")}
	if !c.Bool("quiet") {
		o.Progress = func(format string, args ...any) {
			fmt.Fprintf(c.Root().ErrWriter, format+"\n", args...)
		}
	}
	results, err := slopes.Run(ctx, o)
	if err != nil {
		return errors.Join(err, slopes.WriteTable(c.Root().Writer, results))
	}
	if f := c.String("json"); f != "" {
		data, err := json.MarshalIndent(results, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(f, data, 0o644); err != nil {
			return err
		}
	}
	return slopes.WriteTable(c.Root().Writer, results)
}
