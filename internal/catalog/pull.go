package catalog

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
)

const (
	// pullInterval is the mean time between two pulls from a watcher while the store
	// answers and the lists are known, and pullIntervalStoreUnreachable otherwise.
	pullInterval                 = 600 * time.Millisecond
	pullIntervalStoreUnreachable = 250 * time.Millisecond
	// pullMargin is how long before the answer of a peer ceases to be valid the next
	// pull is made, and pullIntervalMin the least pause before it.
	pullMargin      = 300 * time.Millisecond
	pullIntervalMin = 100 * time.Millisecond
)

// pullLoop pulls newer objects from other hosts periodically until the service
// stops.
func (s *Service) pullLoop() {
	for {
		if s.clock.Sleep(s.stopping, s.pullPause()) != nil {
			return
		}
		if s.storeTransfer.endsInTime() {
			continue // Both would share the link.
		}
		if err := s.pullFromPeer(); err != nil {
			s.answers.noteFailed(sourcePeer, err)
			s.log.WithError(err).Debug("pull of newer objects from a peer failed")
		}
	}
}

// pullPause returns the pause before the next pull. A host that relies on its peers
// pulls before their last answer ceases to be valid.
func (s *Service) pullPause() time.Duration {
	mean := pullInterval
	if s.contact.storeUnreachable() || !s.isReady() {
		mean = pullIntervalStoreUnreachable
	}
	pause := mean/2 + rand.N(mean)
	if left := s.contact.peerValidFor(); left > 0 {
		pause = min(pause, max(left-pullMargin, pullIntervalMin))
	}
	if left, ok := s.untilProofPull(); ok {
		pause = min(pause, max(left, pullIntervalMin))
	}
	return pause
}

func (s *Service) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

func (s *Service) pullFromPeer() error {
	members, err := kernel.Lookup[gypsumyard.Membership](s.kernel, "members")
	if err != nil {
		return err
	}
	peers, err := kernel.Lookup[gypsumyard.PeerClient](s.kernel, "peer")
	if err != nil {
		return err
	}
	others := s.pullSources(members)
	if len(others) == 0 {
		return nil
	}
	from := others[rand.IntN(len(others))]
	s.mu.Lock()
	after := s.minCompleteVersionLocked()
	s.mu.Unlock()
	sent := s.clock.Now()
	// Up to the end of this function: until the update is applied and counts, this host
	// would read from the store what has just arrived.
	defer s.peerTransfer.end()
	u, err := peers.FetchObjects(gypsumyard.WithProgress(s.stopping, s.peerTransfer.note), from, after)
	if err != nil {
		return fmt.Errorf("from %s: %w", from.Name, err)
	}
	s.applyUpdate(u, after, from.Name, sent)
	s.notePeerProof(sent, u)
	validity := s.peerValidity(u)
	s.contact.notePeer(from.Name, sent, validity)
	if validity == 0 {
		return fmt.Errorf("from %s: its copies, complete up to %v, are not confirmed", from.Name, u.Complete)
	}
	s.answers.noteConfirmed(sourcePeer, from.Name, sent, u.Complete)
	return nil
}

// pullSources returns the hosts to pull from: the watchers, or all hosts if this one
// is a watcher and does not reach the store, since others may.
func (s *Service) pullSources(members gypsumyard.Membership) (others []gypsumyard.Host) {
	sources := s.watchers(members)
	if s.contact.storeUnreachable() && s.isWatcher() {
		sources = members.Hosts()
	}
	self := members.Self().Name
	for _, h := range sources {
		if h.Name != self && h.State == gypsumyard.HostLive {
			others = append(others, h)
		}
	}
	return others
}

// applyUpdate merges what a peer has sent in answer to a question that was sent at the
// given time. The copies were complete up to after.
func (s *Service) applyUpdate(u gypsumyard.ObjectUpdate, after gypsumyard.Version, from string, sent time.Time) {
	took := s.clock.Since(sent)
	if n := s.Apply(u.Objects); n > 0 {
		s.log.WithFields(logrus.Fields{
			"member": from, "objects": n, "complete": u.Complete, "bytes": valueBytes(u.Objects), "took": took.String(),
		}).Info("newer objects from a peer")
	}
	if u.Complete.Era() >= s.latestEra() && u.Complete.Era() > 0 {
		s.eras.Learn(u.Complete.Era(), u.EraAge)
	}
	if u.Complete > after {
		s.adoptCompleteVersion(u.Complete)
	}
}

// peerValidity returns how long the update may be relied on. A peer that lacks the
// store, or has not seen its latest restore, proves nothing.
func (s *Service) peerValidity(u gypsumyard.ObjectUpdate) time.Duration {
	if u.Complete == 0 || u.Complete.Era() < s.latestEra() {
		return 0
	}
	if u.ValidFor == 0 {
		return defaultPeerValidity
	}
	return min(u.ValidFor, s.cadence.validity)
}

// Newer returns what the copies add to copies that are complete up to after. While
// they may not be relied on, the update claims no completeness.
func (s *Service) Newer(after gypsumyard.Version) (u gypsumyard.ObjectUpdate) {
	// Before the objects, so that they are at least as new as the proof.
	u.ProofAge, u.Proven = s.statedProofAge()
	u.Objects, u.Complete = s.objectCache.Newer(after)
	u.ValidFor = s.contact.validFor()
	if u.ValidFor == 0 {
		u.Complete = 0
	}
	if e, since := s.eras.Era(); e == u.Complete.Era() {
		u.EraAge = s.clock.Since(since)
	}
	return u
}
