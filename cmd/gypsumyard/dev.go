package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/site"
	"github.com/urfave/cli/v3"
)

// secondSignal returns a channel that receives the next SIGINT or SIGTERM.
func secondSignal() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	return c
}

// siteFlags returns the flags of the commands that run an emulated site.
func siteFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "deployment", Usage: "`NAME` of the deployment: kimberley or svellfraedi", Value: "kimberley"},
		&cli.StringFlag{Name: "log", Usage: "log `LEVEL`: error, warning, info or debug", Value: "warning"},
	}
}

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run emulated upstreams and several hosts in this process, on loopback",
		Flags: append(siteFlags(),
			&cli.IntFlag{Name: "hosts", Usage: "`NUMBER` of hosts", Value: 3},
			&cli.Uint16Flag{Name: "base-port", Usage: "host i listens from `PORT` + 10 i; 0 takes free ports", Value: 6432},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			d, err := site.ByName(c.String("deployment"))
			if err != nil {
				return usageError{err}
			}
			s, err := site.Start(ctx, d,
				site.WithHosts(c.Int("hosts")),
				site.WithBasePort(c.Uint16("base-port")),
				site.WithLog(config.Log{Level: c.String("log"), Format: "text", Decisions: 1}))
			if err != nil {
				return err
			}
			if err := printSite(c, d, s); err != nil {
				return err
			}
			<-ctx.Done()
			stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			return s.Close(stop)
		},
	}
}

// printSite prints the addresses of the site and how to connect to it.
func printSite(c *cli.Command, d site.Deployment, s *site.Site) error {
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "deployment\t%s\n", d.Name)
	fmt.Fprintf(w, "faults and journal\thttp://%s\n", s.Environment.Control())
	for _, h := range s.Hosts() {
		l := h.Settings().Listen
		fmt.Fprintf(w, "host %s\tcallers %s\toperators %s\n", h.Settings().Host.Name, l.Callers, l.Operators)
	}
	customer := d.Customers[0]
	for _, b := range d.Databases {
		fmt.Fprintf(w, "connect\tpsql '%s'\n", s.URL(s.Hosts()[0], customer.Logins[0].Name, customer.Name, b.Name))
	}
	fmt.Fprintln(w, "stop with Ctrl-C")
	return w.Flush()
}
