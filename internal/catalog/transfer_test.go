package catalog

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/kernel/kerneltest"
	"github.com/matryer/is"
)

// Guards against a host that reads the store beside a transfer which ends in time, and
// against one that relies on a transfer which does not, or has stopped.
func TestTransferEndsInTime(t *testing.T) {
	is := is.New(t)
	now := clock.NewFake(time.Unix(100, 0))
	tr := &transfer{clock: now, limit: 3 * time.Second}
	is.True(!tr.endsInTime()) // There is none.

	arrive := func(after time.Duration, arrived int64) {
		now.Advance(after)
		tr.note(gypsumyard.Progress{Arrived: arrived, Size: 1000})
	}
	arrive(0, 400) // It goes on where another one stopped.
	is.True(tr.endsInTime())
	arrive(time.Second, 600) // 200 bytes a second: it ends after three seconds.
	is.True(tr.endsInTime())
	arrive(900*time.Millisecond, 700) // 158 bytes a second.
	is.True(!tr.endsInTime())
	arrive(100*time.Millisecond, 900)
	is.True(tr.endsInTime())
	now.Advance(maxTransferPause + 1)
	is.True(!tr.endsInTime())

	tr.end()
	arrive(0, 0)
	is.True(tr.endsInTime())
	tr.end()
	is.True(!tr.endsInTime())
}

// slowStore is a store whose answers take some time to arrive once they have begun.
type slowStore struct {
	*memstore.Store
	takes atomic.Int64
}

func (s *slowStore) arrive(ctx context.Context) {
	gypsumyard.ReportProgress(ctx, gypsumyard.Progress{Arrived: 1})
	time.Sleep(time.Duration(s.takes.Load()))
}

func (s *slowStore) Watch(ctx context.Context, prefix string, after gypsumyard.Version) ([]gypsumyard.Object, gypsumyard.Version, error) {
	list, v, err := s.Store.Watch(ctx, prefix, after)
	s.arrive(ctx)
	return list, v, err
}

func (s *slowStore) List(ctx context.Context, prefix string) ([]gypsumyard.Object, gypsumyard.Version, error) {
	list, v, err := s.Store.List(ctx, prefix)
	s.arrive(ctx)
	return list, v, err
}

// Guards against hosts that rely on a copy for too long because the store's answer, which
// takes long to arrive, counts from its end.
func TestAnswerCountsFromItsBeginning(t *testing.T) {
	const takes = time.Second
	store := &slowStore{Store: memstore.New()}
	put(t, store.Store, names.Desired, "1")
	store.takes.Store(int64(takes))
	s := startFor(t, forAll(store), nil, "a", []string{"a"}, WithApplyTimeout(5*time.Second))
	valid := s.cadence.validity
	var longest time.Duration
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		longest = max(longest, s.contact.validFor())
	}
	if longest == 0 || longest > valid-takes {
		t.Fatalf("copies count for %v when answers have arrived, want up to %v", longest, valid-takes)
	}
}

// A sendingPeers answers each fetch with a large desired state.
type sendingPeers struct {
	kerneltest.Stub
	gypsumyard.PeerClient
	state gypsumyard.Object
}

func (p *sendingPeers) FetchObjects(ctx context.Context, _ gypsumyard.Host, _ gypsumyard.Version) (gypsumyard.ObjectUpdate, error) {
	gypsumyard.ReportProgress(ctx, gypsumyard.Progress{Arrived: 500, Size: 1000})
	gypsumyard.ReportProgress(ctx, gypsumyard.Progress{Arrived: 1000, Size: 1000})
	return gypsumyard.ObjectUpdate{Objects: []gypsumyard.Object{p.state}, Complete: p.state.Version}, nil
}

// A watchedDecoder calls a function while it decodes a desired state.
type watchedDecoder struct {
	decoder
	decoding func()
}

func (d watchedDecoder) DesiredState(o gypsumyard.Object) (*gypsumyard.DesiredState, error) {
	d.decoding()
	return d.decoder.DesiredState(o)
}

// Guards against a host that reads a large desired state from the store while it puts in
// force the same one from a peer: the answer takes the link from the next transfer.
func TestTransferLastsUntilItsStateIsInForce(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	var s *Service
	var transferring []bool
	d := watchedDecoder{decoding: func() { transferring = append(transferring, s.peerTransfer.endsInTime()) }}
	s = New(forAll(store), d, names, "region")
	p := &sendingPeers{Stub: kerneltest.New("peer"), state: gypsumyard.Object{Name: names.Desired, Version: 7, Value: []byte("2")}}
	m := &members{Stub: kerneltest.New("members"), self: "host-1", hosts: []gypsumyard.Host{{Name: "host-0", State: gypsumyard.HostLive}}}
	k, err := kernel.New(p, m)
	is.NoErr(err)
	s.kernel = k
	is.NoErr(s.pullFromPeer())
	is.Equal(desiredNumber(s), int64(2))
	is.Equal(transferring, []bool{true})
	is.True(!s.peerTransfer.endsInTime())
}
