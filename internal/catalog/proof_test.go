package catalog

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/kernel/kerneltest"
	"github.com/matryer/is"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// testRevokeTimeout is the time within which a withdrawn key must not be accepted.
const testRevokeTimeout = 5 * time.Second

// keyedDecoder decodes each desired state as one with customers.
type keyedDecoder struct{ decoder }

func (k keyedDecoder) DesiredState(o gypsumyard.Object) (*gypsumyard.DesiredState, error) {
	d, err := k.decoder.DesiredState(o)
	if err == nil {
		d.Keyed = true
	}
	return d, err
}

// withKeys makes a service strict, for desired states with customers.
func withKeys(s *Service) {
	s.decoder = keyedDecoder{}
	s.revokeTimeout = testRevokeTimeout
}

// newStrict returns the catalog of a lone host, which is not started.
func newStrict(t *testing.T, store gypsumyard.Store, options ...Option) *Service {
	t.Helper()
	s := New(forAll(store), decoder{}, names, "region", append([]Option{withKeys}, options...)...)
	m := &members{Stub: kerneltest.New("members"), self: "a", hosts: []gypsumyard.Host{{Name: "a", State: gypsumyard.HostLive}}}
	k, err := kernel.New(s, m)
	if err != nil {
		t.Fatal(err)
	}
	s.kernel = k
	s.peerCheck.noteAnswer(0, s.clock.Now())
	return s
}

// answeringStore answers lists of the desired state with answer.
type answeringStore struct {
	*memstore.Store
	answer func(list func() ([]gypsumyard.Object, gypsumyard.Version, error)) ([]gypsumyard.Object, gypsumyard.Version, error)
}

func (s *answeringStore) List(ctx context.Context, prefix string) ([]gypsumyard.Object, gypsumyard.Version, error) {
	return s.answer(func() ([]gypsumyard.Object, gypsumyard.Version, error) { return s.Store.List(ctx, prefix) })
}

// Guards against a proof that counts from the arrival of a late answer, or that an
// answer which was lost renews.
func TestProofCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		put(t, store, names.Desired, "1")
		late := &answeringStore{Store: store}
		late.answer = func(list func() ([]gypsumyard.Object, gypsumyard.Version, error)) ([]gypsumyard.Object, gypsumyard.Version, error) {
			objects, v, err := list()
			time.Sleep(300 * time.Millisecond)
			return objects, v, err
		}
		s := newStrict(t, late)
		_, ok := s.proofAge()
		is.True(!ok)
		sent := time.Now()
		is.NoErr(s.list(names.desiredPrefix()))
		is.True(s.ProvenAt().Equal(sent))
		is.True(s.KeysProven())
		late.answer = func(list func() ([]gypsumyard.Object, gypsumyard.Version, error)) ([]gypsumyard.Object, gypsumyard.Version, error) {
			_, _, _ = list()
			return nil, 0, errors.New("the answer is lost")
		}
		is.True(s.list(names.desiredPrefix()) != nil)
		is.True(s.ProvenAt().Equal(sent))
		time.Sleep(testRevokeTimeout - 300*time.Millisecond)
		is.True(s.KeysProven())
		time.Sleep(time.Nanosecond)
		is.True(!s.KeysProven())
	})
}

// Guards against a read of other objects, or of an earlier era, that renews the proof,
// and against a restore that ends a proof which is still good.
func TestOnlyReadsOfDesiredStateProve(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	store.SetEra(1)
	put(t, store, names.Desired, "1")
	c := clock.NewFake(time.Unix(1000, 0))
	s := newStrict(t, store, WithClock(c))
	s.peerCheck.noteAnswer(1, c.Now())
	is.NoErr(s.list(names.desiredPrefix()))
	proven := s.ProvenAt()
	is.Equal(proven, c.Now())
	older := store.Copy()
	c.Advance(time.Second)
	is.NoErr(s.list(names.Instances))
	is.Equal(s.ProvenAt(), proven)
	store.Restore(older)
	is.NoErr(s.list(names.Instances)) // The host learns of the new era.
	is.Equal(s.latestEra(), gypsumyard.Era(2))
	is.Equal(s.ProvenAt(), proven)
	is.True(s.KeysProven())
	store.SetEra(1) // An answer from before the restore.
	is.True(s.list(names.desiredPrefix()) != nil)
	is.Equal(s.ProvenAt(), proven)
	store.SetEra(2)
	is.NoErr(s.list(names.desiredPrefix()))
	is.Equal(s.ProvenAt(), proven) // Peers may have a newer state.
	c.Advance(firstPullTimeout)
	is.NoErr(s.list(names.desiredPrefix()))
	is.Equal(s.ProvenAt(), c.Now())
}

// Pattern: a key is withdrawn, the store comes back from a copy that has it, and a host
// starts, or one that was cut off regains the store.
//
// Guards against a host that accepts the key until its peers tell what the restore has
// lost, and against a host that has no peers and never accepts any.
func TestRestoreBringsKeyBack(t *testing.T) {
	for _, starts := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store, own := memstore.New(), memstore.New()
			for _, s := range []*memstore.Store{store, own} {
				s.SetEra(1)
				put(t, s, names.Desired, "1")
			}
			older := store.Copy()
			p := &peers{hosts: map[string]*Service{}}
			a := startFor(t, forAll(store), p, "a", []string{"a", "b"}, withKeys)
			cutOff := &peers{hosts: map[string]*Service{}}
			var b *Service
			if !starts {
				b = startFor(t, forAll(own), cutOff, "b", []string{"a", "b"}, withKeys)
				time.Sleep(time.Second)
				own.SetDown(true)
			}
			put(t, store, names.Desired, "2")
			time.Sleep(testRevokeTimeout)
			store.Restore(older)
			own.Restore(older)
			time.Sleep(time.Second)
			own.SetDown(false)
			if starts {
				b = startFor(t, forAll(own), p, "b", []string{"a", "b"}, withKeys)
			} else {
				cutOff.mu.Lock()
				cutOff.hosts["a"] = a
				cutOff.mu.Unlock()
			}
			began := time.Now()
			for !b.KeysProven() || desiredNumber(b) == 0 {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(began); desiredNumber(b) != 2 || took > 500*time.Millisecond {
				t.Errorf("state %d is proven after %v", desiredNumber(b), took)
			}
			if desiredNumber(a) != 2 {
				t.Error("the state went back")
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		put(t, store, names.Desired, "1")
		s := startFor(t, forAll(store), nil, "a", []string{"a"}, withKeys)
		time.Sleep(2 * firstPullTimeout)
		if !s.KeysProven() {
			t.Error("a lone host has no proof")
		}
	})
}

// Guards against a proof from a peer that is younger than the peer's own, or that a peer
// gives which states no age, lacks the store, or has not seen its latest restore.
func TestProofFromPeer(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1000, 0))
	s := newStrict(t, memstore.New(), WithClock(c))
	s.eras.Observe(2)
	sent := c.Now()
	c.Advance(400 * time.Millisecond) // The answer is under way.
	answer := gypsumyard.ObjectUpdate{Complete: at(2, 9), ValidFor: time.Second, Proven: true, ProofAge: time.Second}
	for _, refused := range []func(u *gypsumyard.ObjectUpdate){
		func(u *gypsumyard.ObjectUpdate) { u.Proven, u.ProofAge = false, 0 },
		func(u *gypsumyard.ObjectUpdate) { u.Complete = 0 },
		func(u *gypsumyard.ObjectUpdate) { u.Complete = at(1, 90) },
	} {
		u := answer
		refused(&u)
		s.notePeerProof(sent, u)
		is.True(s.ProvenAt().IsZero())
	}
	s.notePeerProof(sent, answer)
	is.Equal(s.ProvenAt(), sent.Add(-time.Second))
	answer.ProofAge = 2 * time.Second
	s.notePeerProof(sent, answer) // An older one changes nothing.
	is.Equal(s.ProvenAt(), sent.Add(-time.Second))
}

// Guards against hosts that state the age of their proof, or call the store and their
// peers more often, although no key can be withdrawn.
func TestNoProofIsStatedWithoutKeys(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name    string
		strict  time.Duration
		decoder gypsumyard.Decoder
		stated  bool
	}{
		{"strict without customers", testRevokeTimeout, decoder{}, false},
		{"customers without strict", 0, keyedDecoder{}, false},
		{"strict with customers", testRevokeTimeout, keyedDecoder{}, true},
	} {
		store := memstore.New()
		put(t, store, names.Desired, "1")
		s := newStrict(t, store, WithRevokeTimeout(c.strict), func(s *Service) { s.decoder = c.decoder })
		is.NoErr(s.list(names.desiredPrefix()))
		is.NoErr(s.list(names.Instances))
		is.Equal(s.Newer(0).Proven, c.stated)
		is.Equal(s.strictWatchTimeout() < s.cadence.watchTimeout, c.stated)
		_, pulls := s.untilProofPull()
		is.Equal(pulls, c.stated)
		s.proof.at.Store(nil)
		is.Equal(s.proofIsLate(), c.stated)
		is.Equal(s.KeysProven(), !c.stated)
	}
}

// Pattern: nothing changes for a minute, then the store is lost.
//
// Guards against a proof that gets old while the store answers, so that a host which is
// cut off serves for less than six tenths of the time, and against one that lasts for
// longer than the time.
func TestProofStaysYoung(t *testing.T) {
	for _, revoke := range []time.Duration{time.Second, 2 * time.Second, testRevokeTimeout, 30 * time.Second} {
		t.Run(revoke.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &countingStore{Store: memstore.New()}
				put(t, store.Store, names.Desired, "1")
				fleet := startFleet(t, store, 10, withKeys, WithRevokeTimeout(revoke))
				time.Sleep(3 * time.Second)
				store.take()
				oldest := time.Duration(0)
				for range 60 * 20 {
					time.Sleep(50 * time.Millisecond)
					for _, s := range fleet {
						age, ok := s.proofAge()
						if !ok {
							t.Fatal("no proof")
						}
						oldest = max(oldest, age)
					}
				}
				t.Logf("oldest proof %v, %d calls in a minute", oldest, store.take())
				if oldest > revoke*4/10 {
					t.Errorf("oldest proof %v", oldest)
				}
				store.SetDown(true)
				time.Sleep(revoke * 6 / 10)
				for n, s := range fleet {
					if !s.KeysProven() {
						t.Errorf("host %d has lost its proof", n)
					}
				}
				time.Sleep(revoke * 4 / 10)
				for n, s := range fleet {
					if s.KeysProven() {
						t.Errorf("host %d still has a proof", n)
					}
				}
				store.SetDown(false)
				time.Sleep(2 * time.Second)
				for n, s := range fleet {
					if !s.KeysProven() {
						t.Errorf("host %d has no proof", n)
					}
				}
			})
		})
	}
}

// Guards against a host that keeps a key since its peers state no age, as hosts of an
// earlier version, and against one that is not served although the store answers it.
func TestPeersWithoutProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, own := memstore.New(), memstore.New()
		put(t, store, names.Desired, "1")
		put(t, own, names.Desired, "1")
		p := &peers{hosts: map[string]*Service{}}
		startFor(t, forAll(store), p, "a", []string{"a", "b"})
		b := startFor(t, forAll(own), p, "b", []string{"a", "b"}, withKeys)
		time.Sleep(2 * time.Second) // Its first read, the pause of a stand-in, and a watch.
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			is.True(b.KeysProven()) // It reads the store itself.
		}
		own.SetDown(true)
		time.Sleep(testRevokeTimeout)
		is.Equal(desiredNumber(b), int64(1))
		is.True(b.Current())
		is.True(!b.KeysProven())
	})
}

// Guards against a withdrawal, or the loss of the proof, that operators can't see, and
// against lines that repeat.
func TestProofIsLogged(t *testing.T) {
	is := is.New(t)
	log, hook := logtest.NewNullLogger()
	store := memstore.New()
	put(t, store, names.Desired, "1")
	c := clock.NewFake(time.Unix(1000, 0))
	s := newStrict(t, store, WithClock(c), WithLogger(log))
	is.NoErr(s.list(names.desiredPrefix()))
	for _, wait := range []time.Duration{0, testRevokeTimeout + 1, 1} {
		c.Advance(wait)
		s.logProof()
	}
	is.Equal(hook.LastEntry().Message, "keys are not proven, sessions with keys are refused")
	n := len(hook.Entries)
	is.NoErr(s.list(names.desiredPrefix()))
	s.logProof()
	s.logProof()
	is.Equal(hook.LastEntry().Message, "keys are proven again")
	is.Equal(len(hook.Entries), n+1)

	old := &gypsumyard.DesiredState{Keys: map[gypsumyard.KeyHash]string{{1}: "x", {2}: "x", {3}: "y"}}
	is.Equal(withdrawnKeys(nil, old), 0)
	is.Equal(withdrawnKeys(old, &gypsumyard.DesiredState{Keys: map[gypsumyard.KeyHash]string{{1}: "x", {2}: "y", {4}: "z"}}), 2)
}
