package lineowner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// consulted is how many other hosts are asked which instances they reach.
	consulted = 4
	// consultAfter is how long an instance must be silent before they are
	// asked, consultEvery the time between two rounds.
	consultAfter = 200 * time.Millisecond
	consultEvery = time.Second
	// consultTimeout bounds one question, with the probe that it causes.
	consultTimeout = 350 * time.Millisecond
	// probeTimeout bounds the probe of an instance for another host.
	probeTimeout = 250 * time.Millisecond
	// opinionAge is how long the answers are relied on.
	opinionAge = 2 * time.Second
	// evidenceLost is how old the evidence that the primary leads must be
	// before the group is given to a host that reaches more instances.
	evidenceLost = 600 * time.Millisecond
	// assignFor is how long the group is given away, and assignEvery how often
	// its owner repeats that to the others.
	assignFor   = 30 * time.Second
	assignEvery = time.Second
	// assignTimeout bounds the message to one host.
	assignTimeout = 300 * time.Millisecond
)

// An opinion is what another host says of the instances.
type opinion struct {
	host gypsumyard.Host
	// primary indicates that the host reaches an instance which claims to be
	// the primary.
	primary bool
	// reached is how many instances it reaches.
	reached int
}

// better reports whether o is a better owner than q. One that reaches the
// primary and enough others to trust it needs no election.
func (o opinion) better(q opinion, evidence int) bool {
	if l, m := o.primary && o.reached >= evidence, q.primary && q.reached >= evidence; l != m {
		return l
	}
	return o.reached > q.reached
}

// opinions are the answers of the last round.
type opinions struct {
	mu      sync.Mutex
	asking  bool
	askedAt time.Time
	at      time.Time
	best    opinion
}

// consult asks other hosts which instances they reach, in the background,
// unless that was done lately.
func (g *group) consult(instances []string, evidence int) {
	o := &g.opinions
	now := g.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.asking || now.Sub(o.askedAt) < consultEvery || g.ctx.Err() != nil {
		return
	}
	o.asking, o.askedAt = true, now
	g.work.Go(func() {
		best := g.ask(instances, evidence)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.asking, o.at, o.best = false, g.clock.Now(), best
	})
}

// opinion returns the best answer of the last round. It reports whether a round
// goes on or none was made lately.
func (g *group) opinion() (best opinion, pending bool) {
	o := &g.opinions
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.asking || g.clock.Since(o.at) > opinionAge {
		return opinion{}, true
	}
	return o.best, false
}

// ask returns the best opinion of some other hosts.
func (g *group) ask(instances []string, evidence int) (best opinion) {
	others := g.service.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range others[:min(len(others), consulted)] {
		wg.Go(func() {
			o := g.askHost(h, instances)
			mu.Lock()
			defer mu.Unlock()
			if o.better(best, evidence) {
				best = o
			}
		})
	}
	wg.Wait()
	g.log.WithFields(logrus.Fields{
		"asked": min(len(others), consulted), "best": best.host.Name, "reached": best.reached, "primary": best.primary, "instances": len(instances),
	}).Info("other hosts were asked which instances they reach")
	return best
}

func (g *group) askHost(h gypsumyard.Host, instances []string) opinion {
	o := opinion{host: h}
	ctx, cancel := context.WithTimeout(g.ctx, consultTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, id := range instances {
		wg.Go(func() {
			st, err := g.service.peers.ProbeInstance(ctx, h, g.name, id)
			if err != nil {
				return // The answer is that it does not reach the instance.
			}
			mu.Lock()
			defer mu.Unlock()
			o.reached++
			o.primary = o.primary || st.Role == gypsumyard.RolePrimary
		})
	}
	wg.Wait()
	return o
}

// reach returns all instances, how many answer, and whether one has been silent
// for a while. It is called with the lock held.
func (g *group) reach() (ids []string, reached int, silent bool) {
	for _, i := range g.instances {
		ids = append(ids, i.id)
		if i.reachable {
			reached++
		}
		if !i.silentSince.IsZero() && g.clock.Since(i.silentSince) > consultAfter {
			silent = true
		}
	}
	return ids, reached, silent
}

// giveAway gives the group to another host if this one lacks evidence of who
// leads and the other reaches more. It reports whether it did so, or whether the
// decision must wait for the answers of other hosts.
func (g *group) giveAway(now time.Time) (wait bool) {
	g.mu.Lock()
	ids, reached, silent := g.reach()
	fences := fencesNeeded(len(ids))
	evidence := evidenceNeeded(len(ids))
	if p, at := g.lead(); p != nil {
		g.evidenceAt = later(at, g.evidenceAt)
	}
	lost := now.Sub(g.evidenceAt)
	g.mu.Unlock()
	if !silent {
		return false
	}
	g.consult(ids, evidence)
	if lost < evidenceLost {
		return false
	}
	best, pending := g.opinion()
	switch {
	case pending:
		return true
	case best.primary && best.reached >= evidence, reached < fences && best.reached >= fences:
		g.assign(best)
		return true
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// assign makes the host the owner of the group, in the view of all hosts that
// this one reaches.
func (g *group) assign(o opinion) {
	g.log.WithFields(logrus.Fields{"to": o.host.Name, "reached": o.reached, "primary": o.primary}).Warn("group is given to a host that reaches more instances")
	g.opinions.mu.Lock()
	g.opinions.at = time.Time{}
	g.opinions.mu.Unlock()
	a := gypsumyard.Assignment{Database: g.name, Host: o.host.Name, Remaining: assignFor}
	g.service.tellAssignment(a)
	g.service.assigner.Assign(a)
}
