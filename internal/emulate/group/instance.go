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

	mu       sync.Mutex
	addr     netip.AddrPort
	listener net.Listener
	running  bool
	work     sync.WaitGroup
	links    map[*link]bool
	sessions map[uint32]*session
	nextPID  uint32
	peak     int
	counters map[string]int64
	heard    time.Time

	frozen      bool
	partitioned bool
	isolated    bool
	lag, jitter time.Duration
	// gate is closed when clients are served again, nil while they are.
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
		links:    map[*link]bool{},
		sessions: map[uint32]*session{},
		counters: map[string]int64{},
		lag:      g.config.lag,
		jitter:   g.config.jitter,
	}
}

// Name returns the instance's name.
func (in *Instance) Name() string { return in.name }

// Upstream returns the name and address of the instance.
func (in *Instance) Upstream() gypsumyard.Upstream {
	in.mu.Lock()
	defer in.mu.Unlock()
	return gypsumyard.Upstream{Name: in.name, Addr: in.addr, FailureDomain: in.domain}
}

// listen opens the instance's port: any at first, the same ever after.
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
	in.listener, in.running, in.heard = l, true, in.clock.Now()
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

// acceptPause follows a failure to accept, such as a lack of descriptors.
const acceptPause = 10 * time.Millisecond

// accept serves connections until the listener is closed.
func (in *Instance) accept(l net.Listener) {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		in.mu.Lock()
		if !in.running {
			in.mu.Unlock()
			raw.Close()
			return
		}
		k := newLink(in, raw)
		in.links[k] = true
		in.mu.Unlock()
		in.work.Go(k.receive)
		in.work.Go(func() {
			in.serve(k)
			in.mu.Lock()
			delete(in.links, k)
			in.mu.Unlock()
		})
	}
}

// serve runs one connection to its end.
func (in *Instance) serve(k *link) {
	defer k.close(errClosed)
	defer k.linger()
	s := newSession(in, k)
	defer s.end()
	if s.startup() {
		s.loop()
	}
}

// register counts a session against the cap and gives it the number that
// cancel requests name.
func (in *Instance) register(s *session) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.sessions) >= in.group.config.connections {
		return false
	}
	in.nextPID++
	s.pid, s.secret = in.nextPID, rand.Uint32()
	in.sessions[s.pid] = s
	in.peak = max(in.peak, len(in.sessions))
	s.epoch = in.engine.Truncations()
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

// observe fills in the status fields that the engine does not know.
func (in *Instance) observe(st *gypsumyard.InstanceStatus) {
	in.mu.Lock()
	defer in.mu.Unlock()
	st.Connections = len(in.sessions)
	if st.Role == gypsumyard.RoleReplica {
		st.StreamAge = in.clock.Since(in.heard)
	}
}

// Running reports whether the instance is neither killed nor frozen.
func (in *Instance) Running() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.running && !in.frozen
}

// Status returns what the instance would report, whatever its faults.
func (in *Instance) Status() gypsumyard.InstanceStatus {
	st := in.engine.Status()
	in.observe(&st)
	return st
}

// Records returns the instance's log. The records must not be changed.
func (in *Instance) Records() []*engine.Record { return in.engine.Log() }

// Rows returns the committed rows of a table in order of insertion.
func (in *Instance) Rows(table string) [][]engine.Value { return in.engine.Rows(table) }

// Connections returns how many connections are open and how many were at most.
func (in *Instance) Connections() (open, peak int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.sessions), in.peak
}

// Counters returns how many statements the instance has run, by lower-case
// verb. Control functions count as "control" and opened connections as "open".
func (in *Instance) Counters() map[string]int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return maps.Clone(in.counters)
}

// openLinks returns the open connections.
func (in *Instance) openLinks() []*link {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Collect(maps.Keys(in.links))
}

// shutGate returns a channel that is closed when clients are served again, or
// nil if they are.
func (in *Instance) shutGate() <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.gate
}

// awaitGate waits while clients are not served.
func (in *Instance) awaitGate(ctx context.Context) error {
	for {
		gate := in.shutGate()
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
