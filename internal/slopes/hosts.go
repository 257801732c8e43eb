package slopes

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/host"
	"github.com/gypsumyard/gypsumyard/internal/site"
	"github.com/sirupsen/logrus"
)

func hostExperiments() []Experiment {
	return []Experiment{{
		Name: "host-rest", Item: "hosts", Sizes: []int{12, 24, 48},
		About: "whole hosts of one region without callers and databases: heartbeats to 8 others, comparison of the lists, metrics, ticks; the emulated platform is not taken off",
		run:   idleHosts,
	}}
}

const (
	// hostSettle is the time until the membership tables of all hosts agree.
	hostSettle = 4 * time.Second
	// hostWindow is long enough for several rounds of all periodic work.
	hostWindow = 5 * time.Second
)

// basePort returns a port below the ephemeral range of the system, so that the
// connections of many hosts do not occupy the ports of hosts that have not yet
// started.
func basePort() uint16 {
	const first, span, places = 20000, 500, 20
	return uint16(first + span*(os.Getpid()%places))
}

func idleHosts(ctx context.Context, _ *env, n int) (sample Sample, err error) {
	before := readMemory()
	s, err := site.Start(ctx, emptyDeployment(), site.WithHosts(n), site.WithBasePort(basePort()), site.WithLog(config.Log{Level: logrus.ErrorLevel.String(), Format: "json"}),
		site.WithHostOptions(host.WithLogger(discardLogger())))
	if err != nil {
		return nil, err
	}
	defer func() {
		stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		err = errors.Join(err, s.Close(stop))
	}()
	time.Sleep(hostSettle)
	used, err := cpuPerSecond(func() error { time.Sleep(hostWindow); return nil })
	held := readMemory().since(before)
	return Sample{CPU: used, Heap: held.heap, Stack: held.stack, Goroutines: held.routines}, err
}
