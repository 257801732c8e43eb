package linehost_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/emulate/lineclient"
	"github.com/gypsumyard/gypsumyard/internal/emulate/objects"
	"github.com/gypsumyard/gypsumyard/internal/linehost"
)

const (
	keyedRoute, openRoute = "orders", "logs"
	revokeTimeout         = 1500 * time.Millisecond
)

// A jumpingClock is the clock of a machine that was suspended for some time.
type jumpingClock struct {
	gypsumyard.Clock
	suspended atomic.Int64
}

func (c *jumpingClock) Now() time.Time                  { return c.Clock.Now().Add(time.Duration(c.suspended.Load())) }
func (c *jumpingClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// newKeyedSystem starts two hosts with strict revocation, and returns their clock.
func newKeyedSystem(t *testing.T, tenants ...objects.Tenant) (*system, *jumpingClock) {
	t.Helper()
	s := newSystem(t, 0, []objects.Route{{Host: openRoute, Kind: objects.KindPrimary}})
	s.setTenants(2, tenants)
	s.addHosts(2)
	c := &jumpingClock{Clock: clock.Boot()}
	for _, h := range s.hosts {
		h.settings.RevokeTimeout = revokeTimeout
		s.start(h, linehost.WithClock(c))
	}
	for _, h := range s.hosts {
		s.awaitRoute(h, openRoute)
		s.eventually(startTimeout, "the host is ready", func() bool { return s.isReady(h) })
	}
	return s, c
}

// setTenants writes the operator's configuration with the customers.
func (s *system) setTenants(version int, tenants []objects.Tenant) {
	s.t.Helper()
	route := func(name string, open bool) objects.Route {
		return objects.Route{Name: "r-" + name, Host: name, Kind: objects.KindPrimary, Service: groupName, TimeoutMs: 1000, AllowAnonymous: open}
	}
	s.must(objects.SetDesiredState(s.t.Context(), s.store, objects.DesiredState{
		Version: version, Routes: []objects.Route{route(keyedRoute, false), route(openRoute, true)}, Tenants: &tenants,
		Services: []objects.Service{{Name: groupName, ConnectionLimit: 30, SyncReplicas: 1}}, Limits: objects.Limits{TransactionIdleMs: 3000},
	}))
}

func mill(keys ...string) objects.Tenant { return objects.Tenant{Name: "mill", APIKeys: keys} }

// dial starts a session with a key on the host.
func (s *system) dial(h *node, route, key string) *lineclient.Session {
	s.t.Helper()
	c, err := lineclient.DialWithKey(h.settings.CallerAddr, route, s.t.Name(), key)
	s.must(err)
	s.t.Cleanup(c.Close)
	return c
}

// expect sends a statement and checks the code of the answer.
func (s *system) expect(c *lineclient.Session, text, code string) {
	s.t.Helper()
	if r, ok := c.Query(text); !ok || r.Code != code {
		s.t.Fatalf("%s: code %q, answered %v, want %q", text, r.Code, ok, code)
	}
}

func (s *system) isReady(h *node) bool {
	r, err := http.Get("http://" + h.settings.ReadinessAddr.String())
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (s *system) eventually(within time.Duration, what string, check func() bool) {
	s.t.Helper()
	for end := time.Now().Add(within); !check(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not within %v: %s", within, what)
		}
	}
}

// Guards against a key that is withdrawn and still works on one of the hosts, whichever of
// them owns the group, also in a transaction that is open then, and against one that is
// added and does not work.
func TestKeysOnHosts(t *testing.T) {
	t.Parallel()
	s, _ := newKeyedSystem(t, mill("key-1", "key-2"))
	var idle, open []*lineclient.Session
	for _, h := range s.hosts {
		if _, err := lineclient.DialWithKey(h.settings.CallerAddr, keyedRoute, "x", "key-3"); err == nil {
			t.Error("a session without a valid key was started")
		}
		c, o := s.dial(h, keyedRoute, "key-1"), s.dial(h, keyedRoute, "key-1")
		s.expect(c, "WRITE a 1", "")
		s.expect(o, "BEGIN", "")
		s.expect(o, "WRITE b 1", "")
		idle, open = append(idle, c), append(open, o)
	}
	s.setTenants(3, []objects.Tenant{mill("key-2", "key-3")})
	for _, h := range s.hosts {
		s.eventually(revokeTimeout, "the new key", func() bool {
			c, err := lineclient.DialWithKey(h.settings.CallerAddr, keyedRoute, "x", "key-3")
			if err == nil {
				c.Close()
			}
			return err == nil
		})
	}
	for n := range s.hosts {
		s.expect(idle[n], "WRITE a 2", "DENIED")
		s.expect(open[n], "COMMIT", "DENIED")
		if _, ok := idle[n].Query("READ a"); ok {
			t.Error("the session goes on")
		}
	}
	c := s.dial(s.hosts[0], keyedRoute, "key-2")
	s.expect(c, "WRITE b 2", "") // The transaction holds nothing up.
	for _, r := range s.group.Primary().Log() {
		if r.Items["a"] == "2" || r.Items["b"] == "1" {
			t.Errorf("%v took effect", r.Items)
		}
	}
}

// Pattern: the store is lost, a host starts again meanwhile, and the store returns.
//
// Guards against keys that work for longer than the time limit on a host that is cut off,
// also on one that has started since, and against open routes that are refused.
func TestKeysWithoutStore(t *testing.T) {
	t.Parallel()
	s, _ := newKeyedSystem(t, mill("key-1"))
	kept := s.dial(s.hosts[0], keyedRoute, "key-1")
	anonymous := s.dial(s.hosts[0], openRoute, "nobody")
	s.expect(kept, "WRITE a 1", "")
	s.store.SetDown(true)
	lost := time.Now()
	s.hosts[1].drain()
	s.start(s.hosts[1])
	s.expect(kept, "WRITE a 2", "")
	time.Sleep(time.Until(lost.Add(revokeTimeout)))
	s.expect(kept, "WRITE a 3", "BUSY")
	s.expect(kept, "BEGIN", "BUSY")
	s.expect(anonymous, "WRITE b 1", "")
	for _, h := range s.hosts {
		if s.isReady(h) {
			t.Errorf("%s is ready", h.settings.Host.Name)
		}
		if _, err := lineclient.DialWithKey(h.settings.CallerAddr, keyedRoute, "x", "key-1"); err == nil {
			t.Errorf("%s has started a session", h.settings.Host.Name)
		}
	}
	s.store.SetDown(false)
	for _, h := range s.hosts {
		s.eventually(4*time.Second, "the host is ready", func() bool { return s.isReady(h) })
		s.expect(s.dial(h, keyedRoute, "key-1"), "WRITE a 4", "")
	}
	s.expect(kept, "WRITE a 5", "")
}

// Pattern: the hosts are suspended while the store is out of reach.
//
// Guards against a host that takes its proof for younger than it is since the clock stood
// still.
func TestKeysAfterSuspension(t *testing.T) {
	t.Parallel()
	s, c := newKeyedSystem(t, mill("key-1"))
	session := s.dial(s.hosts[1], keyedRoute, "key-1")
	s.expect(session, "WRITE a 1", "")
	s.store.SetDown(true)
	c.suspended.Add(int64(revokeTimeout))
	s.expect(session, "WRITE a 2", "BUSY")
	s.store.SetDown(false)
	s.eventually(4*time.Second, "the host is ready", func() bool { return s.isReady(s.hosts[1]) })
	s.expect(session, "WRITE a 3", "")
}
