package peer

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// fakeLists is a fake of the service "lists".
type fakeLists struct {
	applied []gypsumyard.Object
	after   gypsumyard.Version
	newer   []gypsumyard.Object
	held    map[string]gypsumyard.Version
	done    chan struct{}
}

func (r *fakeLists) Name() string                                { return "lists" }
func (r *fakeLists) Needs() []string                             { return nil }
func (r *fakeLists) Start(context.Context, *kernel.Kernel) error { return nil }
func (r *fakeLists) Stop(context.Context) error                  { close(r.done); return nil }
func (r *fakeLists) Done() <-chan struct{}                       { return r.done }

func (r *fakeLists) Apply(objects []gypsumyard.Object) int {
	r.applied = append(r.applied, objects...)
	return len(objects)
}

func (r *fakeLists) Holds(name string, v gypsumyard.Version) bool {
	held, ok := r.held[name]
	return ok && held >= v
}

func (r *fakeLists) Newer(after gypsumyard.Version) gypsumyard.ObjectUpdate {
	r.after = after
	return gypsumyard.ObjectUpdate{
		Objects: r.newer, Complete: gypsumyard.NewVersion(2, uint64(len(r.newer))), ValidFor: time.Second, EraAge: time.Hour, Proven: true,
	}
}

// Guards against calls that lose fields or objects, or that report no error when
// the called service is missing.
func TestPeers(t *testing.T) {
	is := is.New(t)
	var big []gypsumyard.Object
	for i := range 40 {
		big = append(big, gypsumyard.Object{Name: string(rune('a' + i)), Version: gypsumyard.NewVersion(2, uint64(i+1)), Value: make([]byte, 1<<20), Deleted: i%2 == 0})
	}
	lists := &fakeLists{newer: big, done: make(chan struct{})}
	o := newFakeOwner(nil)
	_, b := startHost(t, "b", o, lists)
	a, self := startHost(t, "a")
	var peers gypsumyard.PeerClient = a
	is.NoErr(peers.PushObjects(t.Context(), b, big[:3]))
	is.Equal(lists.applied, big[:3])
	got, err := peers.FetchObjects(t.Context(), b, gypsumyard.NewVersion(1, 4))
	is.NoErr(err)
	is.Equal(got, gypsumyard.ObjectUpdate{Objects: big, Complete: gypsumyard.NewVersion(2, 40), ValidFor: time.Second, EraAge: time.Hour, Proven: true})
	is.Equal(lists.after, gypsumyard.NewVersion(1, 4))
	st, err := peers.ProbeInstance(t.Context(), b, "db", "i")
	is.NoErr(err)
	is.Equal(st, gypsumyard.InstanceStatus{Role: gypsumyard.RoleReplica, FenceToken: "db/i", StreamAge: time.Second})
	is.NoErr(peers.ReleaseDatabase(t.Context(), b, "db"))
	is.Equal(o.released, []string{"db from a"})
	_, err = peers.FetchObjects(t.Context(), self, 0) // host a has no lists
	is.True(err != nil)
}

// Guards against an object that is too large for a message and breaks the stream, on which
// the heartbeats are, and against an update without it that is taken for complete. Hosts
// from before values were fetched in parts get what fits, hosts of today all.
func TestLargeObject(t *testing.T) {
	is := is.New(t)
	objects := []gypsumyard.Object{{Name: "a", Value: make([]byte, maxObjectBytes)}, {Name: "b", Value: make([]byte, 10<<20)}}
	lists := &fakeLists{newer: objects, done: make(chan struct{})}
	_, b := startHost(t, "b", newFakeOwner(nil), lists)
	a, _ := startHost(t, "a")
	for range 2 {
		replies, err := a.query(t.Context(), b, &peerpb.ListQuery{})
		is.NoErr(err)
		is.Equal(len(replies), 2)
		is.Equal(decodeObject(replies[0].Object), objects[0])
		is.True(proto.Equal(replies[1], &peerpb.Reply{Last: true})) // It proves nothing.
		got, err := a.FetchObjects(t.Context(), b, 0)
		is.NoErr(err)
		is.Equal(got.Objects, objects)
		is.Equal(got.Complete, gypsumyard.NewVersion(2, 2))
	}
}

// Guards against a large value that is fetched although this host holds it, and against an
// object that is missing in the update for that reason.
func TestHeldValueIsNotFetched(t *testing.T) {
	is := is.New(t)
	objects := []gypsumyard.Object{
		{Name: "a", Version: gypsumyard.NewVersion(2, 7), Value: randomValue(2 * partBytes)},
		{Name: "b", Version: gypsumyard.NewVersion(2, 8), Value: randomValue(2 * partBytes)},
		{Name: "c", Version: gypsumyard.NewVersion(2, 9), Value: []byte("small")},
	}
	_, b := startHost(t, "b", newFakeOwner(nil), &fakeLists{newer: objects, done: make(chan struct{})})
	held := map[string]gypsumyard.Version{"a": gypsumyard.NewVersion(2, 7), "b": gypsumyard.NewVersion(2, 7), "c": gypsumyard.NewVersion(2, 9)}
	a, _ := startHost(t, "a", &fakeLists{held: held, done: make(chan struct{})})
	got, err := a.FetchObjects(t.Context(), b, 0)
	is.NoErr(err)
	is.Equal(got.Objects, []gypsumyard.Object{{Name: "a", Version: gypsumyard.NewVersion(2, 7)}, objects[1], objects[2]})
}

// claimOwner is an owner that answers calls for claims with a script.
type claimOwner struct {
	*fakeOwner
	calls   []gypsumyard.ClaimCall
	outcome error
}

func (o *claimOwner) CallClaim(_ context.Context, c gypsumyard.ClaimCall) (gypsumyard.Object, error) {
	o.calls = append(o.calls, c)
	return gypsumyard.Object{Name: "claims/g", Version: gypsumyard.NewVersion(3, 9), Value: []byte("y")}, o.outcome
}

// Guards against errors of the store that lose their meaning on the way, and against a
// write that is reported as not done although its answer was lost.
func TestRelayClaim(t *testing.T) {
	is := is.New(t)
	o := &claimOwner{fakeOwner: newFakeOwner(nil)}
	_, b := startHost(t, "b", o)
	a, self := startHost(t, "a")
	write := gypsumyard.ClaimCall{Database: "g", Value: []byte("x"), Expected: gypsumyard.NewVersion(3, 7)}
	for _, want := range []error{nil, gypsumyard.ErrNotFound, gypsumyard.ErrConflict, gypsumyard.ErrUnavailable, gypsumyard.ErrOutcomeUnknown} {
		o.outcome = want
		got, err := a.RelayClaim(t.Context(), b, write)
		is.True(errors.Is(err, want))
		is.Equal(got.Version, gypsumyard.NewVersion(3, 9))
		is.Equal(o.calls[len(o.calls)-1], write)
	}
	o.outcome = io.ErrUnexpectedEOF
	_, err := a.RelayClaim(t.Context(), b, write)
	is.True(errors.Is(err, gypsumyard.ErrOutcomeUnknown))
	_, err = a.RelayClaim(t.Context(), self, write) // Host a has no owner.
	is.True(errors.Is(err, gypsumyard.ErrOutcomeUnknown))
	_, err = a.RelayClaim(t.Context(), self, gypsumyard.ClaimCall{Database: "g"})
	is.True(errors.Is(err, gypsumyard.ErrUnavailable))
}

// Guards against a Gossip stream whose connection is lost without being closed and
// which loses heartbeats for so long that a host is declared dead.
func TestSilentGossipIsReplaced(t *testing.T) {
	for name, dial := range testDialers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, b := startHost(t, "b")
			s.HandleMembers(func(m *peerpb.Members) *peerpb.Members { return &peerpb.Members{From: "b", Sequence: m.Sequence} })
			p := startProxy(t, b.Addr)
			a, _ := startHost(t, "a")
			a.dialer = dial
			acked := make(chan uint64, 100)
			a.HandleMembers(func(m *peerpb.Members) *peerpb.Members { acked <- m.Sequence; return nil })
			to := gypsumyard.Host{Name: "b", Addr: p.addr()}
			a.SendMembers(to, &peerpb.Members{From: "a", Sequence: 1})
			is.Equal(<-acked, uint64(1))
			p.stall()
			began := time.Now()
			eventually(t, "heartbeat over a new stream", func() bool {
				a.SendMembers(to, &peerpb.Members{From: "a", Sequence: 2})
				time.Sleep(50 * time.Millisecond)
				return len(acked) > 0
			})
			t.Logf("replaced after %s", time.Since(began))
			p.checkDials(t, 2)
		})
	}
}
