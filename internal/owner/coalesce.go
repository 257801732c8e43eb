package owner

import (
	"context"
	"strconv"
	"sync"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
)

// maxSharedBytes bounds the size of an answer that is kept for several
// readers.
const maxSharedBytes = 1 << 20

// A flight is a read that has not been sent yet and that identical reads may
// join. Only reads that arrive before it is sent can join: they must see
// everything that was acknowledged before they began.
type flight struct {
	key string
	// positions are the positions that the joined reads must see.
	positions []gypsumyard.Position
	done      chan struct{}
	// The fields below are written before done is closed.
	answer []byte
	result gypsumyard.Result
	ok     bool
}

// flights holds the reads that can be joined, by flightKey.
type flights struct {
	mu   sync.Mutex
	open map[string]*flight
}

// flightKey returns a key that is equal for reads that get the same answer. It
// is empty if the read cannot be shared.
func flightKey(r *job) string {
	if r.Class != gypsumyard.StatementRead || !r.Repeatable || r.batch.LeavesState() {
		return ""
	}
	key := r.Customer + "\x00" + r.Login + "\x00" + strconv.FormatBool(r.Priority) + strconv.FormatBool(r.Long)
	return key + "\x00" + upstream.SettingsKey(r.Settings) + "\x00" + string(r.Messages)
}

// join returns the flight of the key and whether the caller is its leader,
// which runs the read.
func (f *flights) join(key string, needed gypsumyard.Position) (w *flight, leader bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w = f.open[key]
	if w != nil {
		w.positions = append(w.positions, needed)
		return w, false
	}
	if f.open == nil {
		f.open = map[string]*flight{}
	}
	w = &flight{key: key, done: make(chan struct{})}
	f.open[key] = w
	return w, true
}

// endJoining closes the flight to further readers and returns the positions
// that the joined reads must see.
func (f *flights) endJoining(w *flight) []gypsumyard.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[w.key] == w {
		delete(f.open, w.key)
	}
	return w.positions
}

// finish passes the answer to the joined reads. Without a complete answer each
// of them runs its own read.
func (f *flights) finish(w *flight, s *readState, res gypsumyard.Result, err error) {
	f.endJoining(w)
	if c := s.copy; c != nil && err == nil && !s.failed && !c.overflowed {
		w.answer, w.result, w.ok = c.data, res, true
	}
	close(w.done)
}

// A teeSink passes an answer on and keeps a copy of up to maxSharedBytes.
type teeSink struct {
	sink       gypsumyard.ResponseSink
	data       []byte
	overflowed bool
}

// Write passes the chunk on and appends it to the copy.
func (c *teeSink) Write(chunk []byte) (int, error) {
	if len(c.data)+len(chunk) > maxSharedBytes {
		c.data, c.overflowed = nil, true
	}
	if !c.overflowed {
		c.data = append(c.data, chunk...)
	}
	return c.sink.Write(chunk)
}

// joinFlight joins an identical read that has not been sent yet, or starts a
// new flight. It reports whether the read was answered from another read's
// answer.
func (g *group) joinFlight(ctx context.Context, s *readState) (res gypsumyard.Result, answered bool, err error) {
	key := ""
	if g.coalesce {
		key = flightKey(s.request)
	}
	if key == "" {
		return res, false, nil
	}
	w, leader := g.flights.join(key, s.needed)
	if leader {
		s.flight = w
		return res, false, nil
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		return res, true, notRun(context.Cause(ctx))
	}
	if !w.ok {
		return res, false, nil
	}
	g.metrics.readsShared.Inc(1)
	res = gypsumyard.Result{TxStatus: 'I', Instance: w.result.Instance}
	if s.advancesSession {
		res.Position = s.needed
	}
	return res, true, deliver(s.sink, w.answer)
}

// endJoining closes the read's flight and raises the needed position to the
// highest that a joined read needs.
func (g *group) endJoining(s *readState) {
	if s.flight == nil {
		return
	}
	joined := g.flights.endJoining(s.flight)
	if len(joined) == 0 {
		return
	}
	s.joined = joined
	if s.copy == nil {
		s.copy = &teeSink{sink: s.sink}
		s.sink = s.copy
	}
	for _, p := range joined {
		if p.Compare(s.needed) > 0 {
			s.needed = p
		}
	}
}

// covers reports whether an instance with the status may serve the read and
// all reads that have joined it.
func (s *readState) covers(st gypsumyard.InstanceStatus) bool {
	for _, p := range s.joined {
		if !st.Contains(p) {
			return false
		}
	}
	return st.Contains(s.needed)
}
