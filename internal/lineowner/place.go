package lineowner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
)

const (
	// primaryCost keeps reads away from an idle primary when a replica can
	// serve them, busyCost from an instance whose slots are all in use.
	primaryCost = 2 * time.Millisecond
	busyCost    = 8 * time.Millisecond
	// domainCost keeps reads in the failure domain of this host unless its
	// instances are much busier than others, because traffic between failure
	// domains is billed.
	domainCost = 4 * time.Millisecond
)

// A placement says where a request may run.
type placement struct {
	targets []gypsumyard.Target
	// needed is the position that the instance must have applied.
	needed gypsumyard.Position
}

// prefix returns the statement prefix with which an instance refuses a read if
// it has not applied the needed position.
func (p placement) prefix() string {
	if p.needed.IsZero() {
		return ""
	}
	return "AFTER " + line.FormatPosition(p.needed) + " "
}

// place returns the instances that may run the request, waiting until there is
// one.
func (g *group) place(ctx context.Context, j *job) (p placement, err error) {
	if !j.reads() || j.Consistency == gypsumyard.ConsistencyPrimary {
		i, err := g.awaitPrimary(ctx, j.arrived)
		if err != nil {
			return p, err
		}
		p.targets = []gypsumyard.Target{{Instance: i.id, Reason: "primary"}}
		return p, nil
	}
	p.needed, err = g.awaitStalenessBound(ctx, j.MaxStaleness, j.arrived)
	if err != nil {
		return p, err
	}
	if j.Position.Compare(p.needed) > 0 {
		p.needed = j.Position
	}
	err = g.awaitEvidence(ctx, func() bool {
		p.targets = g.readTargets(j, p.needed)
		return len(p.targets) > 0
	})
	if err != nil {
		return p, fmt.Errorf("wait for an instance that holds position %v: %w", p.needed, err)
	}
	return p, nil
}

// loadCost returns the cost of the load that this host puts on the instance. The caller must
// hold the group's mutex.
func (i *instance) loadCost() time.Duration {
	return time.Duration(float64(busyCost) * float64(i.running) / float64(max(i.listed.Slots, 1)))
}

// readTargets returns the primary and the replicas that have applied the
// position. Reads that run long enough to delay urgent requests avoid the
// primary while a replica can serve them. The caller must hold g.mu.
func (g *group) readTargets(j *job, needed gypsumyard.Position) (targets []gypsumyard.Target) {
	if len(j.excluded) >= len(g.instances) {
		clear(j.excluded)
	}
	primary := g.claimedPrimary()
	for _, i := range g.instances {
		if !i.usable() || j.excluded[i.id] || i != primary && i.status.role == gypsumyard.RolePrimary {
			continue
		}
		t := gypsumyard.Target{Instance: i.id, Cost: i.roundTrip / 2, Reason: "replica holds the position"}
		if g.balance == nil {
			t.Cost += i.loadCost()
		}
		t.Cost += i.pool.openCost(j.KeyHolder)
		if i.listed.FailureDomain != g.service.failureDomain {
			t.Cost += domainCost
		}
		switch {
		case i == primary && !g.drainingPrimary:
			t.Cost += primaryCost
			t.Reason = "primary"
		case i == primary || i.applied.Compare(needed) < 0:
			continue
		}
		targets = append(targets, t)
	}
	if j.avoidsPrimary && len(targets) > 1 && primary != nil {
		targets = slices.DeleteFunc(targets, func(t gypsumyard.Target) bool { return t.Instance == primary.id })
	}
	if g.balance != nil {
		g.addEstimates(j, targets)
	}
	return targets
}
