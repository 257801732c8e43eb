package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/operator"
	"github.com/gypsumyard/gypsumyard/internal/owner"
	"github.com/urfave/cli/v3"
)

// hostFlags returns the flags of the commands that call a running host.
func hostFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:    "host",
			Usage:   "operators' address of any host, `IP:PORT`",
			Sources: cli.EnvVars("GYPSUMYARD_HOST"),
			Value:   "127.0.0.1:6434",
		},
		&cli.StringFlag{
			Name:    "token",
			Usage:   "operators' `TOKEN` of the host",
			Sources: cli.EnvVars("GYPSUMYARD_TOKEN"),
		},
	}
}

func newClient(c *cli.Command) (*operator.Client, error) {
	addr, err := netip.ParseAddrPort(c.String("host"))
	if err != nil {
		return nil, usageError{fmt.Errorf("--host: %w", err)}
	}
	return operator.NewClient(addr, c.String("token")), nil
}

// noArguments returns a usage error if there are arguments, which the command
// would ignore.
func noArguments(c *cli.Command) error {
	if c.Args().Present() {
		return usageError{errors.New("the command takes no arguments")}
	}
	return nil
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show a host's view: members, databases with their owners, lists",
		Flags: append(hostFlags(), &cli.BoolFlag{Name: "json", Usage: "print JSON"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			o, err := newClient(c)
			if err != nil {
				return err
			}
			s, err := o.Status(ctx)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(c, s)
			}
			return printStatus(c, s)
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "make a host finish all requests in flight, hand over its databases and end",
		Flags: hostFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			o, err := newClient(c)
			if err != nil {
				return err
			}
			return o.Drain(ctx)
		},
	}
}

func printJSON(c *cli.Command, v any) error {
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func printStatus(c *cli.Command, s operator.Status) error {
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "host\t%s\t%s\tready=%v\tdraining=%v\tlists-complete-to=%d\n",
		s.Host.Name, s.Host.FailureDomain, s.Ready, s.Draining, s.CompleteTo)
	for _, h := range s.Members {
		fmt.Fprintf(w, "member\t%s\t%s\t%s\t%s\n", h.Name, h.FailureDomain, h.State, h.Addr)
	}
	for _, d := range s.Databases {
		if err := printDatabase(w, d); err != nil {
			return err
		}
	}
	return w.Flush()
}

// printDatabase prints a database, and its instances if the host owns it.
func printDatabase(w io.Writer, d operator.DatabaseStatus) error {
	fmt.Fprintf(w, "database\t%s\towner=%s", d.Name, d.Owner)
	if len(d.Detail) == 0 {
		fmt.Fprintln(w)
		return nil
	}
	var detail owner.Description
	if err := json.Unmarshal(d.Detail, &detail); err != nil {
		return fmt.Errorf("status of database %s: %w", d.Name, err)
	}
	fmt.Fprintf(w, "\tprimary=%s\tposition=%s\tqueued=%d\trunning=%d\topen-transactions=%d\n",
		detail.Primary, detail.Position, detail.Queued, detail.Running, detail.OpenTransactions)
	for _, i := range detail.Instances {
		fmt.Fprintf(w, "instance\t%s\t%s\treachable=%v\tleaving=%v\tposition=%s\tfence=%d\tlag=%s\tconnections=%d/%d\n",
			i.Name, i.Role, i.Reachable, i.Leaving, i.Position, i.Fence, time.Duration(i.Lag), i.ConnectionsUsed, i.Connections)
	}
	return nil
}
