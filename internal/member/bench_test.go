package member

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"google.golang.org/protobuf/proto"
)

// BenchmarkConvergence measures on the fake clock how long the failure of a host
// takes to reach all hosts, and the traffic in steady state and while a host joins.
func BenchmarkConvergence(b *testing.B) {
	for _, n := range []int{9, 200, 720} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				w := newNetwork(n)
				w.startAll()
				w.run(5 * time.Second)
				b.ReportMetric(float64(w.bytes)/float64(n)/5, "start-bytes/host/s")
				w.run(15 * time.Second)
				w.bytes = 0
				w.run(2 * time.Second)
				steady := float64(w.bytes) / float64(n) / 2
				w.nodes[n/2].dead = true
				took := w.waitForAll(b, 10*time.Second, "host dead", func(d *node) bool { return d.stateOf(w.nodes[n/2]) == gypsumyard.HostDead })
				w.bytes = 0
				w.nodes[n/2].start()
				join := w.waitForAll(b, 10*time.Second, "host live", func(d *node) bool { return d.allLive(n) })
				w.run(2 * time.Second)
				b.ReportMetric(steady, "steady-bytes/host/s")
				b.ReportMetric(float64(w.bytes)/float64(n)/(join+2*time.Second).Seconds(), "join-bytes/host/s")
				b.ReportMetric(took.Seconds(), "death-s")
				b.ReportMetric(join.Seconds(), "join-s")
			}
		})
	}
}

// BenchmarkFailureDomain measures the failure of a quarter of a region's hosts.
func BenchmarkFailureDomain(b *testing.B) {
	const n = 720
	for range b.N {
		w := newNetwork(n)
		w.startAll()
		w.run(20 * time.Second)
		for i, d := range w.nodes {
			d.dead = i%4 == 0
		}
		w.bytes = 0
		owners := w.waitForAll(b, 30*time.Second, "no dead host owns databases", func(d *node) bool {
			return len(d.table.view().regions["r"]) == n*3/4
		})
		b.ReportMetric(owners.Seconds(), "ownership-s")
		took := owners + w.waitForAll(b, 30*time.Second, "domain dead", func(d *node) bool { return len(d.table.Hosts()) == n*3/4 })
		b.ReportMetric(took.Seconds(), "death-s")
		b.ReportMetric(float64(w.bytes)/(n*3/4)/took.Seconds(), "bytes/host/s")
	}
}

func ownerTable(b *testing.B, hosts, databases int) (*Service, []string) {
	w := newNetwork(hosts)
	d := w.nodes[0]
	d.lists = newDatabases(databases)
	d.start()
	names := make([]string, 0, databases)
	for name := range d.lists.regions {
		names = append(names, name)
	}
	b.ReportAllocs()
	b.ResetTimer()
	return d.table, names
}

func newDatabases(n int) *databases {
	l := &databases{map[string]string{}}
	for i := range n {
		l.regions[fmt.Sprint("db", i)] = "r"
	}
	return l
}

// BenchmarkOwner measures the lookup of an owner that the view has cached, at
// 14,000 databases and 720 hosts.
func BenchmarkOwner(b *testing.B) {
	s, names := ownerTable(b, 720, 14000)
	for _, n := range names {
		s.Owner(n)
	}
	b.ResetTimer()
	for i := range b.N {
		s.Owner(names[i%len(names)])
	}
}

// BenchmarkOwnersOfNewView measures the lookup of all owners after a change of the
// view.
func BenchmarkOwnersOfNewView(b *testing.B) {
	s, names := ownerTable(b, 720, 14000)
	for range b.N {
		s.mu.Lock()
		s.invalidate()
		s.mu.Unlock()
		for _, n := range names {
			s.Owner(n)
		}
	}
}

// BenchmarkTick measures one tick of a host in a region in steady state: eight
// heartbeats sent, and eight received and answered. It excludes the network.
func BenchmarkTick(b *testing.B) {
	w := steadyRegion()
	d := w.nodes[0]
	d.table.mu.Lock()
	beat := d.table.heartbeat(d.table.targets[0].host).message
	d.table.mu.Unlock()
	beat.From = d.table.targets[0].host.Name
	beat.Incarnation = d.table.targets[0].incarnation
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		d.table.tick()
		for range heartbeatTargets {
			d.table.receive(beat)
		}
		w.events = w.events[:0]
	}
	b.ReportMetric(float64(proto.Size(beat)), "bytes/heartbeat")
}

// steadyRegion returns a region of 720 hosts that has run for 20 s.
var steadyRegion = sync.OnceValue(func() *network {
	w := newNetwork(720)
	w.startAll()
	w.run(20 * time.Second)
	return w
})
