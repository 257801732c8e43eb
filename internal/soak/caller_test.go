package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/lineclient"
)

// An outcome is the result of a write as reported to the caller.
type outcome string

const (
	acknowledged outcome = "acknowledged"
	refused      outcome = "refused as not run"
	unknown      outcome = "of unknown outcome"
)

// A history holds what callers have observed.
type history struct {
	mu sync.Mutex
	// writes maps the data of each write to its outcome.
	writes map[string]outcome
	// acknowledgements holds, for each item, which numbers were acknowledged
	// and when.
	acknowledgements map[string][]acknowledgement
	served           map[string]int
	violations       []string
	// revokedAt is, by client, when the state without its key was acknowledged, and
	// late holds the writes that were sent too long after that.
	revokedAt map[string]time.Time
	late      map[string]bool
	// limited holds when instances began operations of limitedClient.
	limited []time.Time
	// restartsOnly indicates that no other faults than restarts are injected. sent and cut
	// count the statements and those without an answer.
	restartsOnly bool
	sent, cut    int
	// restarting indicates that hosts are being restarted.
	restarting atomic.Bool
}

type acknowledgement struct {
	number int
	at     time.Time
}

func newHistory() *history {
	return &history{writes: map[string]outcome{}, acknowledgements: map[string][]acknowledgement{}, served: map[string]int{},
		revokedAt: map[string]time.Time{}, late: map[string]bool{}}
}

func (h *history) recordWrite(item string, number int, data string, o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes[data] = o
	if o == acknowledged {
		h.acknowledgements[item] = append(h.acknowledgements[item], acknowledgement{number, time.Now()})
	}
}

// minVisible returns the lowest number that a read starting now may return if
// it may miss writes that were acknowledged within the last age.
func (h *history) minVisible(item string, age time.Duration) (number int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := time.Now().Add(-age)
	for _, a := range h.acknowledgements[item] {
		if a.at.Before(limit) {
			number = max(number, a.number)
		}
	}
	return number
}

// acceptLoss lets reads miss the data whose loss was accepted.
func (h *history) acceptLoss(data map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for item, list := range h.acknowledgements {
		h.acknowledgements[item] = slices.DeleteFunc(list, func(a acknowledgement) bool { return data[fmt.Sprintf("%s=%d", item, a.number)] })
	}
}

func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) recordServed(route string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.served[route]++
}

func (h *history) servedCount(route string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.served[route]
}

// A client is one caller. It writes its own items and reads them through all
// routes.
type client struct {
	name     string
	history  *history
	random   *rand.Rand
	hosts    []*process
	sessions int
	// item is written with increasing numbers. After a write of unknown outcome
	// the client starts a new item.
	item   string
	items  int
	number int
}

// run runs sessions until stop is closed.
func (c *client) run(stop <-chan struct{}) {
	c.newItem()
	for !isClosed(stop) {
		s, err := c.dial()
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for n := 0; c.history.restarting.Load() || n < 1+c.random.IntN(12); n++ {
			if !s.runOperation() || isClosed(stop) {
				break
			}
			time.Sleep(time.Duration(c.random.IntN(15)) * time.Millisecond)
		}
		s.Close()
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (c *client) newItem() {
	c.items++
	c.item, c.number = fmt.Sprintf("%s-%d", c.name, c.items), 0
}

// A session is one connection.
type session struct {
	*client
	*lineclient.Session
	route string
	// lastAcknowledged is the highest number acknowledged in this session.
	lastAcknowledged int
}

func (c *client) dial() (*session, error) {
	h := c.hosts[c.random.IntN(len(c.hosts))]
	route := []string{routePrimary, routeBounded, routeSession}[c.random.IntN(3)]
	c.sessions++
	l, err := lineclient.DialWithKey(h.callers, route, fmt.Sprintf("%s-%d", c.name, c.sessions), keyOf(c.name))
	return &session{client: c, Session: l, route: route}, err
}

// runOperation runs one random operation. It reports whether the session can
// continue.
func (s *session) runOperation() bool {
	switch n := s.random.IntN(10); {
	case n < 3 && s.route != routeBounded:
		return s.write()
	case n < 5 && s.route != routeBounded:
		return s.transaction()
	}
	return s.read()
}

func (s *session) data() string {
	s.number++
	return s.lastData()
}

// lastData returns what the client has written last.
func (s *session) lastData() string { return fmt.Sprintf("%s=%d", s.item, s.number) }

// recordOutcome records the outcome of a write and reports whether it succeeded.
func (s *session) recordOutcome(data string, r lineclient.Reply, ok bool) bool {
	o := unknown
	switch {
	case ok && r.Code == "":
		o = acknowledged
		s.lastAcknowledged = s.number
		s.history.recordServed(s.route)
	case ok && lineclient.NotRun(r.Code):
		o = refused
	}
	s.history.recordWrite(s.item, s.number, data, o)
	if o == unknown {
		s.newItem()
	}
	return ok && r.Code == ""
}

func (s *session) write() bool {
	data := s.data()
	r, ok := s.Query("WRITE " + s.item + " " + data)
	return s.recordOutcome(data, r, ok)
}

func (s *session) transaction() bool {
	if r, ok := s.Query("BEGIN"); !ok || r.Code != "" {
		return false
	}
	data := s.data()
	r, ok := s.Query("WRITE " + s.item + " " + data)
	if !ok || r.Code != "" {
		s.history.recordWrite(s.item, s.number, data, refused) // No commit was sent.
		return false
	}
	if s.random.IntN(4) == 0 {
		_, ok = s.Query("ROLLBACK")
		s.history.recordWrite(s.item, s.number, data, refused)
		return ok
	}
	s.rest()
	r, ok = s.Query("COMMIT")
	return s.recordOutcome(data, r, ok)
}

func (s *session) read() bool {
	minVisible := 0
	switch s.route {
	case routePrimary:
		minVisible = s.history.minVisible(s.item, 0)
	case routeBounded:
		minVisible = s.history.minVisible(s.item, boundedStaleness)
	case routeSession:
		minVisible = max(s.history.minVisible(s.item, sessionStaleness), s.lastOwnWrite())
	}
	item := s.item
	r, ok := s.Query("READ " + item)
	if !ok || r.Code != "" {
		return false
	}
	s.history.recordServed(s.route)
	seen := 0
	if len(r.Rows) == 1 {
		name, number, _ := strings.Cut(r.Rows[0], "=")
		seen, _ = strconv.Atoi(number)
		if name != item {
			s.history.addViolation("a read of %s returned %q", item, r.Rows[0])
		}
	}
	if seen < minVisible {
		s.history.addViolation("stale read of %s on route %s: got %d, want at least %d", item, s.route, seen, minVisible)
	}
	return true
}

// lastOwnWrite returns the highest number acknowledged in this session, or zero
// if it has started a new item since.
func (s *session) lastOwnWrite() int {
	if s.lastAcknowledged > s.number {
		return 0
	}
	return s.lastAcknowledged
}
