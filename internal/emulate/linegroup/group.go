package linegroup

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A Record is one committed transaction in a log.
type Record struct {
	Position gypsumyard.Position
	// Items maps what the transaction has written to the data.
	Items map[string]string
}

// An Execution is one read, write or commit that an instance has carried out.
type Execution struct {
	Instance string
	ID       string
	Text     string
	// Position is that of the instance's applied log.
	Position gypsumyard.Position
}

// A Group is an emulated database group.
type Group struct {
	name         string
	sync         int
	connections  int
	lag          time.Duration
	work         func(text string) time.Duration
	slots        int
	promotion    time.Duration
	mu           sync.Mutex
	instances    []*Instance
	runs         []Execution
	acknowledged []gypsumyard.Position
	// changed is broadcast when a log or a hold changes.
	changed *sync.Cond
	next    int
}

// An Option changes a Group.
type Option func(*Group)

// WithSyncReplicas sets how many replicas must receive a commit. The default is 1.
func WithSyncReplicas(n int) Option { return func(g *Group) { g.sync = n } }

// WithLag sets how long a replica takes to apply a record.
func WithLag(d time.Duration) Option { return func(g *Group) { g.lag = d } }

// WithServiceTime sets how long each read, write and commit runs.
func WithServiceTime(d time.Duration) Option {
	return WithServiceTimeFunc(func(string) time.Duration { return d })
}

// WithServiceTimeFunc sets how long a statement of the given text runs.
func WithServiceTimeFunc(work func(text string) time.Duration) Option {
	return func(g *Group) { g.work = work }
}

// WithSlots sets how many statements an instance runs at a time. Further ones
// wait. The default is 5.
func WithSlots(n int) Option { return func(g *Group) { g.slots = n } }

// WithPromotionDelay sets how long a promotion takes.
func WithPromotionDelay(d time.Duration) Option { return func(g *Group) { g.promotion = d } }

// WithConnections sets how many connections an instance accepts.
func WithConnections(n int) Option { return func(g *Group) { g.connections = n } }

// New starts a group of n instances, the first of which is the primary.
func New(name string, n int, options ...Option) (*Group, error) {
	g := &Group{name: name, sync: 1, connections: 30, slots: 5, promotion: 50 * time.Millisecond}
	g.work = func(string) time.Duration { return 0 }
	g.changed = sync.NewCond(&g.mu)
	for _, o := range options {
		o(g)
	}
	for range n {
		if _, err := g.Add(); err != nil {
			g.Close()
			return nil, err
		}
	}
	g.instances[0].role = gypsumyard.RolePrimary
	return g, nil
}

// Add starts another instance with a copy of the primary's log.
func (g *Group) Add() (*Instance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("linegroup: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	i := &Instance{
		group:    g,
		id:       fmt.Sprintf("%s-%d", g.name, g.next),
		role:     gypsumyard.RoleReplica,
		term:     1,
		listener: l,
		sessions: map[*session]bool{},
		running:  make(chan struct{}, g.slots),
		started:  time.Now(),
	}
	if p := g.primaryLocked(); p != nil {
		i.term = p.term
		i.log = append(i.log, p.log...)
		i.applied = len(i.log)
	}
	g.instances = append(g.instances, i)
	go i.accept(l)
	return i, nil
}

// Close ends all instances.
func (g *Group) Close() {
	for _, i := range g.Instances() {
		i.Crash()
	}
}

// Instances returns all instances.
func (g *Group) Instances() []*Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Instance(nil), g.instances...)
}

// Primary returns the running primary of the highest term, or nil.
func (g *Group) Primary() *Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryLocked()
}

func (g *Group) primaryLocked() (p *Instance) {
	for _, i := range g.instances {
		if !i.down && i.role == gypsumyard.RolePrimary && (p == nil || i.term > p.term) {
			p = i
		}
	}
	return p
}

// Find returns the instance of the given ID, or nil.
func (g *Group) Find(id string) *Instance {
	for _, i := range g.Instances() {
		if i.id == id {
			return i
		}
	}
	return nil
}

// Listed returns the entries of all instances.
func (g *Group) Listed() (list []gypsumyard.ListedInstance) {
	for _, i := range g.Instances() {
		list = append(list, i.Listed())
	}
	return list
}

// Remove takes a crashed instance out of the group.
func (g *Group) Remove(i *Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances = slices.DeleteFunc(g.instances, func(j *Instance) bool { return i == j })
}

// Promote makes the instance the primary of the next term after a while. It
// fails with ErrConflict if the instance does not run.
func (g *Group) Promote(id string) error {
	i := g.Find(id)
	if i == nil {
		return gypsumyard.ErrConflict
	}
	g.mu.Lock()
	down := i.down
	lead := i == g.primaryLocked()
	g.mu.Unlock()
	if down {
		return gypsumyard.ErrConflict
	}
	if lead {
		return nil
	}
	time.AfterFunc(g.promotion, func() { g.promote(i) })
	return nil
}

// promote carries a promotion out: replicas that are ahead are cut back, and
// holds for the new term or an earlier one end.
func (g *Group) promote(p *Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.down {
		return
	}
	term := gypsumyard.Term(0)
	for _, i := range g.instances {
		term = max(term, i.term)
	}
	p.term, p.role, p.held, p.applied = term+1, gypsumyard.RolePrimary, 0, len(p.log)
	for _, i := range g.instances {
		if i == p || i.down || i.deaf || i.role == gypsumyard.RolePrimary || i.held > p.term {
			continue
		}
		i.follow(p)
	}
	g.changed.Broadcast()
}

// follow makes a replica continue the log of p.
func (i *Instance) follow(p *Instance) {
	n := 0
	for n < len(i.log) && n < len(p.log) && i.log[n].Position == p.log[n].Position {
		n++
	}
	i.log = append(i.log[:n:n], p.log[n:]...)
	i.applied = min(i.applied, n)
	i.term, i.held, i.role = p.term, 0, gypsumyard.RoleReplica
	i.applyLater()
}

// Executions returns what the instances have carried out.
func (g *Group) Executions() []Execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Execution(nil), g.runs...)
}

// Acknowledged returns the positions of all acknowledged commits.
func (g *Group) Acknowledged() []gypsumyard.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]gypsumyard.Position(nil), g.acknowledged...)
}

// commit appends a record at the primary and waits until enough replicas have
// received it. It returns the position and whether the commit is acknowledged.
func (g *Group) commit(i *Instance, items map[string]string, stop <-chan struct{}) (gypsumyard.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := Record{Position: gypsumyard.Position{Term: i.term, Offset: gypsumyard.Offset(len(i.log) + 1)}, Items: items}
	i.log = append(i.log, r)
	i.applied = len(i.log)
	for {
		g.replicate(i)
		switch n := g.holding(i, r.Position); {
		case i.down || i.role != gypsumyard.RolePrimary || closed(stop):
			return r.Position, false
		case n >= g.sync:
			g.acknowledged = append(g.acknowledged, r.Position)
			return r.Position, true
		}
		g.changed.Wait()
	}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// replicate hands the primary's log to the replicas that receive it.
func (g *Group) replicate(p *Instance) {
	for _, i := range g.instances {
		if i == p || i.down || i.deaf || p.deaf || i.held > p.term || i.term > p.term || i.role == gypsumyard.RolePrimary {
			continue
		}
		if len(i.log) < len(p.log) {
			i.log = append(i.log, p.log[len(i.log):]...)
			i.applyLater()
		}
	}
}

// holding counts the replicas whose log holds the record at p.
func (g *Group) holding(primary *Instance, p gypsumyard.Position) (n int) {
	for _, i := range g.instances {
		if i != primary && len(i.log) >= int(p.Offset) && i.log[p.Offset-1].Position == p {
			n++
		}
	}
	return n
}

// Addr returns the address at which the instance is reached.
func (i *Instance) Addr() netip.AddrPort {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return i.addrLocked()
}

func (i *Instance) addrLocked() netip.AddrPort {
	return i.listener.Addr().(*net.TCPAddr).AddrPort()
}
