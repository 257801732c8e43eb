package owner

import (
	"context"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

// A countedList is a list of instances of which a majority is needed: to fence
// them for a promotion, to confirm a record and to prove that a primary still
// leads.
type countedList struct {
	gypsumyard.InstanceList
	members []*member
}

// An unversionedEdit is an edit of the instances that did not increase the version
// of their list: an editor that doesn't know versions made it. The replaced lists
// are known to this process only.
type unversionedEdit struct {
	// former holds the replaced lists, the latest first.
	former []gypsumyard.InstanceList
	since  time.Time
	// position is that of the primary in the first status requested after the
	// edit. It is zero while there is none.
	position gypsumyard.Position
}

// listsOf returns the lists that may count when d has replaced the entry of the
// group, the one in force first. The caller must hold g.mu.
func (g *group) listsOf(d gypsumyard.Database) []gypsumyard.InstanceList {
	lists := d.Lists()
	if g.counted == nil {
		return lists
	}
	old := g.counted[0]
	switch {
	case d.ListVersion > old.Version:
		// The entry holds the lists that it has replaced, unless they no longer
		// count.
	case d.ListVersion < old.Version || !old.Equal(lists[0]):
		g.log.Warn("instances were edited without a new version of their list; former ones are forgotten if this host restarts")
		g.rememberFormer()
	case len(d.Former) > 0:
		// Some of them may no longer count.
		lists = lists[:1]
		for _, c := range g.counted[1 : len(g.counted)-len(g.unversioned.former)] {
			lists = append(lists, c.InstanceList)
		}
	}
	return append(lists, g.unversioned.former...)
}

// rememberFormer records the lists that count at an edit without a version. The
// caller must hold g.mu.
func (g *group) rememberFormer() {
	g.unversioned = unversionedEdit{former: g.countedInstances(), since: g.clock.Now()}
}

// setCounted sets the lists that count and the members of each. The caller must
// hold g.mu.
func (g *group) setCounted(lists []gypsumyard.InstanceList) {
	g.counted = nil
	for _, l := range lists {
		c := countedList{InstanceList: l}
		for _, u := range l.Instances {
			i := slices.IndexFunc(g.members, func(m *member) bool { return u.Same(m.view.Upstream) })
			c.members = append(c.members, g.members[i])
		}
		g.counted = append(g.counted, c)
	}
}

// countedInstances returns the lists that count. The caller must hold g.mu.
func (g *group) countedInstances() (lists []gypsumyard.InstanceList) {
	for _, c := range g.counted {
		lists = append(lists, c.InstanceList)
	}
	return lists
}

// isMajority reports whether the condition holds for a majority of the list.
func (c *countedList) isMajority(condition func(*member) bool) bool {
	n := 0
	for _, m := range c.members {
		if condition(m) {
			n++
		}
	}
	return c.IsMajority(n)
}

// majority reports whether the condition holds for a majority of each list that
// counts. The caller must hold g.mu.
func (g *group) majority(condition func(*member) bool) bool {
	for i := range g.counted {
		if !g.counted[i].isMajority(condition) {
			return false
		}
	}
	return len(g.counted) > 0
}

// anyMajority reports whether the condition holds for a majority of some list that
// counts, so that the others are none of it. The caller must hold g.mu.
func (g *group) anyMajority(condition func(*member) bool) bool {
	for i := range g.counted {
		if g.counted[i].isMajority(condition) {
			return true
		}
	}
	return false
}

// established reports whether the list needs none of the lists that it replaced.
//
// A log that has a term of the list's version descends from a promotion that has
// fenced a majority of each replaced list. It holds all that was acknowledged with
// them, and nothing can be acknowledged with them any more. A majority of the list
// with such logs means that each later promotion chooses one. The caller must hold
// g.mu.
func (c *countedList) established() bool {
	return c.Version > 0 && c.isMajority(func(m *member) bool { return m.view.Status.Term().ListVersion() >= c.Version })
}

// dropFormer removes the lists that no longer count. The caller must hold g.mu.
func (g *group) dropFormer() {
	if len(g.counted) == 1 {
		return
	}
	keep := len(g.counted)
	for i := range g.counted {
		if g.counted[i].established() {
			keep = i + 1
			break
		}
	}
	if keep > 1 && g.holdsUnversionedEdit() {
		keep = len(g.counted) - len(g.unversioned.former)
	}
	if keep == len(g.counted) {
		return
	}
	g.log.WithFields(logrus.Fields{
		"list-version": g.counted[0].Version,
		"dropped":      len(g.counted) - keep,
		"left":         keep - 1,
	}).Info("former instances no longer count: the listed ones hold all that they acknowledged")
	// The lists of edits without a version are the last ones.
	dropped := len(g.counted) - keep
	g.unversioned.former = g.unversioned.former[:max(len(g.unversioned.former)-dropped, 0)]
	g.setMembers(g.countedInstances()[:keep])
}

// holdsUnversionedEdit reports whether a majority of each list holds the log as of
// an edit without a version. The caller must hold g.mu.
func (g *group) holdsUnversionedEdit() bool {
	e := &g.unversioned
	p := g.primary()
	if len(e.former) == 0 || p == nil {
		return false
	}
	if e.position.Term != p.view.Status.Term() {
		if p.view.SampledAt.Before(e.since) {
			return false
		}
		e.position = p.view.Status.Applied
	}
	return g.confirmed(e.position, p)
}

// listReplicated reports whether the primary has a term of a former version of the
// list, a majority of the listed instances holds its log as of the time at which
// this host applied the edit, and a majority of each list answers. The promotion in
// a term of the list's version then neither fails nor waits for instances that are
// far behind. The caller must hold g.mu.
func (g *group) listReplicated() bool {
	p := g.primary()
	if p == nil || p.view.Status.Term().ListVersion() >= g.database.ListVersion || p.view.SampledAt.Before(g.listedSince) {
		return false
	}
	if g.listedPosition.Term != p.view.Status.Term() {
		g.listedPosition = p.view.Status.Applied
	}
	return g.counted[0].isMajority(func(m *member) bool { return m.holds(g.listedPosition) }) &&
		g.majority(func(m *member) bool { return m.view.Reachable })
}

// survivesEdit reports whether the record at p, which was written in a term of a
// former version of the list, is in the log of the primary of a later term, which
// begins on a majority. The caller must hold g.mu.
func (g *group) survivesEdit(p gypsumyard.Position) bool {
	if p.Term.ListVersion() >= g.database.ListVersion {
		return false
	}
	m := g.primary()
	return m != nil && m.view.Status.Term() > p.Term && m.view.Status.Contains(p)
}

// editMayDecide reports whether survivesEdit may still become true: no primary of a
// later term is known yet. The caller must hold g.mu.
func (g *group) editMayDecide(p gypsumyard.Position) bool {
	return p.Term.ListVersion() < g.database.ListVersion && g.primary() == nil
}

// formerDropRetryInterval is the pause between two attempts to remove the former
// lists from the entry. Each attempt costs the store a read and a write.
const formerDropRetryInterval = 30 * time.Second

// formerDropTimeout limits one attempt.
const formerDropTimeout = 5 * time.Second

// A formerDropper is a Lists that can remove the former lists from the entry of a
// database in the store.
type formerDropper interface {
	DropFormer(ctx context.Context, database string, listVersion uint64) error
}

// dropStoredFormer removes the former lists from the stored entry once they no
// longer count, so that the entry does not grow with each edit. Nothing depends on
// its success.
func (g *group) dropStoredFormer() {
	d, ok := g.service.lists.(formerDropper)
	g.mu.Lock()
	version := g.database.ListVersion
	due := ok && len(g.database.Former) > 0 && len(g.counted) == 1 && g.counted[0].established() &&
		(g.formerDropAt.IsZero() || g.clock.Since(g.formerDropAt) >= formerDropRetryInterval)
	if due {
		g.formerDropAt = g.clock.Now()
		g.work.Add(1)
	}
	g.mu.Unlock()
	if !due {
		return
	}
	go func() {
		defer g.work.Done()
		ctx, cancel := context.WithTimeout(g.ctx, formerDropTimeout)
		defer cancel()
		log := g.log.WithField("list-version", version)
		if err := d.DropFormer(ctx, g.name, version); err != nil {
			log.WithError(err).Warn("failed to remove the former instances from the entry; retrying later")
			return
		}
		log.Info("former instances removed from the entry")
	}()
}
