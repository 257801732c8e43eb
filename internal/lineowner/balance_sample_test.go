package lineowner

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// Pattern: another host believes that it owns the group as well and keeps one replica busy.
//
// Guards against reads that go to an instance whose slots others hold, and against an owner
// without others that gives up what it knows exactly for a sample.
func TestLoadOfOtherClientsCounts(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	f.uneven = true
	h := f.addHost("host-1", nil)
	_, _, err := f.run(h, statement{text: "READ x", class: gypsumyard.StatementRead, consistency: gypsumyard.ConsistencyPrimary})
	is.NoErr(err)
	h.mu.Lock()
	g := h.groups[groupName]
	h.mu.Unlock()

	g.mu.Lock()
	defer g.mu.Unlock()
	replica := g.instances[1]
	slots := replica.listed.Slots
	cost := func() time.Duration {
		return g.balance.Estimate([]string{replica.id}, 20*time.Millisecond, false)[0].Delay
	}
	idle := cost()
	s := replica.status
	s.busy, s.connections = slots+1, 0
	g.sampleLoad(replica, s, g.clock.Now())
	is.Equal(cost(), idle)
	s.connections = replica.pool.openConnections() + ownControlConnections + clientConnections
	g.sampleLoad(replica, s, g.clock.Now())
	is.True(cost() > idle)
}
