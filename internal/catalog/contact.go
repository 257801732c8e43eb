package catalog

import (
	"math"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// defaultPeerValidity is how long a host relies on the answer of a peer that
	// does not say for how long.
	defaultPeerValidity = 1500 * time.Millisecond
	// maxContactAge is the age of the last answer from the store or a peer up to
	// which the copies count as current.
	maxContactAge = 8 * time.Second
)

// A contact records what the store and other hosts have said about how current the
// copies are.
type contact struct {
	clock    gypsumyard.Clock
	log      logrus.FieldLogger
	validity map[string]time.Duration

	mu sync.Mutex
	// unreachable indicates, by watched prefix, that the last call to the store
	// failed and that no peer has given a valid answer since.
	unreachable map[string]bool
	// confirmedUntil is, by watched prefix, how long the last answer of the store
	// may be relied on, peerUntil the same for the answers of peers.
	confirmedUntil map[string]time.Time
	peerUntil      time.Time
	// lastAnswer is when the store or a peer last answered.
	lastAnswer time.Time
}

func newContact(c gypsumyard.Clock, log logrus.FieldLogger, names ObjectNames, desired cadence) *contact {
	return &contact{
		clock:          c,
		log:            log,
		validity:       map[string]time.Duration{names.desiredPrefix(): desired.validity, names.Instances: instancesValidity},
		unreachable:    map[string]bool{},
		confirmedUntil: map[string]time.Time{},
	}
}

// noteUnreachable records that a call to the store failed.
func (c *contact) noteUnreachable(prefix string, err error) {
	c.mu.Lock()
	before := c.unreachable[prefix]
	c.unreachable[prefix] = true
	c.mu.Unlock()
	if !before {
		c.log.WithField("prefix", prefix).WithError(err).Warn("store lost")
	}
}

// noteAnswer records that the store has confirmed the copies of a prefix. at is when it
// did so, which is earlier than now by the time that its answer took to arrive.
func (c *contact) noteAnswer(prefix string, at time.Time) {
	c.mu.Lock()
	before := c.unreachable[prefix]
	c.unreachable[prefix] = false
	c.lastAnswer = c.clock.Now()
	c.confirmedUntil[prefix] = at.Add(c.validity[prefix])
	c.mu.Unlock()
	if before {
		c.log.WithField("prefix", prefix).Info("store regained")
	}
}

// notePeer records the answer of a peer to a call that was sent at the given time.
// The answer may be relied on for validFor, which is zero if the peer lacks the
// store.
func (c *contact) notePeer(peer string, sent time.Time, validFor time.Duration) {
	c.mu.Lock()
	c.lastAnswer = c.clock.Now()
	if until := sent.Add(validFor); validFor > 0 && until.After(c.peerUntil) {
		c.peerUntil = until
	}
	regained := c.anyUnreachableLocked() && c.lastAnswer.Before(c.peerUntil)
	if regained {
		clear(c.unreachable)
	}
	c.mu.Unlock()
	if regained {
		c.log.WithField("member", peer).Info("store reached through a peer")
	}
}

// validFor returns how long the copies may be relied on without asking the store.
func (c *contact) validFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	confirmed := time.Duration(math.MaxInt64)
	for prefix := range c.validity {
		confirmed = min(confirmed, c.confirmedUntil[prefix].Sub(now))
	}
	return max(confirmed, c.peerUntil.Sub(now), 0)
}

// peerValidFor returns how long the answers of peers may still be relied on.
func (c *contact) peerValidFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.peerUntil.Sub(c.clock.Now()), 0)
}

// isUnreachable reports whether the last call to the store for the prefix failed.
func (c *contact) isUnreachable(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable[prefix]
}

// storeUnreachable reports whether the last call to the store failed for any of the
// prefixes.
func (c *contact) storeUnreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.anyUnreachableLocked()
}

// anyUnreachableLocked is storeUnreachable for callers that hold c.mu.
func (c *contact) anyUnreachableLocked() bool {
	for _, failed := range c.unreachable {
		if failed {
			return true
		}
	}
	return false
}

// current reports whether the store or another host has answered recently, so that
// the copies can be relied on.
func (c *contact) current() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lastAnswer.IsZero() && c.clock.Since(c.lastAnswer) < maxContactAge
}
