package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/bench"
	"github.com/urfave/cli/v3"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "play the load of a deployment with faults and report the measures",
		Description: "Runs emulated upstreams, hosts and clients in this process, on loopback.\n" +
			"The exit code is 1 if anything that must always hold was violated.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "`NAME` of the deployment: kimberley or svellfraedi", Value: "kimberley"},
			&cli.IntFlag{Name: "hosts", Usage: "`NUMBER` of hosts", Value: 7},
			&cli.DurationFlag{Name: "duration", Usage: "length of the load", Value: 20 * time.Second},
			&cli.FloatFlag{Name: "rate", Usage: "`FACTOR` on all arrival rates", Value: 1},
			&cli.Uint64Flag{Name: "seed", Usage: "`NUMBER` from which arrivals and choices are drawn", Value: 1},
			&cli.StringFlag{Name: "scenario", Usage: "`FILE` with faults, in JSON with comments"},
			&cli.BoolFlag{Name: "baseline", Usage: "run the naive proxy: a slice of connections on each host, first come first served, all to the primary, no promotion"},
			&cli.DurationFlag{Name: "lag", Usage: "replication lag in place of the deployment's"},
			&cli.StringMapFlag{Name: "boost", Usage: "`KIND=FACTOR` on the arrival rate of one kind; may be given several times"},
			&cli.StringFlag{Name: "json", Usage: "write the result to `FILE`"},
			&cli.BoolFlag{Name: "quiet", Usage: "report no progress"},
		},
		Commands: []*cli.Command{plotCommand()},
		Action:   runBench,
	}
}

func plotCommand() *cli.Command {
	return &cli.Command{
		Name:      "plot",
		Usage:     "draw the latencies of results that --json has written, side by side",
		ArgsUsage: "RESULT...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "output", Usage: "PNG `FILE`", Value: "latency.png"}},
		Action: func(_ context.Context, c *cli.Command) error {
			var results []bench.Result
			for _, f := range c.Args().Slice() {
				data, err := os.ReadFile(f)
				if err != nil {
					return usageError{err}
				}
				var r bench.Result
				if err := json.Unmarshal(data, &r); err != nil {
					return usageError{fmt.Errorf("%s: %w", f, err)}
				}
				results = append(results, r)
			}
			return bench.Plot(c.String("output"), results...)
		},
	}
}

func runBench(ctx context.Context, c *cli.Command) error {
	if err := noArguments(c); err != nil {
		return err
	}
	o := bench.Options{
		Deployment: c.String("deployment"), Hosts: c.Int("hosts"), Duration: c.Duration("duration"),
		Rate: c.Float("rate"), Seed: c.Uint64("seed"), Baseline: c.Bool("baseline"), ReplicationLag: c.Duration("lag"),
		Boost: map[string]float64{},
	}
	for kind, text := range c.StringMap("boost") {
		var factor float64
		if _, err := fmt.Sscan(text, &factor); err != nil {
			return usageError{fmt.Errorf("--boost %s=%s: %w", kind, text, err)}
		}
		o.Boost[kind] = factor
	}
	if f := c.String("scenario"); f != "" {
		s, err := bench.LoadScenario(f)
		if err != nil {
			return usageError{err}
		}
		o.Scenario = s
	}
	if !c.Bool("quiet") {
		o.Progress = func(format string, args ...any) {
			fmt.Fprintf(c.Root().ErrWriter, format+"\n", args...)
		}
	}
	result, err := bench.Run(ctx, o)
	if err != nil {
		return err
	}
	if f := c.String("json"); f != "" {
		data, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(f, data, 0o644); err != nil {
			return err
		}
	}
	if err := result.WriteSummary(c.Root().Writer); err != nil {
		return err
	}
	if n := len(result.Violations); n > 0 && !o.Baseline {
		return fmt.Errorf("%d violations", n)
	}
	return nil
}
