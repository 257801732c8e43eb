package peer

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/matryer/is"
)

// replica is a scripted service "lists".
type replica struct {
	applied []gypsumyard.Object
	after   gypsumyard.Version
	newer   []gypsumyard.Object
	done    chan struct{}
}

func (r *replica) Name() string                                { return "lists" }
func (r *replica) Needs() []string                             { return nil }
func (r *replica) Start(context.Context, *kernel.Kernel) error { return nil }
func (r *replica) Stop(context.Context) error                  { close(r.done); return nil }
func (r *replica) Done() <-chan struct{}                       { return r.done }

func (r *replica) Apply(objects []gypsumyard.Object) int {
	r.applied = append(r.applied, objects...)
	return len(objects)
}

func (r *replica) Newer(after gypsumyard.Version) ([]gypsumyard.Object, gypsumyard.Version) {
	r.after = after
	return r.newer, gypsumyard.Version(len(r.newer))
}

// Guards against calls that lose fields or objects, or fail where a service is
// missing without saying so.
func TestPeers(t *testing.T) {
	is := is.New(t)
	var big []gypsumyard.Object
	for i := range 40 {
		big = append(big, gypsumyard.Object{Name: string(rune('a' + i)), Version: gypsumyard.Version(i + 1), Value: make([]byte, 1<<20), Deleted: i%2 == 0})
	}
	lists := &replica{newer: big, done: make(chan struct{})}
	o := newOwner(nil)
	_, b := start(t, "b", o, lists)
	a, self := start(t, "a")
	var peers gypsumyard.PeerClient = a
	is.NoErr(peers.PushObjects(t.Context(), b, big[:3]))
	is.Equal(lists.applied, big[:3])
	got, complete, err := peers.FetchObjects(t.Context(), b, 4)
	is.NoErr(err)
	is.Equal(got, big)
	is.Equal(complete, gypsumyard.Version(40))
	is.Equal(lists.after, gypsumyard.Version(4))
	st, err := peers.ProbeInstance(t.Context(), b, "db", "i")
	is.NoErr(err)
	is.Equal(st, gypsumyard.InstanceStatus{Role: gypsumyard.RoleReplica, FenceToken: "db/i", StreamAge: time.Second})
	is.NoErr(peers.ReleaseDatabase(t.Context(), b, "db"))
	is.Equal(o.released, []string{"db from a"})
	_, _, err = peers.FetchObjects(t.Context(), self, 0) // host a has no lists
	is.True(err != nil)
}

// Guards against a Gossip stream that goes silent and swallows heartbeats for
// as long as it takes to declare a host dead.
func TestSilentGossipIsReplaced(t *testing.T) {
	is := is.New(t)
	s, b := start(t, "b")
	s.HandleMembers(func(m *peerpb.Members) *peerpb.Members { return &peerpb.Members{From: "b", Sequence: m.Sequence} })
	p := startProxy(t, b.Addr)
	a, _ := start(t, "a")
	acked := make(chan uint64, 100)
	a.HandleMembers(func(m *peerpb.Members) *peerpb.Members { acked <- m.Sequence; return nil })
	to := gypsumyard.Host{Name: "b", Addr: p.addr()}
	a.SendMembers(to, &peerpb.Members{From: "a", Sequence: 1})
	is.Equal(<-acked, uint64(1))
	p.silence()
	began := time.Now()
	eventually(t, "heartbeat over a new stream", func() bool {
		a.SendMembers(to, &peerpb.Members{From: "a", Sequence: 2})
		time.Sleep(50 * time.Millisecond)
		return len(acked) > 0
	})
	t.Logf("replaced after %s", time.Since(began))
	is.Equal(p.dialled(), 2)
}
