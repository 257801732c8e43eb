package main

import (
	"context"
	"fmt"
	"net/netip"
	"text/tabwriter"

	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/site"
	"github.com/urfave/cli/v3"
)

func emulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulate",
		Usage: "run emulated upstreams and platform, for hosts that run in processes of their own",
		Flags: append(siteFlags(),
			&cli.StringFlag{Name: "platform", Usage: "`IP:PORT` of the platform's service", Value: "127.0.0.1:7000"},
			&cli.StringFlag{Name: "control", Usage: "`IP:PORT` at which faults are switched", Value: "127.0.0.1:7001"},
			&cli.StringSliceFlag{Name: "settings", Usage: "settings `FILE` of a host to put on the platform's list; may be given several times"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			options, err := emulateOptions(c)
			if err != nil {
				return usageError{err}
			}
			d, err := site.ByName(c.String("deployment"))
			if err != nil {
				return usageError{err}
			}
			s, err := site.Start(ctx, d, options...)
			if err != nil {
				return err
			}
			if err := printEmulators(c, s); err != nil {
				return err
			}
			<-ctx.Done()
			stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			return s.Close(stop)
		},
	}
}

func emulateOptions(c *cli.Command) (options []site.Option, err error) {
	platform, err := netip.ParseAddrPort(c.String("platform"))
	if err != nil {
		return nil, fmt.Errorf("--platform: %w", err)
	}
	control, err := netip.ParseAddrPort(c.String("control"))
	if err != nil {
		return nil, fmt.Errorf("--control: %w", err)
	}
	options = []site.Option{site.WithHosts(0), site.WithPlatform(platform), site.WithControl(control)}
	for _, f := range c.StringSlice("settings") {
		member, err := config.Load(f)
		if err != nil {
			return nil, err
		}
		options = append(options, site.WithListedHosts(member))
	}
	return options, nil
}

func printEmulators(c *cli.Command, s *site.Site) error {
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "platform\t%s\n", s.Environment.Store().Addr())
	fmt.Fprintf(w, "faults and journal\thttp://%s\n", s.Environment.Control())
	for _, g := range s.Environment.Groups() {
		for _, in := range g.Instances() {
			fmt.Fprintf(w, "instance %s\t%s\n", in.Name(), in.Upstream().Addr)
		}
	}
	return w.Flush()
}
