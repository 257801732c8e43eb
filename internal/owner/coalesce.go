package owner

import (
	"context"
	"strconv"
	"sync"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
)

// maxShared bounds an answer that is kept for several readers.
const maxShared = 1 << 20

// A flight is a read that waits to be sent and that identical reads may join.
// Only reads that arrive before it is sent can: they must see everything that
// was acknowledged before they began.
type flight struct {
	key    string
	needed []gypsumyard.Position
	done   chan struct{}
	// The rest is written before done is closed.
	answer []byte
	result gypsumyard.Result
	ok     bool
}

// flights are the reads that can be joined.
type flights struct {
	mu   sync.Mutex
	open map[string]*flight
}

// flightKey identifies reads that get the same answer. It is empty if the read
// cannot be shared.
func flightKey(r *job) string {
	if r.Class != gypsumyard.StatementRead || !r.Repeatable || r.batch.LeavesState() {
		return ""
	}
	key := r.Customer + "\x00" + r.Login + "\x00" + strconv.FormatBool(r.Priority) + strconv.FormatBool(r.Long)
	return key + "\x00" + upstream.SettingsKey(r.Settings) + "\x00" + string(r.Messages)
}

// join returns the flight of the key and whether the caller leads it.
func (f *flights) join(key string, needed gypsumyard.Position) (w *flight, leads bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w = f.open[key]
	if w != nil {
		w.needed = append(w.needed, needed)
		return w, false
	}
	if f.open == nil {
		f.open = map[string]*flight{}
	}
	w = &flight{key: key, done: make(chan struct{})}
	f.open[key] = w
	return w, true
}

// endJoining ends the joining and returns what those that have joined need.
func (f *flights) endJoining(w *flight) []gypsumyard.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[w.key] == w {
		delete(f.open, w.key)
	}
	return w.needed
}

// finish hands the answer to those that have joined.
func (f *flights) finish(w *flight, s *readState, res gypsumyard.Result, err error) {
	f.endJoining(w)
	if c := s.copy; c != nil && err == nil && !s.failed && !c.over {
		w.answer, w.result, w.ok = c.data, res, true
	}
	close(w.done)
}

// A copier passes an answer on and keeps a copy.
type copier struct {
	sink gypsumyard.ResponseSink
	data []byte
	over bool
}

// Write passes the chunk on.
func (c *copier) Write(chunk []byte) (int, error) {
	if len(c.data)+len(chunk) > maxShared {
		c.data, c.over = nil, true
	}
	if !c.over {
		c.data = append(c.data, chunk...)
	}
	return c.sink.Write(chunk)
}

// share joins an identical read that waits, or leads a new flight. It reports
// whether the read was answered by another one's answer.
func (g *group) share(ctx context.Context, s *readState) (res gypsumyard.Result, answered bool, err error) {
	key := ""
	if g.coalesce {
		key = flightKey(s.request)
	}
	if key == "" {
		return res, false, nil
	}
	w, leads := g.flights.join(key, s.needed)
	if leads {
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
	if s.bound {
		res.Position = s.needed
	}
	return res, true, deliver(s.sink, w.answer)
}

// endJoining makes the read see what those that have joined it need.
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
		s.copy = &copier{sink: s.sink}
		s.sink = s.copy
	}
	for _, p := range joined {
		if p.Compare(s.needed) > 0 {
			s.needed = p
		}
	}
}

// covers reports whether the read and those that have joined it may be served
// by an instance with the status.
func (s *readState) covers(st gypsumyard.InstanceStatus) bool {
	for _, p := range s.joined {
		if !st.Contains(p) {
			return false
		}
	}
	return st.Contains(s.needed)
}
