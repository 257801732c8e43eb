package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/lineclient"
)

// An outcome is what a caller was told of a write.
type outcome string

const (
	acknowledged outcome = "acknowledged"
	promised     outcome = "promised that nothing is kept"
	inDoubt      outcome = "in doubt"
)

// A history is what callers have seen.
type history struct {
	mu sync.Mutex
	// writes maps the data of each write to what became of it.
	writes map[string]outcome
	// acks holds, for each item, when its values were acknowledged.
	acks   map[string][]ack
	served map[string]int
	broken []string
}

type ack struct {
	number int
	at     time.Time
}

func newHistory() *history {
	return &history{writes: map[string]outcome{}, acks: map[string][]ack{}, served: map[string]int{}}
}

func (h *history) note(item string, number int, data string, o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes[data] = o
	if o == acknowledged {
		h.acks[item] = append(h.acks[item], ack{number, time.Now()})
	}
}

// least returns the number that a read which begins now must see at least if it
// may miss what was acknowledged within the age.
func (h *history) least(item string, age time.Duration) (number int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := time.Now().Add(-age)
	for _, a := range h.acks[item] {
		if a.at.Before(limit) {
			number = max(number, a.number)
		}
	}
	return number
}

func (h *history) fail(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broken = append(h.broken, fmt.Sprintf(format, args...))
}

func (h *history) serve(route string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.served[route]++
}

func (h *history) servedBy(route string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.served[route]
}

// A client is one caller: it writes items of its own and reads them through
// all routes.
type client struct {
	name    string
	history *history
	random  *rand.Rand
	hosts   []*process
	next    int
	// item is written with growing numbers until a write is in doubt.
	item   string
	items  int
	number int
}

// run works until stop is closed.
func (c *client) run(stop <-chan struct{}) {
	c.newItem()
	for {
		select {
		case <-stop:
			return
		default:
		}
		s, err := c.dial()
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for n := 0; n < 1+c.random.IntN(12); n++ {
			if !s.operation() {
				break
			}
			time.Sleep(time.Duration(c.random.IntN(15)) * time.Millisecond)
		}
		s.Close()
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
	// own is the highest number that was acknowledged in the session.
	own int
}

func (c *client) dial() (*session, error) {
	h := c.hosts[c.random.IntN(len(c.hosts))]
	route := []string{routePrimary, routeBounded, routeSession}[c.random.IntN(3)]
	c.next++
	l, err := lineclient.Dial(h.callers, route, fmt.Sprintf("%s-%d", c.name, c.next))
	return &session{client: c, Session: l, route: route}, err
}

// operation makes one operation. It returns false if the session must end.
func (s *session) operation() bool {
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
	return fmt.Sprintf("%s=%d", s.item, s.number)
}

// conclude notes what became of a write.
func (s *session) conclude(data string, r lineclient.Reply, ok bool) bool {
	o := inDoubt
	switch {
	case ok && r.Code == "":
		o = acknowledged
		s.own = s.number
		s.history.serve(s.route)
	case ok && lineclient.NotRun(r.Code):
		o = promised
	}
	s.history.note(s.item, s.number, data, o)
	if o == inDoubt {
		s.newItem()
	}
	return ok && r.Code == ""
}

func (s *session) write() bool {
	data := s.data()
	r, ok := s.Query("WRITE " + s.item + " " + data)
	return s.conclude(data, r, ok)
}

func (s *session) transaction() bool {
	if r, ok := s.Query("BEGIN"); !ok || r.Code != "" {
		return false
	}
	data := s.data()
	r, ok := s.Query("WRITE " + s.item + " " + data)
	if !ok || r.Code != "" {
		s.history.note(s.item, s.number, data, promised) // No commit was sent.
		return false
	}
	if s.random.IntN(4) == 0 {
		_, ok = s.Query("ROLLBACK")
		s.history.note(s.item, s.number, data, promised)
		return ok
	}
	time.Sleep(time.Duration(s.random.IntN(30)) * time.Millisecond)
	r, ok = s.Query("COMMIT")
	return s.conclude(data, r, ok)
}

func (s *session) read() bool {
	least := 0
	switch s.route {
	case routePrimary:
		least = s.history.least(s.item, 0)
	case routeBounded:
		least = s.history.least(s.item, boundedAge)
	case routeSession:
		least = max(s.history.least(s.item, sessionAge), s.ownOf())
	}
	item := s.item
	r, ok := s.Query("READ " + item)
	if !ok || r.Code != "" {
		return false
	}
	s.history.serve(s.route)
	seen := 0
	if len(r.Rows) == 1 {
		name, number, _ := strings.Cut(r.Rows[0], "=")
		seen, _ = strconv.Atoi(number)
		if name != item {
			s.history.fail("a read of %s returned %q", item, r.Rows[0])
		}
	}
	if seen < least {
		s.history.fail("a read of %s on %s saw %d, acknowledged was %d", item, s.route, seen, least)
	}
	return true
}

// ownOf returns the number that the session itself has written, or zero if it
// has begun another item since.
func (s *session) ownOf() int {
	if s.own > s.number {
		return 0
	}
	return s.own
}
