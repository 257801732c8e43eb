package lineowner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// lossReadInterval is the time between two reads of the acceptance of loss.
	lossReadInterval = 2 * time.Second
	// lossTimeout bounds a call to the store for it.
	lossTimeout = 800 * time.Millisecond
)

var errMalformedLoss = errors.New("want a term and the IDs of instances")

// A lossAcceptance is an operator's object: the instances named do not count in the
// election that starts the term.
type lossAcceptance struct {
	version   gypsumyard.Version
	Term      gypsumyard.Term `json:"term"`
	Instances []string        `json:"instances"`
}

func parseLossAcceptance(value []byte) (a lossAcceptance, err error) {
	if err := json.Unmarshal(value, &a); err != nil {
		return lossAcceptance{}, err
	}
	if a.Term == 0 || len(a.Instances) == 0 || slices.Contains(a.Instances, "") {
		return lossAcceptance{}, errMalformedLoss
	}
	return a, nil
}

// A lossStore reads and deletes the operators' acceptances. Without a store there are
// none.
type lossStore struct {
	store  gypsumyard.Store
	prefix string
}

// A lossState is what a host knows of the acceptance for its group.
type lossState struct {
	accepted lossAcceptance
	pending  bool
	readAt   time.Time
	// read is the version of the object that was read last.
	read gypsumyard.Version
	// ordered holds the ballot of a promotion that was ordered without the lost
	// instances, and chosen the instance to be promoted. chosen is nil if there is none.
	ordered ballot
	chosen  *instance
}

// accepts reports whether the loss of the instance is accepted for the term.
func (l *lossState) accepts(term gypsumyard.Term, id string) bool {
	return l.accepted.Term == term && slices.Contains(l.accepted.Instances, id)
}

// isFor reports whether the acceptance is for the primary of the term: for the election
// that started the term, or the next one.
func (l *lossState) isFor(term gypsumyard.Term) bool {
	return l.accepted.Term != 0 && (l.accepted.Term == term || l.accepted.Term == term+1)
}

// refreshLossAcceptance reads the acceptance in the background if it was not read
// recently. The caller must hold g.mu.
func (g *group) refreshLossAcceptance(now time.Time) {
	l := &g.loss
	if g.service.losses.store == nil || l.pending || !l.readAt.IsZero() && now.Sub(l.readAt) < lossReadInterval {
		return
	}
	l.pending, l.readAt = true, now
	g.wg.Go(g.readLossAcceptance)
}

func (g *group) readLossAcceptance() {
	ctx, cancel := context.WithTimeout(g.ctx, lossTimeout)
	defer cancel()
	o, err := g.service.losses.store.Get(ctx, g.service.losses.prefix+g.name)
	g.mu.Lock()
	defer g.mu.Unlock()
	l := &g.loss
	l.pending = false
	switch {
	case errors.Is(err, gypsumyard.ErrNotFound):
		l.accepted, l.read = lossAcceptance{}, 0
		return
	case err != nil:
		g.log.WithError(err).Info("acceptance of loss is not read")
		return
	case o.Version == l.read:
		return
	}
	l.read = o.Version
	l.accepted, err = parseLossAcceptance(o.Value)
	log := g.log.WithField("version", o.Version)
	if err != nil {
		log.WithError(err).Warn("acceptance of loss is malformed, ignoring it")
		return
	}
	l.accepted.version = o.Version
	b := g.nextBallot()
	log.WithFields(logrus.Fields{
		"term": l.accepted.Term, "instances": l.accepted.Instances, "next-term": b.term,
		"given-up": instanceIDs(b.lost), "awaited": instanceIDs(b.absent()), "sufficient": !b.lacksFences(),
	}).Warn("operator accepts the loss of instances")
}

// noteLossOrdered records that a promotion without the lost instances was ordered.
func (g *group) noteLossOrdered(b ballot, chosen *instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(b.lost) > 0 {
		g.loss.ordered, g.loss.chosen = b, chosen
	}
}

// completeLoss stops counting the lost instances once the promotion without them has taken
// effect, and deletes the acceptance. Until then its outcome may be unknown, and the next
// election for the term needs as many fences.
func (g *group) completeLoss() {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := &g.loss
	c := l.chosen
	if c == nil || c.status.term < l.ordered.term {
		return
	}
	if c.status.role == gypsumyard.RolePrimary && c.status.term == l.ordered.term {
		g.excludeLost(l.ordered, len(l.ordered.remaining()) == 1)
		g.replicas.acceptedTerm = c.status.term
	}
	l.dropAccepted(l.ordered.acceptance)
	l.ordered, l.chosen = ballot{}, nil
}

// dropAccepted forgets the acceptance of the version. A later one of the operator stays.
func (l *lossState) dropAccepted(v gypsumyard.Version) {
	if l.accepted.version == v {
		l.accepted = lossAcceptance{}
	}
}

// excludeLost lets the lost instances of the ballot count no longer, and deletes the
// acceptance that was used. If others than the primary remain, the lost ones are treated like instances
// whose processes have ended: they count until one of the others has the log of the primary,
// which may be the only one with some commits. The caller must hold g.mu.
func (g *group) excludeLost(b ballot, atOnce bool) {
	now := g.clock.Now()
	for _, i := range b.lost {
		if i.reachable {
			continue
		}
		i.lossAccepted, i.lostSince = atOnce, now
		g.log.WithFields(logrus.Fields{"instance": i.id, "received": i.status.received.String(), "at-once": atOnce}).
			Warn("an operator accepted the loss of the instance")
	}
	g.loss.dropAccepted(b.acceptance)
	g.wg.Go(func() { g.deleteLossAcceptance(b.acceptance) })
	g.broadcast()
}

// othersThan returns the instances that count other than the primary p. The caller must
// hold g.mu.
func (g *group) othersThan(p *instance) (list []*instance) {
	for _, i := range g.instances {
		if i != p && !i.lossAccepted {
			list = append(list, i)
		}
	}
	return list
}

// acceptsAllOthers reports whether an operator has accepted the loss of all instances other
// than p, and none of them answers: a host may have crashed after it had promoted p without
// them, or p leads since before they were lost. The caller must hold g.mu.
func (g *group) acceptsAllOthers(p *instance) bool {
	others := g.othersThan(p)
	return len(others) > 0 && !slices.ContainsFunc(others, func(i *instance) bool {
		return i.reachable || !g.loss.accepts(p.status.term, i.id) && !g.loss.accepts(p.status.term+1, i.id)
	})
}

// deleteLossAcceptance deletes the acceptance that was used. One that remains has no
// effect, since no later election starts its term.
func (g *group) deleteLossAcceptance(v gypsumyard.Version) {
	ctx, cancel := context.WithTimeout(g.ctx, lossTimeout)
	defer cancel()
	if err := g.service.losses.store.Delete(ctx, g.service.losses.prefix+g.name, v); err != nil {
		g.log.WithField("version", v).WithError(fmt.Errorf("delete: %w", err)).Info("acceptance of loss remains")
	}
}
