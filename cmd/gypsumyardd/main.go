// Command gypsumyardd runs one host of the proxy on the users' platform. It
// loads its settings from the file that the platform names in an environment
// variable.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/gypsumyard/gypsumyard/internal/linehost"
	"github.com/gypsumyard/gypsumyard/internal/logs"
	"github.com/gypsumyard/gypsumyard/internal/metrics"
	"github.com/gypsumyard/gypsumyard/platform"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

func main() {
	os.Exit(run(os.Args))
}

// run executes the command line and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newCommand().Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "gypsumyardd:", err)
	if errors.As(err, new(inputError)) {
		return exitInput
	}
	return 1
}

func newCommand() *cli.Command {
	settings := &cli.StringFlag{
		Name:    "settings",
		Usage:   "settings `FILE` of the platform",
		Sources: cli.EnvVars(platform.SettingsVariable),
	}
	return &cli.Command{
		Name:  "gypsumyardd",
		Usage: "run one host on the platform",
		Flags: []cli.Flag{
			settings,
			&cli.Uint16Flag{Name: "metrics-port", Usage: "`PORT` at which /metrics is served, 0 for none"},
			&cli.StringFlag{Name: "log-level", Usage: "least `LEVEL` of log lines", Value: "info"},
		},
		Action: serve,
		Commands: []*cli.Command{{
			Name:   "check",
			Usage:  "check the settings file and exit",
			Action: check,
		}, {
			Name:      "explain",
			Usage:     "show what the logs of the hosts say of a request and what happened around it",
			ArgsUsage: "REQUEST LOG...",
			Action:    explain,
		}, checkStateCommand()},
	}
}

func check(_ context.Context, c *cli.Command) error {
	_, err := platform.LoadSettings(c.String("settings"))
	return err
}

func explain(_ context.Context, c *cli.Command) (err error) {
	if c.NArg() < 2 {
		return errors.New("want the id of a request and the logs of the hosts")
	}
	var files []io.Reader
	for _, path := range c.Args().Slice()[1:] {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		files = append(files, f)
	}
	return logs.Explain(os.Stdout, c.Args().First(), files...)
}

func serve(ctx context.Context, c *cli.Command) error {
	s, err := platform.LoadSettings(c.String("settings"))
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(c.String("log-level"))
	if err != nil {
		return err
	}
	out := logs.NewWriter(os.Stdout)
	defer out.Close()
	log := logs.New(out, level)
	defer logReloads(log)()
	registry := prometheus.NewRegistry()
	scope, closer := metrics.NewScope(registry)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	h, err := linehost.New(s, linehost.WithLogger(log), linehost.WithMetrics(scope),
		linehost.WithMetricsHandler(c.Uint16("metrics-port"), mux))
	if err != nil {
		return errors.Join(err, closer.Close())
	}
	return errors.Join(h.Run(ctx), closer.Close())
}

// logReloads logs each SIGHUP, with which the platform requests a reload of the
// settings. There is nothing to reload: no setting that the platform changes
// for a running process is used after the start of the process.
func logReloads(log logrus.FieldLogger) (stop func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	go func() {
		for range c {
			log.Info("reload requested, settings unchanged")
		}
	}()
	return func() {
		signal.Stop(c)
		close(c)
	}
}
