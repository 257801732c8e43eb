package catalog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
)

const (
	// watcherCount is the number of hosts that watch the store. It is fixed so that
	// the number of calls to the store does not grow with the fleet; the other hosts
	// pull from the watchers. Watchers renew their watches often enough that a
	// change that a watch has missed is in force in time.
	watcherCount = 3
	// watcherKey is the rendezvous key that selects the watchers.
	watcherKey = "desired-state"
	// regainTimeout bounds the first watch after a failed call. A store that is too
	// slow for it is asked for a list next.
	regainTimeout = 400 * time.Millisecond
	// delegationCheckInterval is how often a host that leaves the watch to others
	// checks whether it must watch the store itself.
	delegationCheckInterval = 200 * time.Millisecond
	// retryMin is the mean of the first pause after a failed call to the store. It
	// doubles up to retryMax.
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// standInPause is the mean pause between two calls of a host that stands in for
	// the watchers. All of these lose the watchers at the same time, and a burst of
	// changes would wake all of them each time. After a failed call it doubles up to
	// standInRetryMax.
	standInPause    = 500 * time.Millisecond
	standInRetryMax = time.Second
	// firstPullTimeout is how long a host waits after the first answer of the store
	// to learn who watches it, and watcherCheckInterval the time between two checks.
	firstPullTimeout     = 700 * time.Millisecond
	watcherCheckInterval = 50 * time.Millisecond
	// listRetryInterval is the time in which nothing has arrived after which a list
	// call is repeated, since a store that recovers does not answer calls from before.
	// Up to maxConcurrentLists calls are in flight.
	listRetryInterval  = 400 * time.Millisecond
	maxConcurrentLists = 5
)

// watchLoop keeps the copies of a prefix up to date with the store until the
// service stops, except while this host leaves the watch to others.
func (s *Service) watchLoop(prefix string) {
	var r readPacer
	var err error
	answered := false
	for s.stopping.Err() == nil {
		if s.delegatesWatch(prefix) {
			if s.clock.Sleep(s.stopping, delegationCheckInterval) != nil {
				return
			}
			continue
		}
		err = s.readStore(prefix, err)
		if s.stopping.Err() != nil {
			return
		}
		if err != nil {
			s.contact.noteUnreachable(prefix, err)
			s.noteReadFailed(prefix, err)
		} else if !answered {
			answered = true
			s.awaitWatchers(prefix)
		}
		pause := r.next(err != nil, s.standsIn(prefix))
		if pause > 0 && s.clock.Sleep(s.stopping, pause/2+rand.N(pause)) != nil {
			return
		}
	}
}

// awaitWatchers waits until this host knows that it is one of the watchers or can
// leave the watch to them, at most for firstPullTimeout.
func (s *Service) awaitWatchers(prefix string) {
	end := s.clock.Now().Add(firstPullTimeout)
	for s.clock.Now().Before(end) && !s.delegatesWatch(prefix) && !s.isKnownWatcher() {
		if s.clock.Sleep(s.stopping, watcherCheckInterval) != nil {
			return
		}
	}
}

// A readPacer spaces the calls of a host to the store. pause is the mean pause after
// the last call.
type readPacer struct{ pause time.Duration }

// next returns the mean pause after a call, which is zero if the next call may be
// made at once.
func (r *readPacer) next(failed, standsIn bool) time.Duration {
	first, most := retryMin, retryMax
	if standsIn {
		first, most = standInPause, standInRetryMax
	}
	switch {
	case failed:
		r.pause = min(max(2*r.pause, first), most)
	case standsIn:
		r.pause = standInPause
	default:
		r.pause = 0
	}
	return r.pause
}

// readStore makes the next call to the store: a watch from the version up to which
// the copies are complete, or a list if there is no such version, the store has
// dropped its history since, or a watcher's previous call had no answer: a store that
// does not answer watches may still list. It gets the error of the previous call.
func (s *Service) readStore(prefix string, previous error) error {
	after := s.completeVersion(prefix)
	list := errors.Is(previous, context.DeadlineExceeded) && !s.standsIn(prefix)
	if list || after == 0 || after.Era() < s.latestEra() {
		return s.list(prefix)
	}
	err := s.watch(prefix, after, s.watchTimeout(prefix, previous != nil))
	if errors.Is(err, gypsumyard.ErrHistoryGone) {
		s.log.WithFields(logrus.Fields{"prefix": prefix, "after": after}).Info("history of the store is gone, listing again")
		return s.list(prefix)
	}
	return err
}

// watch applies what has changed since the version, and waits for a change for up to the
// timeout. The copies are confirmed as of the beginning of the answer: what it says is as
// old, however long it takes to arrive.
func (s *Service) watch(prefix string, after gypsumyard.Version, timeout time.Duration) error {
	var began time.Time
	ctx := gypsumyard.WithProgress(s.stopping, func(p gypsumyard.Progress) {
		if began.IsZero() {
			began = s.clock.Now()
		}
		s.noteStoreProgress(prefix, p)
	})
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer s.endStoreProgress(prefix)
	sent := s.clock.Now()
	events, v, err := s.store(s.callReason(prefix)).Watch(ctx, prefix, after)
	if err != nil {
		return err
	}
	took := s.clock.Since(sent)
	if began.IsZero() {
		began = s.clock.Now()
	}
	// A host that was suspended meanwhile sees the answer late.
	s.contact.noteAnswer(prefix, earlier(began, sent.Add(timeout)))
	n := s.Apply(events)
	s.setCompleteVersion(prefix, v)
	s.noteConfirmed(prefix, sent)
	s.noteRead(prefix, sent, took, n, events)
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// noteRead records that the store has answered a call for a prefix that was sent at the
// given time, with n objects that were newer than the copies.
func (s *Service) noteRead(prefix string, sent time.Time, took time.Duration, n int, objects []gypsumyard.Object) {
	if prefix != s.names.desiredPrefix() {
		return
	}
	complete := s.completeVersion(prefix)
	s.answers.noteConfirmed(sourceStore, sourceStore, sent, complete)
	if n > 0 {
		s.log.WithFields(logrus.Fields{
			"prefix": prefix, "objects": n, "complete": complete, "bytes": valueBytes(objects), "took": took.String(), "watcher": s.isWatcher(),
		}).Info("newer objects from the store")
	}
}

// noteStoreProgress records how far an answer of the store has got.
func (s *Service) noteStoreProgress(prefix string, p gypsumyard.Progress) {
	if prefix == s.names.desiredPrefix() {
		s.storeTransfer.note(p)
	}
}

// endStoreProgress records that no answer of the store arrives any more.
func (s *Service) endStoreProgress(prefix string) {
	if prefix == s.names.desiredPrefix() {
		s.storeTransfer.end()
	}
}

// noteReadFailed records that a call to the store for a prefix failed.
func (s *Service) noteReadFailed(prefix string, err error) {
	if prefix == s.names.desiredPrefix() {
		s.answers.noteFailed(sourceStore, err)
	}
}

// watchTimeout returns the bound on the next watch. The first watch of a watcher after
// a failed call is short: the other hosts soon stop to rely on their copies, and a
// watch confirms them only when it ends.
func (s *Service) watchTimeout(prefix string, failed bool) time.Duration {
	switch {
	case failed && !s.standsIn(prefix):
		return regainTimeout
	case prefix == s.names.Instances:
		return instancesWatchTimeout
	case s.proofIsLate():
		return regainTimeout
	}
	return s.strictWatchTimeout()
}

// delegatesWatch reports whether this host leaves the watch of the store to the
// watchers. A watch can miss changes and the loss of its history without an error,
// so if all hosts watched, all would have to renew their watches often. After a
// restore of the store each host first lists the store itself. While the desired
// state cannot be read, a host that is not a watcher does not try the instances. Nor does a
// host read the store beside a transfer from a peer that ends in time: both would share its
// link.
func (s *Service) delegatesWatch(prefix string) bool {
	if !s.standsIn(prefix) {
		return false
	}
	if complete := s.completeVersion(prefix); complete.Era() < s.latestEra() {
		return false
	}
	if prefix == s.names.desiredPrefix() && s.proofIsLate() {
		return false
	}
	return s.contact.peerValidFor() > 0 || s.peerTransfer.endsInTime() || prefix == s.names.Instances && s.contact.isUnreachable(s.names.desiredPrefix())
}

// standsIn reports whether this host has copies and is not a watcher, so that it
// reads the store only in place of watchers that it does not hear.
func (s *Service) standsIn(prefix string) bool {
	return s.completeVersion(prefix) > 0 && !s.isWatcher()
}

// callReason returns why this host calls the store for the prefix.
func (s *Service) callReason(prefix string) gypsumyard.CallReason {
	complete := s.completeVersion(prefix)
	switch {
	case complete == 0:
		return gypsumyard.ReasonStart
	case complete.Era() < s.latestEra():
		return gypsumyard.ReasonRestore
	case s.isWatcher():
		return gypsumyard.ReasonWatcher
	}
	return gypsumyard.ReasonStandIn
}

func (s *Service) latestEra() gypsumyard.Era {
	e, _ := s.eras.Era()
	return e
}

// A ranker returns the hosts that rank highest for a key.
type ranker interface {
	TopRanked(key string, n int) []gypsumyard.Host
}

// isKnownWatcher reports whether this host is one of the watchers and knows other
// hosts.
func (s *Service) isKnownWatcher() bool {
	members, err := kernel.Lookup[gypsumyard.Membership](s.kernel, "members")
	return err == nil && len(members.Hosts()) > 1 && s.isWatcher()
}

// isWatcher reports whether this host is one of the watchers, as far as it knows.
func (s *Service) isWatcher() bool {
	members, err := kernel.Lookup[gypsumyard.Membership](s.kernel, "members")
	if err != nil {
		return true
	}
	self := members.Self().Name
	return slices.ContainsFunc(s.watchers(members), func(h gypsumyard.Host) bool { return h.Name == self })
}

func (s *Service) watchers(members gypsumyard.Membership) []gypsumyard.Host {
	if l, ok := members.(ranker); ok {
		return l.TopRanked(watcherKey, watcherCount)
	}
	return members.Hosts()
}

// list replaces the copies with the objects that the store lists. It uses the
// first answer if several calls are in flight.
func (s *Service) list(prefix string) error {
	progress := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(gypsumyard.WithProgress(s.stopping, func(p gypsumyard.Progress) {
		s.noteStoreProgress(prefix, p)
		select {
		case progress <- struct{}{}:
		default:
		}
	}))
	defer cancel()
	defer s.endStoreProgress(prefix)
	answers := make(chan listResult, maxConcurrentLists)
	store := s.store(s.callReason(prefix))
	call := func() {
		sent := s.clock.Now()
		objects, v, err := store.List(ctx, prefix)
		answers <- listResult{sent, objects, v, err}
	}
	t := s.clock.NewTimer(listRetryInterval)
	defer t.Stop()
	go call()
	for calls := 1; ; {
		select {
		case l := <-answers:
			if l.err != nil {
				return l.err
			}
			s.eras.Observe(l.version.Era())
			if l.version.Era() < s.latestEra() {
				return fmt.Errorf("list %s: %w: version %v is of an earlier era", prefix, gypsumyard.ErrUnavailable, l.version)
			}
			took := s.clock.Since(l.sent)
			s.contact.noteAnswer(prefix, l.sent)
			n := s.applyList(prefix, l.objects, l.version)
			s.noteConfirmed(prefix, l.sent)
			s.noteRead(prefix, l.sent, took, n, l.objects)
			return nil
		case <-progress:
			t.Reset(listRetryInterval)
		case <-t.C():
			if calls < maxConcurrentLists {
				calls++
				go call()
				t.Reset(listRetryInterval)
			}
		}
	}
}

// A listResult is the answer to one list call.
type listResult struct {
	sent    time.Time
	objects []gypsumyard.Object
	version gypsumyard.Version
	err     error
}
