package member

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/gypsumyard/gypsumyard/internal/rendezvous"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// naiveOwner is a reference implementation of rendezvous hashing without a cache.
func naiveOwner(hosts []gypsumyard.Host, region, database string) (owner gypsumyard.Host, ok bool) {
	var best uint64
	for _, h := range hosts {
		if h.Region != region || h.State != gypsumyard.HostLive {
			continue
		}
		w := rendezvous.Weight(rendezvous.HashName(h.Name), rendezvous.HashKey(database))
		if !ok || w > best || w == best && h.Name < owner.Name {
			owner, best, ok = h, w, true
		}
	}
	return owner, ok
}

// Guards against a cache or an incrementally built view that returns an owner
// other than the reference implementation.
func TestOwnerMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(1)
		d := w.nodes[0]
		d.lists = &databases{map[string]string{}}
		d.start()
		hosts := map[string]gypsumyard.Host{d.host.Name: d.table.Self()}
		t.Repeat(map[string]func(*rapid.T){
			"host": func(t *rapid.T) {
				h := gypsumyard.Host{
					Name:   fmt.Sprint("h", rapid.IntRange(0, 20).Draw(t, "host")),
					Addr:   d.host.Addr,
					Region: rapid.SampledFrom([]string{"r", "q"}).Draw(t, "region"),
					State:  rapid.SampledFrom([]gypsumyard.HostState{gypsumyard.HostLive, gypsumyard.HostLeaving, gypsumyard.HostDead}).Draw(t, "state"),
				}
				r := record{host: h, incarnation: uint64(len(w.events)) + uint64(d.table.sequence)}
				d.table.sequence += 2
				r.state = map[gypsumyard.HostState]peerpb.MemberState{gypsumyard.HostLive: 0, gypsumyard.HostLeaving: 1, gypsumyard.HostDead: 3}[h.State]
				r.host.State = ""
				d.table.merge(r.update())
				hosts[h.Name] = h
			},
			"database": func(t *rapid.T) {
				name := fmt.Sprint("db", rapid.IntRange(0, 50).Draw(t, "database"))
				d.lists.regions[name] = rapid.SampledFrom([]string{"r", "q", "none"}).Draw(t, "region")
			},
			"": func(t *rapid.T) {
				var all []gypsumyard.Host
				for _, h := range hosts {
					all = append(all, h)
				}
				for i := range 52 {
					name := fmt.Sprint("db", i)
					got, gotOK := d.table.Owner(name)
					region, known := d.lists.regions[name]
					want, ok := naiveOwner(all, region, name)
					if gotOK != (ok && known) || gotOK && got.Name != want.Name {
						t.Fatalf("owner of %s: %v %v, want %v %v", name, got, gotOK, want, ok && known)
					}
				}
			},
		})
	})
}

// Guards against a host that owns databases immediately after it returns from a
// pause, while its connections are still broken, and against one that never owns
// any again.
func TestReturnedHostWaits(t *testing.T) {
	is := is.New(t)
	w := newNetwork(3)
	l := &databases{map[string]string{}}
	for i := range 60 {
		l.regions[fmt.Sprint("db", i)] = "r"
	}
	w.nodes[0].lists = l
	w.startAll()
	w.run(time.Second)
	owned := func() (n int) {
		for db := range l.regions {
			if o, ok := w.nodes[0].table.Owner(db); ok && o.Name == w.nodes[1].host.Name {
				n++
			}
		}
		return n
	}
	is.True(owned() > 0)
	w.nodes[1].dead = true
	w.waitForAll(t, 2*time.Second, "host dead", func(d *node) bool { return d == w.nodes[1] || d.stateOf(w.nodes[1]) == gypsumyard.HostDead })
	w.run(minAbsence + time.Second)
	w.nodes[1].start()
	w.waitForAll(t, 2*time.Second, "host live", func(d *node) bool { return d.stateOf(w.nodes[1]) == gypsumyard.HostLive })
	is.Equal(owned(), 0)
	w.run(rejoinDelay + time.Second)
	is.True(owned() > 0)
}

// Guards against owners that change on the larger side of a partition when it
// heals: each side considers the other's hosts dead and tells them so. In the
// scenario silent-connections this lost 80% of the requests for 2 s.
func TestHealKeepsOwners(t *testing.T) {
	is := is.New(t)
	w := newNetwork(7)
	l := &databases{map[string]string{}}
	for i := range 100 {
		l.regions[fmt.Sprint("db", i)] = "r"
	}
	for _, d := range w.nodes {
		d.lists = l
	}
	w.startAll()
	w.run(2 * time.Second)
	w.blocked = func(from, to *node) bool { return (from.index < 2) != (to.index < 2) }
	w.run(4 * time.Second)
	owners := func(d *node) map[string]string {
		out := map[string]string{}
		for db := range l.regions {
			if o, ok := d.table.Owner(db); ok {
				out[db] = o.Name
			}
		}
		return out
	}
	before := owners(w.nodes[3])
	w.blocked = func(_, _ *node) bool { return false }
	for range 15 {
		w.run(100 * time.Millisecond)
		for _, d := range w.nodes[2:] {
			is.Equal(owners(d), before)
		}
	}
}

// Guards against ownership that moves between live hosts when another host fails,
// and against an uneven distribution of databases.
func TestMinimalDisruption(t *testing.T) {
	is := is.New(t)
	w := newNetwork(9)
	l := &databases{map[string]string{}}
	for i := range 3000 {
		l.regions[fmt.Sprint("db", i)] = "r"
	}
	w.nodes[0].lists = l
	w.startAll()
	w.run(time.Second)
	before := map[string]string{}
	count := map[string]int{}
	for db := range l.regions {
		o, ok := w.nodes[0].table.Owner(db)
		is.True(ok)
		before[db] = o.Name
		count[o.Name]++
	}
	for _, n := range count {
		is.True(n > 230 && n < 440) // 333 expected, standard deviation 17
	}
	w.nodes[4].dead = true
	w.run(3 * time.Second)
	for db, old := range before {
		o, ok := w.nodes[0].table.Owner(db)
		is.True(ok)
		is.True(o.Name != "host-004")
		is.True(old == "host-004" || o.Name == old)
	}
}

// Guards against a dead host that stays in the view for longer than 2 s, and a
// restarted one that takes longer than that to appear.
func TestDeadHost(t *testing.T) {
	w := newNetwork(9)
	w.startAll()
	w.run(2 * time.Second)
	w.nodes[3].dead = true
	took := w.waitForAll(t, 2*time.Second, "host dead", func(d *node) bool { return d.stateOf(w.nodes[3]) == gypsumyard.HostDead })
	t.Logf("dead after %s", took)
	w.nodes[3].start()
	w.waitForAll(t, 2*time.Second, "restarted host live", func(d *node) bool { return d.stateOf(w.nodes[3]) == gypsumyard.HostLive })
}

// Guards against a broken path between two hosts because of which either one is
// declared dead.
func TestBrokenPath(t *testing.T) {
	is := is.New(t)
	w := newNetwork(5)
	w.startAll()
	w.run(2 * time.Second)
	w.blocked = func(a, b *node) bool { return a.index+b.index == 1 } // hosts 0 and 1
	incarnation := w.nodes[1].table.self.incarnation
	for range 500 {
		w.run(20 * time.Millisecond)
		for _, d := range w.nodes {
			for _, o := range w.nodes {
				is.True(d.stateOf(o) != gypsumyard.HostDead)
			}
		}
	}
	is.True(w.nodes[1].table.self.incarnation <= incarnation+2) // suspicions are not repeated
}

// Guards against sides of a healed partition that do not reconnect, and against
// hosts that are still considered dead although they refute it.
func TestPartitionHeals(t *testing.T) {
	for _, n := range []int{9, 40} {
		w := newNetwork(n)
		w.startAll()
		w.run(3 * time.Second)
		w.blocked = func(a, b *node) bool { return (a.index < n/3) != (b.index < n/3) }
		w.waitForAll(t, 10*time.Second, "other side dead", func(d *node) bool {
			return len(d.table.Hosts()) == n/3 || len(d.table.Hosts()) == n-n/3
		})
		w.blocked = func(_, _ *node) bool { return false }
		took := w.waitForAll(t, 30*time.Second, "partition healed", func(d *node) bool { return d.allLive(n) })
		t.Logf("%d hosts: healed after %s", n, took)
	}
}

func (d *node) allLive(n int) bool {
	hosts := d.table.Hosts()
	if len(hosts) != n {
		return false
	}
	for _, h := range hosts {
		if h.State != gypsumyard.HostLive {
			return false
		}
	}
	return true
}

// Guards against a paused host that trusts its stale view or declares the others
// dead because of its own pause, and against one that is not readmitted.
func TestPausedHost(t *testing.T) {
	is := is.New(t)
	w := newNetwork(9)
	w.startAll()
	w.run(2 * time.Second)
	p := w.nodes[2]
	is.True(p.fresh())
	p.paused = true
	w.run(5 * time.Second)
	is.Equal(w.nodes[0].stateOf(p), gypsumyard.HostDead)
	is.True(!p.fresh()) // even before its first tick
	p.resume()
	is.True(!p.fresh()) // answers to heartbeats from before the pause do not count
	for _, o := range w.nodes {
		is.Equal(p.stateOf(o), gypsumyard.HostLive)
	}
	w.run(10 * time.Millisecond)
	is.True(p.fresh())
	w.waitForAll(t, 2*time.Second, "paused host is back", func(d *node) bool { return d.stateOf(p) == gypsumyard.HostLive })
	since, ok := p.table.FreshSince()
	is.True(ok && w.clock.Since(since) < 3*time.Second)
}

// Guards against a single host that waits for others forever.
func TestAlone(t *testing.T) {
	is := is.New(t)
	w := newNetwork(2)
	w.nodes[0].start()
	is.True(!w.nodes[0].fresh())
	w.run(3 * time.Second)
	is.True(w.nodes[0].fresh()) // the other one is dead
	w.nodes[0].paused = true
	w.run(3 * time.Second)
	w.nodes[0].resume()
	is.True(w.nodes[0].fresh())
}

// Guards against unanswered probe requests that keep a host from accepting later
// ones.
func TestHelpAfterUnansweredProbes(t *testing.T) {
	is := is.New(t)
	w := newNetwork(3)
	w.startAll()
	w.run(time.Second)
	helper, target := w.nodes[0].table, w.nodes[1].host.Name
	probe := &peerpb.Members{Kind: peerpb.MemberKind_PROBE, From: w.nodes[2].host.Name, Target: target}
	for range maxProbeRequests {
		is.Equal(len(helper.handleProbe(probe, w.clock.Now())), 1)
	}
	is.Equal(len(helper.handleProbe(probe, w.clock.Now())), 0)
	is.Equal(len(helper.handleProbe(probe, w.clock.Now().Add(indirectProbeTimeout+1))), 1)
}

// Guards against hosts that are declared dead because of message loss of 10%.
func TestLoss(t *testing.T) {
	w := newNetwork(9)
	w.loss = 0.1
	w.startAll()
	w.run(2 * time.Second)
	for range 1000 {
		w.run(20 * time.Millisecond)
		for _, d := range w.nodes {
			if len(d.table.Hosts()) != 9 {
				t.Fatalf("%s sees %d hosts", d.host.Name, len(d.table.Hosts()))
			}
		}
	}
}

// Guards against a leaving host that still gets databases, and against others that
// wait for a host that has left instead of treating it as dead.
func TestAnnounce(t *testing.T) {
	is := is.New(t)
	w := newNetwork(9)
	for _, d := range w.nodes {
		d.lists = &databases{map[string]string{"db": "r"}}
	}
	w.startAll()
	w.run(2 * time.Second)
	o, _ := w.nodes[0].table.Owner("db")
	owner := w.byAddr[o.Addr]
	changes := w.nodes[0].table.Changes()
	owner.table.Announce(gypsumyard.HostLeaving)
	w.run(10 * time.Millisecond)
	<-changes
	for _, d := range w.nodes {
		is.Equal(d.stateOf(owner), gypsumyard.HostLeaving)
		next, ok := d.table.Owner("db")
		is.True(ok && next.Name != o.Name)
	}
	owner.table.Announce(gypsumyard.HostDead)
	w.run(10 * time.Millisecond)
	for _, d := range w.nodes {
		is.True(d == owner || d.stateOf(owner) == gypsumyard.HostDead)
	}
}

// Guards against hosts that cannot start while the platform's list is unavailable.
func TestSeedsWithoutPlatform(t *testing.T) {
	w := newNetwork(20)
	for _, d := range w.nodes {
		d.listErr = errPlatform
		d.start(WithSeeds(w.nodes[7].host.Addr, w.nodes[8].host.Addr))
	}
	took := w.waitForAll(t, 10*time.Second, "all hosts live", func(d *node) bool { return d.allLive(20) })
	t.Logf("20 hosts with two seeds: complete after %s", took)
}

// Guards against a listed host that owns databases although it never started, and
// against one that the list shows as leaving and that still gets new databases.
func TestPlatformList(t *testing.T) {
	is := is.New(t)
	w := newNetwork(9)
	for _, d := range w.nodes[:8] {
		d.start()
	}
	w.run(3 * time.Second)
	for _, d := range w.nodes[:8] {
		is.Equal(d.stateOf(w.nodes[8]), gypsumyard.HostDead)
	}
	w.run(maxListLag)
	list := append([]gypsumyard.Host(nil), w.nodes[0].list...)
	list[3].State = gypsumyard.HostLeaving
	for _, d := range w.nodes {
		d.list = list
	}
	w.run(pollInterval + time.Second)
	for _, d := range w.nodes[:8] {
		is.Equal(d.stateOf(w.nodes[3]), gypsumyard.HostLeaving)
	}
}

// Guards against hosts that request whole tables from the seeds many times a second
// while a region starts: at 300 machines one seed sent 36 MB a second.
func TestSeedsAreAskedRarely(t *testing.T) {
	is := is.New(t)
	w := newNetwork(1)
	d := w.nodes[0]
	d.start()
	s := d.table
	s.joined = false
	for i := range 3 {
		s.seeds = append(s.seeds, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 9, byte(i)}), 1))
	}
	asked := 0
	for range 50 { // Ten seconds of heartbeats.
		w.run(heartbeatInterval)
		s.mu.Lock()
		asked += len(s.requestSeedTables(w.clock.Now()))
		s.mu.Unlock()
	}
	is.True(asked > 0)
	is.True(asked <= 3+int(10*time.Second/seedRetryInterval))
}
