package catalog

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/gypsumyard/gypsumyard/internal/era"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

// newCache returns a catalog that is not started, with its clock.
func newCache(t *testing.T) (*Service, *clock.Fake) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := clock.NewFake(time.Unix(1000, 0))
	return New(forAll(memstore.New()), decoder{}, names, "region", WithLogger(log), WithClock(c)), c
}

// entry returns the entry of instance i-1 with its place in the store's history.
func entry(e gypsumyard.Era, revision uint64, sequence int, leaving bool) gypsumyard.Object {
	return gypsumyard.Object{
		Name: names.Instances + "i-1", Version: gypsumyard.NewVersion(e, revision),
		Value: fmt.Appendf(nil, `{"Group":"g","Slots":2,"Sequence":%d,"Leaving":%v}`, sequence, leaving),
	}
}

func desired(e gypsumyard.Era, revision uint64, number int) gypsumyard.Object {
	return gypsumyard.Object{Name: names.Desired, Version: gypsumyard.NewVersion(e, revision), Value: fmt.Append(nil, number)}
}

func at(e gypsumyard.Era, revision uint64) gypsumyard.Version {
	return gypsumyard.NewVersion(e, revision)
}

// list applies a complete list of the instances' entries.
func list(s *Service, v gypsumyard.Version, objects ...gypsumyard.Object) {
	s.applyList(names.Instances, objects, v)
}

// Guards against an older desired state in force after a restore, and against a new
// one that is ignored because its revision is lower than an earlier one.
func TestRestoreKeepsTheNewestState(t *testing.T) {
	is := is.New(t)
	s, _ := newCache(t)
	s.Apply([]gypsumyard.Object{desired(1, 90, 5)})
	s.Apply([]gypsumyard.Object{desired(2, 40, 4)}) // As the restored store has it.
	is.Equal(desiredNumber(s), int64(5))
	s.Apply([]gypsumyard.Object{desired(2, 41, 5)}) // As the operator writes it again.
	is.Equal(desiredNumber(s), int64(5))
	is.Equal(s.Desired().Version, at(2, 41))
	s.Apply([]gypsumyard.Object{desired(2, 42, 6)})
	is.Equal(desiredNumber(s), int64(6))
	s.Apply([]gypsumyard.Object{{Name: names.Desired, Version: at(3, 1), Deleted: true}})
	is.Equal(desiredNumber(s), int64(6))
	s.Apply([]gypsumyard.Object{{Name: names.Desired, Version: at(3, 2), Value: []byte(`"broken"`)}})
	is.Equal(desiredNumber(s), int64(6))
	s.Apply([]gypsumyard.Object{desired(3, 3, 7)})
	is.Equal(desiredNumber(s), int64(7))
}

// Guards against a desired state that goes back, whatever the order, the era and the
// source of the objects.
func TestDesiredStateNeverGoesBackAcrossEras(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s, _ := newCache(t)
		highest := int64(0)
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			e := rapid.Uint32Range(0, 3).Draw(r, "era")
			n := rapid.IntRange(1, 20).Draw(r, "number")
			// Within an era the operator's numbers rise with the revisions.
			s.Apply([]gypsumyard.Object{desired(gypsumyard.Era(e), uint64(n), n)})
			if now := desiredNumber(s); now < highest {
				r.Fatalf("state %d in force after %d", now, highest)
			}
			highest = desiredNumber(s)
		}
	})
}

// Guards against an instance that has left and is used again since a restore shows
// its old entry, and against one that is never used again although it lives.
func TestRestoreShowsEntryOfDepartedInstance(t *testing.T) {
	is := is.New(t)
	s, c := newCache(t)
	list(s, at(1, 10), entry(1, 10, 80, true))
	s.Apply([]gypsumyard.Object{{Name: names.Instances + "i-1", Version: at(1, 20), Deleted: true}})
	is.Equal(len(s.Instances("g")), 0)
	list(s, at(2, 12), entry(2, 5, 7, false))
	is.Equal(len(s.Instances("g")), 0)
	list(s, at(2, 13), entry(2, 5, 7, false)) // The same list again.
	is.Equal(len(s.Instances("g")), 0)
	s.Apply([]gypsumyard.Object{{Name: names.Instances + "i-1", Version: at(2, 14), Deleted: true}}) // It has lapsed.
	c.Advance(withheldTimeout)
	s.expireRemoved()
	is.Equal(len(s.Instances("g")), 0)

	// The instance lives: it was taken for gone, and writes again.
	list(s, at(3, 12), entry(3, 5, 7, false))
	is.Equal(len(s.Instances("g")), 0)
	s.Apply([]gypsumyard.Object{entry(3, 15, 81, false)})
	is.Equal(len(s.Instances("g")), 1)
}

// Guards against an instance that stays out of use for good because its writes since
// a restore are not seen: its entry does not lapse.
func TestEntryThatStaysIsUsedAgain(t *testing.T) {
	is := is.New(t)
	s, c := newCache(t)
	list(s, at(1, 10), entry(1, 10, 80, false))
	s.Apply([]gypsumyard.Object{{Name: names.Instances + "i-1", Version: at(1, 20), Deleted: true}})
	c.Advance(removalGrace + time.Second)
	s.expireRemoved()
	is.Equal(len(s.Instances("g")), 0)
	list(s, at(2, 12), entry(2, 5, 7, false))
	c.Advance(withheldTimeout - time.Second)
	s.expireRemoved()
	is.Equal(len(s.Instances("g")), 0)
	c.Advance(time.Second)
	s.expireRemoved()
	is.Equal(len(s.Instances("g")), 1)
}

// Guards against a leaving instance that gets new work again since a restore shows
// its entry from before.
func TestRestoreForgetsThatInstanceLeaves(t *testing.T) {
	is := is.New(t)
	s, c := newCache(t)
	list(s, at(1, 10), entry(1, 10, 80, true))
	list(s, at(2, 12), entry(2, 5, 7, false))
	is.True(s.Instances("g")[0].Leaving)
	c.Advance(2 * withheldTimeout)
	s.expireRemoved()
	is.True(s.Instances("g")[0].Leaving)
	s.Apply([]gypsumyard.Object{{Name: names.Instances + "i-1", Version: at(2, 14), Deleted: true}})
	c.Advance(removalGrace + time.Millisecond)
	s.expireRemoved()
	is.Equal(len(s.Instances("g")), 0)
}

// Guards against an instance whose entry a restore has lost and that is dropped
// before it can have written again, and against one that is kept although it has
// not.
func TestRestoreLosesEntry(t *testing.T) {
	is := is.New(t)
	for _, leaving := range []bool{false, true} {
		s, c := newCache(t)
		list(s, at(1, 10), entry(1, 10, 3, leaving))
		list(s, at(2, 8))
		c.Advance(removalGrace - time.Second)
		s.expireRemoved()
		is.Equal(len(s.Instances("g")), 1)
		s.Apply([]gypsumyard.Object{entry(2, 9, 4, leaving)})
		c.Advance(removalGrace)
		s.expireRemoved()
		is.Equal(len(s.Instances("g")), 1)
		list(s, at(3, 8))
		c.Advance(removalGrace + time.Millisecond)
		s.expireRemoved()
		is.Equal(len(s.Instances("g")), 0)
	}
}

// Guards against an instance that has started again under its ID, whose sequence
// begins anew, and is taken for an older entry of itself.
func TestRestartedInstanceAcrossEras(t *testing.T) {
	is := is.New(t)
	s, _ := newCache(t)
	list(s, at(1, 10), entry(1, 10, 80, false))
	o := entry(2, 11, 1, false)
	o.Value = []byte(`{"Group":"g","Slots":2,"Sequence":1,"Started":"2026-01-01T00:00:00Z"}`)
	s.Apply([]gypsumyard.Object{o})
	is.Equal(s.Instances("g")[0].Sequence, int64(1))
	s.Apply([]gypsumyard.Object{entry(3, 5, 80, false)}) // The earlier process.
	is.Equal(s.Instances("g")[0].Sequence, int64(1))
}

// Guards against a list from before a restore that arrives late and removes entries,
// or lowers the version from which changes are watched.
func TestLateListOfEarlierEra(t *testing.T) {
	is := is.New(t)
	s, c := newCache(t)
	list(s, at(2, 8), entry(2, 8, 3, false))
	list(s, at(1, 90))
	c.Advance(2 * removalGrace)
	s.expireRemoved()
	is.Equal(len(s.Instances("g")), 1)
	is.Equal(s.completeVersion(names.Instances), at(2, 8))
}

// Guards against a host that starts after a restore, lists the older state, and does
// not learn from its peers what they had before.
func TestNewHostLearnsFromPeerWhatRestoreLost(t *testing.T) {
	is := is.New(t)
	old, _ := newCache(t)
	old.Apply([]gypsumyard.Object{desired(1, 90, 5)})
	list(old, at(1, 91), entry(1, 90, 80, true))
	old.Apply([]gypsumyard.Object{{Name: names.Instances + "i-1", Version: at(1, 92), Deleted: true}})
	restored := []gypsumyard.Object{desired(2, 40, 4), entry(2, 30, 7, false)}
	young, c := newCache(t)
	for _, s := range []*Service{old, young} {
		s.applyList(names.desiredPrefix(), restored[:1], at(2, 41))
		list(s, at(2, 41), restored[1])
	}
	is.Equal(desiredNumber(young), int64(4))
	is.Equal(len(young.Instances("g")), 1)
	old.contact.noteAnswer(names.desiredPrefix(), time.Now())
	old.contact.noteAnswer(names.Instances, time.Now())
	u := old.Newer(at(2, 41))
	is.Equal(u.Complete, at(2, 41))
	young.Apply(u.Objects)
	c.Advance(removalGrace + time.Millisecond)
	young.expireRemoved()
	is.Equal(desiredNumber(young), int64(5))
	is.Equal(len(young.Instances("g")), 0)
	old.Apply(young.Newer(at(2, 41)).Objects) // What the other has learned changes nothing here.
	is.Equal(desiredNumber(old), int64(5))
	is.Equal(len(old.Instances("g")), 0)
}

// Guards against a host that only pulls from others and takes their answers for
// complete after a restore, or relies on a watcher that has not seen it yet.
func TestEachHostListsAfterRestore(t *testing.T) {
	is := is.New(t)
	store, own := memstore.New(), memstore.New()
	for _, s := range []*memstore.Store{store, own} {
		s.SetEra(1)
		put(t, s, names.Desired, "1")
		put(t, s, names.Instances+"i-1", `{"Group":"g","Slots":2,"Sequence":1}`)
	}
	older := store.Copy()
	p := &peers{hosts: map[string]*Service{}}
	a := start(t, store, p, "a", "a", "b")
	b := start(t, own, p, "b", "a", "b")
	eventually(t, applyWithin, "the instance on both", func() bool { return len(a.Instances("g")) == 1 && len(b.Instances("g")) == 1 })
	before := own.Calls("list")
	store.Restore(older)
	own.Restore(older)
	put(t, own, names.Instances+"i-2", `{"Group":"g","Slots":2,"Sequence":1}`)
	eventually(t, applyWithin, "what the store has since", func() bool { return len(b.Instances("g")) == 2 })
	// One for the state and one for the instances.
	eventually(t, applyWithin, "both lists", func() bool { return own.Calls("list") == before+2 })
	time.Sleep(pullInterval)
	is.Equal(own.Calls("list"), before+2)
}

// Guards against a host that is not registered after a restore has lost its entry.
func TestHostRegistersAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	store.SetEra(1)
	log := logrus.New()
	log.SetOutput(io.Discard)
	older := store.Copy()
	eras := era.NewTracker(era.WithLogger(log))
	self := gypsumyard.Host{Name: "host-1", Region: "region"}
	r := NewRegistry(store, store, names.Hosts, self, eras, log)
	is.NoErr(r.Start(t.Context(), nil))
	registered := func() bool { hosts, err := r.Hosts(t.Context()); return err == nil && len(hosts) == 1 }
	eventually(t, time.Second, "the registration", registered)
	store.Restore(older)
	is.True(!registered())
	eras.Observe(store.Era())
	eventually(t, time.Second, "the registration after the restore", registered)
	is.Equal(store.Calls("put"), 2)
	is.NoErr(r.Stop(context.Background()))
}

// Pattern: the store is restored several times in a row under a watching host while
// the operator writes.
//
// Guards against a change that is not in force in time because of a restore.
func TestChangesAreInForceAcrossRestores(t *testing.T) {
	store := memstore.New()
	store.SetEra(1)
	put(t, store, names.Desired, "1")
	p := &peers{hosts: map[string]*Service{}}
	hosts := []*Service{start(t, store, p, "a", "a", "b"), start(t, store, p, "b", "a", "b")}
	older := store.Copy()
	for n := 2; n <= 9; n++ {
		put(t, store, names.Desired, fmt.Sprint(n))
		if n%2 == 0 {
			store.Restore(older)
			put(t, store, names.Desired, fmt.Sprint(n))
		}
		eventually(t, applyWithin, fmt.Sprintf("state %d on both", n), func() bool {
			return desiredNumber(hosts[0]) == int64(n) && desiredNumber(hosts[1]) == int64(n)
		})
	}
}

// Guards against a leaving instance that seems to have begun to leave whenever its entry
// is written, so that the time in which it must be drained never ends.
func TestLeavingSinceIsKept(t *testing.T) {
	is := is.New(t)
	s, c := newCache(t)
	s.Apply([]gypsumyard.Object{entry(1, 1, 1, false)})
	is.True(s.Instances("g")[0].LeavingSince.IsZero())
	c.Advance(time.Second)
	began := c.Now()
	s.Apply([]gypsumyard.Object{entry(1, 2, 2, true)})
	c.Advance(time.Second)
	s.Apply([]gypsumyard.Object{entry(1, 3, 3, true)})
	is.Equal(s.Instances("g")[0].LeavingSince, began)
}
