package group

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/engine"
	"github.com/gypsumyard/gypsumyard/internal/loopback"
	"golang.org/x/sync/semaphore"
)

// An Instance is one member of a group.
type Instance struct {
	group  *Group
	name   string
	domain string
	engine *engine.Engine
	clock  gypsumyard.Clock
	slots  *semaphore.Weighted

	mu           sync.Mutex
	addr         netip.AddrPort
	listener     net.Listener
	running      bool
	work         sync.WaitGroup
	conns        map[*faultConn]bool
	sessions     map[uint32]*session
	lastPID      uint32
	peak         int
	counters     map[string]int64
	lastReceived time.Time

	frozen      bool
	partitioned bool
	isolated    bool
	lag, jitter time.Duration
	// gate is nil while clients are served. While a fault blocks them, it is a
	// channel that is closed when they are served again.
	gate chan struct{}
}

func newInstance(g *Group, name, domain string, e *engine.Engine) *Instance {
	return &Instance{
		group:    g,
		name:     name,
		domain:   domain,
		engine:   e,
		clock:    g.config.clock,
		slots:    semaphore.NewWeighted(int64(g.config.slots)),
		conns:    map[*faultConn]bool{},
		sessions: map[uint32]*session{},
		counters: map[string]int64{},
		lag:      g.config.lag,
		jitter:   g.config.jitter,
	}
}

// Name returns the instance's name.
func (in *Instance) Name() string { return in.name }

// Upstream returns the instance's name, address and failure domain.
func (in *Instance) Upstream() gypsumyard.Upstream {
	in.mu.Lock()
	defer in.mu.Unlock()
	return gypsumyard.Upstream{Name: in.name, Addr: in.addr, FailureDomain: in.domain}
}

// listen starts to accept connections: at a free port the first time, at the
// same port after a restart.
func (in *Instance) listen() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.running {
		return nil
	}
	l, err := listenAt(in.addr)
	if err != nil {
		return fmt.Errorf("instance %s: %w", in.name, err)
	}
	in.listener, in.running, in.lastReceived = l, true, in.clock.Now()
	in.addr = l.Addr().(*net.TCPAddr).AddrPort()
	in.work.Go(func() { in.accept(l) })
	return nil
}

// listenAt listens at the address, or at a free one if it is not valid.
func listenAt(addr netip.AddrPort) (*net.TCPListener, error) {
	if !addr.IsValid() {
		return loopback.Listen()
	}
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
}

// acceptRetryDelay is the pause after a failed accept, for example for lack of
// file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// accept serves connections until the listener is closed.
func (in *Instance) accept(l net.Listener) {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		in.mu.Lock()
		if !in.running {
			in.mu.Unlock()
			raw.Close()
			return
		}
		k := newFaultConn(in, raw)
		in.conns[k] = true
		in.mu.Unlock()
		in.work.Go(k.receive)
		in.work.Go(func() {
			in.serve(k)
			in.mu.Lock()
			delete(in.conns, k)
			in.mu.Unlock()
		})
	}
}

// serve runs the session of one connection.
func (in *Instance) serve(k *faultConn) {
	defer k.close(errClosed)
	defer k.awaitVisible()
	s := newSession(in, k)
	defer s.end()
	if s.startup() {
		s.loop()
	}
}

// register counts a session against the connection limit and assigns it the
// process ID and the secret key that cancel requests carry. It reports false if
// the limit is reached.
func (in *Instance) register(s *session) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.sessions) >= in.group.config.connections {
		return false
	}
	in.lastPID++
	s.pid, s.secret = in.lastPID, rand.Uint32()
	in.sessions[s.pid] = s
	in.peak = max(in.peak, len(in.sessions))
	s.truncations = in.engine.Truncations()
	return true
}

func (in *Instance) unregister(s *session) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.sessions, s.pid)
}

func (in *Instance) cancelStatement(pid uint32, secret []byte) {
	in.mu.Lock()
	s, ok := in.sessions[pid]
	in.mu.Unlock()
	if ok && string(secret) == string(s.secretKey()) {
		s.cancelStatement()
	}
}

func (in *Instance) count(kind string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.counters[kind]++
}

// fillStatus fills in the status fields that the engine does not know:
// Connections and, on a replica, StreamAge.
func (in *Instance) fillStatus(st *gypsumyard.InstanceStatus) {
	in.mu.Lock()
	defer in.mu.Unlock()
	st.Connections = len(in.sessions)
	if st.Role == gypsumyard.RoleReplica {
		st.StreamAge = in.clock.Since(in.lastReceived)
	}
}

// Running reports whether the instance is neither killed nor frozen. A
// partitioned instance is running.
func (in *Instance) Running() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.running && !in.frozen
}

// Status returns the status that the instance would report. It is available
// also while a fault keeps clients from reading it.
func (in *Instance) Status() gypsumyard.InstanceStatus {
	st := in.engine.Status()
	in.fillStatus(&st)
	return st
}

// Records returns the instance's log. The records must not be changed.
func (in *Instance) Records() []*engine.Record { return in.engine.Log() }

// Rows returns the committed rows of a table in order of insertion.
func (in *Instance) Rows(table string) [][]engine.Value { return in.engine.Rows(table) }

// Connections returns the number of open sessions and the highest number of
// sessions that were open at the same time.
func (in *Instance) Connections() (open, peak int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.sessions), in.peak
}

// Counters returns the number of statements that the instance has run, by
// lower-case verb. Calls of control functions count as "control", started
// sessions as "open".
func (in *Instance) Counters() map[string]int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return maps.Clone(in.counters)
}

// openConns returns the open connections.
func (in *Instance) openConns() []*faultConn {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Collect(maps.Keys(in.conns))
}

// currentGate returns nil while clients are served, and otherwise a channel that
// is closed when they are served again.
func (in *Instance) currentGate() <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.gate
}

// awaitGate waits until clients are served. If ctx is done first, it returns the
// cause.
func (in *Instance) awaitGate(ctx context.Context) error {
	for {
		gate := in.currentGate()
		if gate == nil {
			return nil
		}
		select {
		case <-gate:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
