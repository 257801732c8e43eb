package main

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/host"
	"github.com/urfave/cli/v3"
)

// startTimeout limits the start of a host. stopTimeout limits the stop of a host
// after a second signal, and of an emulated site.
const (
	startTimeout = 30 * time.Second
	stopTimeout  = 5 * time.Second
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one host",
		Description: "SIGINT and SIGTERM drain the host: requests in flight finish, databases are handed over.\n" +
			"A second signal ends it at once.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE` in JSON with comments", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			s, err := config.Load(c.String("config"))
			if err != nil {
				return usageError{err}
			}
			h, err := host.New(s)
			if err != nil {
				return err
			}
			return serve(ctx, h)
		},
	}
}

// serve runs the host until it has been drained by an operator. When ctx is done,
// it drains the host itself.
func serve(ctx context.Context, h *host.Host) error {
	start, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := h.Start(start); err != nil {
		return err
	}
	select {
	case <-h.Done():
		return nil
	case <-ctx.Done():
	}
	drained := make(chan error, 1)
	go func() { drained <- h.Drain(context.Background()) }()
	select {
	case err := <-drained:
		return err
	case <-secondSignal():
		stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		return errors.Join(errors.New("ended by a second signal"), h.Stop(stop))
	}
}
