package slopes

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/caller"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
)

const (
	// statementsPerSession is the target rate: 2,800 statements a second from
	// 4,900 sessions on a host.
	statementsPerSession = 2800.0 / 4900
	measurementWindow    = 2 * time.Second
	stopTimeout          = 10 * time.Second
)

func sessionExperiments() []Experiment {
	sizes := []int{600, 1800, 4900}
	return []Experiment{
		{
			Name: "session-idle", Item: "sessions", Sizes: sizes,
			About: "callers that are logged in and silent; memory after log-in, and after use by 3 statements each; less one socket each for the client",
			run:   idleSessions,
		},
		{
			Name: "session-active", Item: "sessions", Sizes: sizes,
			About: "callers with 0.57 statements/s each against an executor that answers at once; less the clients",
			run:   activeSessions,
		},
	}
}

// startCaller starts the service that accepts callers, with fakes of the other
// services.
func startCaller(ctx context.Context) (s *caller.Server, stop func() error, err error) {
	verifier, err := caller.Verifier(password)
	if err != nil {
		return nil, nil, err
	}
	s = caller.New(netip.MustParseAddrPort("127.0.0.1:0"), caller.WithLogger(discardLogger()))
	k, err := kernel.New(s, fixedExecutor{"dispatch"}, newFixedLists(verifier, gypsumyard.Database{Name: "appraisal"}), singleHost{"members"})
	if err != nil {
		return nil, nil, err
	}
	if err := k.Start(ctx); err != nil {
		return nil, nil, err
	}
	return s, func() error { return stopKernel(k) }, nil
}

func stopKernel(k *kernel.Kernel) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return k.Stop(ctx)
}

func idleSessions(ctx context.Context, _ *env, size int) (sample Sample, err error) {
	sockets, err := socketMemory(size)
	if err != nil {
		return nil, err
	}
	login, err := loginClientTime()
	if err != nil {
		return nil, err
	}
	s, stop, err := startCaller(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, stop()) }()
	before := readMemory()
	cpu := cpuTime()
	conns, err := connectCallers(ctx, s.Addr(), "appraisal", size)
	if err != nil {
		return nil, err
	}
	defer func() { closeAll(conns) }()
	opened := cpuTime() - cpu - time.Duration(size)*login
	idle := readMemory().since(before)
	used, err := cpuPerSecond(func() error { time.Sleep(measurementWindow); return nil })
	if err != nil {
		return nil, err
	}
	buf := make([]byte, 16<<10)
	const statements = 3
	for i := range statements * size {
		if err := roundTrip(conns[i%size], queryBytes(lookupSQL), buf); err != nil {
			return nil, fmt.Errorf("statement %d: %w", i, err)
		}
	}
	after := readMemory().since(before)
	return Sample{
		CPU: used, LoginCPU: micros(opened), Goroutines: idle.routines,
		Heap: idle.heap - sockets, Stack: idle.stack,
		HeapUsed: after.heap - sockets, StackUsed: after.stack,
	}, nil
}

func activeSessions(ctx context.Context, _ *env, size int) (sample Sample, err error) {
	l := load{query: queryBytes(lookupSQL), rate: statementsPerSession * float64(size), time: measurementWindow}
	clients, err := l.clientCPU(size, rowAnswer)
	if err != nil {
		return nil, err
	}
	s, stop, err := startCaller(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, stop()) }()
	conns, err := connectCallers(ctx, s.Addr(), "appraisal", size)
	if err != nil {
		return nil, err
	}
	defer func() { closeAll(conns) }()
	readMemory()
	bytes := allocated()
	used, err := cpuPerSecond(func() error { return l.run(conns) })
	bytes = allocated() - bytes
	return Sample{
		CPU:       used - clients,
		Allocated: bytes / l.time.Seconds(),
		Wire:      l.rate * float64(len(l.query)+len(rowAnswer)),
	}, err
}
