package lineowner

import (
	"slices"

	"github.com/gypsumyard/gypsumyard"
)

// A ballot holds what an election decides by.
type ballot struct {
	// term is the term that the promotion starts.
	term gypsumyard.Term
	// counted are the instances that count, lost those of them whose loss an operator
	// has accepted for the term.
	counted, lost []*instance
	// acceptance is the version of the operator's acceptance that it relies on.
	acceptance gypsumyard.Version
}

// prepareBallot returns the ballot of an election that begins now.
func (g *group) prepareBallot() ballot {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nextBallot()
}

// nextBallot returns the ballot of the next election. Fences left by abandoned elections
// do not raise the term: an instance fenced for a later term than the new primary's would
// receive nothing from it. The caller must hold g.mu.
func (g *group) nextBallot() (b ballot) {
	for _, i := range g.instances {
		b.term = max(b.term, i.status.term)
		if !i.lossAccepted {
			b.counted = append(b.counted, i)
		}
	}
	b.term++
	b.acceptance = g.loss.accepted.version
	for _, i := range b.counted {
		if !i.reachable && g.loss.accepts(b.term, i.id) {
			b.lost = append(b.lost, i)
		}
	}
	return b
}

// needed returns how many of the remaining instances must be fenced.
func (b *ballot) needed() int { return fencesNeededWithout(len(b.counted), len(b.lost)) }

// remaining returns the instances whose loss is not accepted.
func (b *ballot) remaining() (list []*instance) {
	for _, i := range b.counted {
		if !slices.Contains(b.lost, i) {
			list = append(list, i)
		}
	}
	return list
}

// absent returns the remaining instances that do not answer. The caller must hold the
// group's mutex.
func (b *ballot) absent() (list []*instance) {
	return slices.DeleteFunc(b.remaining(), func(i *instance) bool { return i.reachable })
}

// lacksFences reports whether too few instances answer to hold the election. The caller
// must hold the group's mutex.
func (b *ballot) lacksFences() bool { return len(b.remaining())-len(b.absent()) < b.needed() }

// countedNumber returns how many instances count in an election. The caller must hold
// g.mu.
func (g *group) countedNumber() (n int) {
	for _, i := range g.instances {
		if !i.lossAccepted {
			n++
		}
	}
	return n
}

func instanceIDs(list []*instance) (ids []string) {
	for _, i := range list {
		ids = append(ids, i.id)
	}
	return ids
}
