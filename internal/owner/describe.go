package owner

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A Description is a snapshot of the state of an owned database.
type Description struct {
	// Owned is false while the host only finishes requests and transactions
	// that began before the ownership moved.
	Owned bool `json:"owned"`
	// Primary is the instance that accepts writes, empty if none does.
	Primary string `json:"primary"`
	// Term and Position are those of the primary.
	Term     gypsumyard.Term `json:"term"`
	Position string          `json:"position"`
	// Queued and Running count the requests that wait for a slot and those
	// that hold one. Both are zero if the admitter does not report them.
	Queued  int `json:"queued"`
	Running int `json:"running"`
	// InFlight counts the requests that the host has accepted and not yet
	// answered.
	InFlight         int                   `json:"in-flight"`
	OpenTransactions int                   `json:"open-transactions"`
	Instances        []InstanceDescription `json:"instances"`
}

// An InstanceDescription is what the owner knows of one instance.
type InstanceDescription struct {
	Name      string              `json:"name"`
	Role      gypsumyard.Role     `json:"role"`
	Reachable bool                `json:"reachable"`
	Leaving   bool                `json:"leaving"`
	Term      gypsumyard.Term     `json:"term"`
	Fence     gypsumyard.Term     `json:"fence"`
	Position  string              `json:"position"`
	Lag       gypsumyard.Duration `json:"lag"`
	// Connections counts the open connections of this host to the instance,
	// without the two control connections. ConnectionsUsed counts those that
	// run a request or hold a transaction.
	Connections     int `json:"connections"`
	ConnectionsUsed int `json:"connections-used"`
}

// A queueReporter is an Admitter that reports the number of queued and running
// requests.
type queueReporter interface {
	Lengths() (queued, running int)
}

// Describe returns a Description of the database, or false if this host does
// not run it.
func (s *Service) Describe(database string) (any, bool) {
	g := s.group(database)
	if g == nil {
		return nil, false
	}
	return g.describe(), true
}

func (g *group) describe() Description {
	d := Description{}
	if l, ok := g.admitter.(queueReporter); ok {
		d.Queued, d.Running = l.Lengths()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d.Owned = g.ownedCtx.Err() == nil
	d.InFlight = g.inFlight
	d.OpenTransactions = len(g.transactions)
	if p := g.primary(); p != nil {
		d.Primary = p.name
		d.Term = p.view.Status.Term()
		d.Position = p.view.Status.Applied.String()
	}
	for _, m := range g.members {
		d.Instances = append(d.Instances, m.describe())
	}
	return d
}

// describe returns the snapshot of one instance. The caller must hold the
// mutex of the group.
func (m *member) describe() InstanceDescription {
	v := &m.view
	d := InstanceDescription{
		Name:      m.name,
		Role:      v.Status.Role,
		Reachable: v.Reachable,
		Leaving:   v.Leaving,
		Term:      v.Status.Term(),
		Fence:     v.Status.Fence,
		Position:  v.Status.Applied.String(),
		Lag:       gypsumyard.Duration(v.Lag.Round(time.Microsecond)),
	}
	d.Connections, d.ConnectionsUsed = m.pool.Counts()
	return d
}
