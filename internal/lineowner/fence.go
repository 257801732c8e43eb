package lineowner

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// commandTimeout bounds a command to an instance.
	commandTimeout = 300 * time.Millisecond
	// fenceGrace is how long an election waits for more fences than it needs.
	fenceGrace = 50 * time.Millisecond
)

// errAddressTaken indicates that another process answers at the address of a departed
// instance.
var errAddressTaken = errors.New("another instance has its address")

// A fencedInstance is an instance that has accepted a fencing command.
type fencedInstance struct {
	instance *instance
	status   status
	// leaving indicates that the instance has announced that it is leaving.
	leaving bool
}

// fence tells replicas to stop receiving the log and primaries to step down. It
// returns the instances that have done so for the term. Once there are enough, it
// waits only fenceGrace for the rest, one of which may be dead.
func (g *group) fence(instances []*instance, term gypsumyard.Term, needed int) (answers []fencedInstance) {
	results := make(chan *fencedInstance, len(instances))
	for _, i := range instances {
		g.wg.Go(func() {
			f, err := g.fenceInstance(i, term)
			if err != nil {
				g.log.WithFields(logrus.Fields{"instance": i.id, "term": term}).WithError(err).Warn("could not fence instance")
				results <- nil
				return
			}
			results <- &f
		})
	}
	var graceOver <-chan time.Time
	for range instances {
		select {
		case f := <-results:
			if f != nil {
				answers = append(answers, *f)
			}
		case <-graceOver:
			return answers
		}
		if len(answers) >= needed && graceOver == nil {
			t := g.clock.NewTimer(fenceGrace)
			defer t.Stop()
			graceOver = t.C()
		}
	}
	return answers
}

func (g *group) fenceInstance(i *instance, term gypsumyard.Term) (f fencedInstance, err error) {
	at := g.clock.Now()
	g.mu.Lock()
	isPrimary := i.statusKnown && i.status.role == gypsumyard.RolePrimary
	retired := i.retired
	g.mu.Unlock()
	if retired {
		return f, errAddressTaken
	}
	commands := []string{fmt.Sprintf("PAUSE %d", term)}
	if isPrimary {
		commands = []string{fmt.Sprintf("DEMOTE %d", term), fmt.Sprintf("PAUSE %d", term)}
	}
	var s status
	for _, c := range commands {
		s, _, err = i.control.exec(g.ctx, c, commandTimeout)
		if err != nil {
			s, _, err = i.control.exec(g.ctx, c, commandTimeout) // Over a new connection.
		}
		if err != nil {
			return f, err
		}
	}
	if s.role == gypsumyard.RolePrimary || s.fencedTerm < term && !isPrimary {
		return f, fmt.Errorf("instance is a %s fenced for term %d", s.role, s.fencedTerm)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordStatus(i, at, s)
	return fencedInstance{i, s, i.listed.Leaving}, nil
}

// countAnswering returns how many of the instances answer a command now.
func (g *group) countAnswering(instances []*instance) int {
	var answering atomic.Int64
	var wg sync.WaitGroup
	for _, i := range instances {
		wg.Go(func() {
			g.mu.Lock()
			retired := i.retired
			g.mu.Unlock()
			if retired {
				return
			}
			if _, _, err := i.control.exec(g.ctx, statusCommand, commandTimeout); err == nil {
				answering.Add(1)
			}
		})
	}
	wg.Wait()
	return int(answering.Load())
}

// holds reports whether the instance with the present status s has been fenced for the
// term ever since. One that restarted is not; if another host has fenced it again, it may
// have received more of the log meanwhile.
func (f fencedInstance) holds(s status, term gypsumyard.Term) bool {
	fenced := s.fencedTerm == f.status.fencedTerm || s.fencedTerm >= term
	return fenced && s.role == gypsumyard.RoleReplica && s.term < term && s.received == f.status.received
}

// chooseCandidate returns the fenced instance with the longest log. A leaving
// instance is chosen only if all others lack records that it has.
func chooseCandidate(answers []fencedInstance) (best fencedInstance, err error) {
	for _, f := range answers {
		c := f.status.received.Compare(best.status.received)
		if best.instance == nil || c > 0 || c == 0 && preferred(f, best) {
			best = f
		}
	}
	if best.instance == nil {
		return best, errTooFewFenced
	}
	return best, nil
}

// preferred reports whether a is preferred to b if their logs are equally long:
// instances that are not leaving come first. The order among the rest is fixed by
// ID, so that two hosts choose the same instance.
func preferred(a, b fencedInstance) bool {
	if a.leaving != b.leaving {
		return !a.leaving
	}
	return a.instance.id < b.instance.id
}

// confirmFences checks that enough instances are still fenced: a promotion by another
// host lifts fences.
func (g *group) confirmFences(answers []fencedInstance, term gypsumyard.Term, needed int) error {
	var confirmed atomic.Int64
	var wg sync.WaitGroup
	for _, f := range answers {
		wg.Go(func() {
			s, _, err := f.instance.control.exec(g.ctx, statusCommand, commandTimeout)
			if err != nil {
				g.log.WithField("instance", f.instance.id).WithError(err).Warn("could not confirm fence")
				return
			}
			if f.holds(s, term) {
				confirmed.Add(1)
			}
		})
	}
	wg.Wait()
	if n := int(confirmed.Load()); n < needed {
		return fmt.Errorf("%w: %d of %d are still fenced", errTooFewFenced, n, len(answers))
	}
	return nil
}

// describeFenced returns the IDs of the fenced instances and what they have received.
func describeFenced(fenced []fencedInstance) (list []string) {
	for _, f := range fenced {
		list = append(list, f.instance.id+" "+f.status.received.String())
	}
	return list
}
