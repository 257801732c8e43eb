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
	// Items maps the items that the transaction wrote to their new data.
	Items map[string]string
}

// An Execution is one read, write or commit that an instance ran.
type Execution struct {
	Instance string
	ID       string
	Text     string
	// Position is the instance's applied position just before the statement
	// takes effect.
	Position gypsumyard.Position
	// User is the user name with which the session was started.
	User string
}

// A Group is an emulated database group.
type Group struct {
	name           string
	syncReplicas   int
	connections    int
	lag            time.Duration
	serviceTime    func(text string) time.Duration
	slots          int
	promotionDelay time.Duration
	mu             sync.Mutex
	instances      []*Instance
	executions     []Execution
	acknowledged   []gypsumyard.Position
	// observers are called for each execution.
	observers []func(Execution)
	// changed is broadcast when the state of an instance changes, such as its log
	// or its fence.
	changed    *sync.Cond
	lastNumber int
}

// initialUptime is how long the first instances of a group have been running.
const initialUptime = time.Hour

// An Option configures a Group.
type Option func(*Group)

// WithSyncReplicas sets how many replicas must have received a commit before the
// primary acknowledges it. The default is 1.
func WithSyncReplicas(n int) Option { return func(g *Group) { g.syncReplicas = n } }

// WithLag sets the delay between the receipt of a record at a replica and its
// visibility to reads.
func WithLag(d time.Duration) Option { return func(g *Group) { g.lag = d } }

// WithServiceTime sets how long each read, write and commit occupies a slot.
func WithServiceTime(d time.Duration) Option {
	return WithServiceTimeFunc(func(string) time.Duration { return d })
}

// WithServiceTimeFunc sets a function that returns how long a statement with the
// given text occupies a slot.
func WithServiceTimeFunc(serviceTime func(text string) time.Duration) Option {
	return func(g *Group) { g.serviceTime = serviceTime }
}

// WithSlots sets how many statements an instance runs concurrently. Further
// statements wait. The default is 5.
func WithSlots(n int) Option { return func(g *Group) { g.slots = n } }

// WithPromotionDelay sets how long a promotion takes.
func WithPromotionDelay(d time.Duration) Option { return func(g *Group) { g.promotionDelay = d } }

// WithConnections sets how many connections an instance accepts.
func WithConnections(n int) Option { return func(g *Group) { g.connections = n } }

// New starts a group of n instances. The first one is the primary.
func New(name string, n int, options ...Option) (*Group, error) {
	g := &Group{name: name, syncReplicas: 1, connections: 30, slots: 5, promotionDelay: 50 * time.Millisecond}
	g.serviceTime = func(string) time.Duration { return 0 }
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
	for _, i := range g.instances {
		i.started = i.started.Add(-initialUptime)
	}
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
	g.lastNumber++
	i := &Instance{
		group:    g,
		id:       fmt.Sprintf("%s-%d", g.name, g.lastNumber),
		role:     gypsumyard.RoleReplica,
		term:     1,
		listener: l,
		sessions: map[*session]bool{},
		slots:    make(chan struct{}, g.slots),
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

// Restart starts a crashed instance again at its address, with its log and a new ID. It
// returns as a replica.
func (g *Group) Restart(old *Instance) (*Instance, error) {
	l, err := net.Listen("tcp", old.Addr().String())
	if err != nil {
		return nil, fmt.Errorf("linegroup: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastNumber++
	i := &Instance{
		group:    g,
		id:       fmt.Sprintf("%s-%d", g.name, g.lastNumber),
		role:     gypsumyard.RoleReplica,
		term:     old.term,
		log:      old.log,
		applied:  len(old.log),
		listener: l,
		sessions: map[*session]bool{},
		slots:    make(chan struct{}, g.slots),
		started:  time.Now(),
	}
	if p := g.primaryLocked(); p != nil && !p.isolated && p.term >= i.term {
		i.follow(p)
	}
	g.instances = slices.DeleteFunc(g.instances, func(j *Instance) bool { return j == old })
	g.instances = append(g.instances, i)
	go i.accept(l)
	g.changed.Broadcast()
	return i, nil
}

// Close crashes all instances.
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

// Find returns the instance with the given ID, or nil.
func (g *Group) Find(id string) *Instance {
	for _, i := range g.Instances() {
		if i.id == id {
			return i
		}
	}
	return nil
}

// Listed returns the list entries of all instances.
func (g *Group) Listed() (list []gypsumyard.ListedInstance) {
	for _, i := range g.Instances() {
		list = append(list, i.Listed())
	}
	return list
}

// Remove removes a crashed instance from the group.
func (g *Group) Remove(i *Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances = slices.DeleteFunc(g.instances, func(j *Instance) bool { return i == j })
}

// Promote makes the instance the primary of the next term, after the promotion
// delay. It does nothing if the instance is the primary. It fails with
// ErrConflict if the instance is not running.
func (g *Group) Promote(id string) error {
	i := g.Find(id)
	if i == nil {
		return gypsumyard.ErrConflict
	}
	g.mu.Lock()
	down := i.down
	isPrimary := i == g.primaryLocked()
	g.mu.Unlock()
	if down {
		return gypsumyard.ErrConflict
	}
	if isPrimary {
		return nil
	}
	time.AfterFunc(g.promotionDelay, func() { g.promote(i) })
	return nil
}

// promote carries out a promotion. Replicas truncate their logs where they differ
// from the new primary's. Fences for the new term or an earlier one are lifted.
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
	p.term, p.role, p.fencedTerm, p.applied = term+1, gypsumyard.RolePrimary, 0, len(p.log)
	for _, i := range g.instances {
		if i == p || i.down || i.isolated || i.role == gypsumyard.RolePrimary || i.fencedTerm > p.term {
			continue
		}
		i.follow(p)
	}
	g.changed.Broadcast()
}

// follow makes i a replica of p. It truncates i's log to the common prefix and
// appends the rest of p's log. The caller must hold i.group.mu.
func (i *Instance) follow(p *Instance) {
	n := 0
	for n < len(i.log) && n < len(p.log) && i.log[n].Position == p.log[n].Position {
		n++
	}
	i.log = append(i.log[:n:n], p.log[n:]...)
	i.applied = min(i.applied, n)
	i.term, i.fencedTerm, i.role = p.term, 0, gypsumyard.RoleReplica
	i.applyLater()
}

// Executions returns the executions on all instances in order.
func (g *Group) Executions() []Execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Execution(nil), g.executions...)
}

// CheckUsers calls fail, such as the Errorf of a test, for each further execution in a
// session of another user than userOf returns for the ID of the statement. It does not
// check statements for which that is empty.
func (g *Group) CheckUsers(userOf func(id string) string, fail func(format string, args ...any)) {
	g.Observe(func(e Execution) {
		if user := userOf(e.ID); user != "" && user != e.User {
			fail("statement %s of user %s ran at %s in a session of user %s", e.ID, user, e.Instance, e.User)
		}
	})
}

// Observe calls f when an instance begins a further execution. f must not call the group.
func (g *Group) Observe(f func(Execution)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observers = append(g.observers, f)
}

// Acknowledged returns the positions of all acknowledged commits.
func (g *Group) Acknowledged() []gypsumyard.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]gypsumyard.Position(nil), g.acknowledged...)
}

// commit appends a record to the primary's log and waits until enough replicas
// have received it. It returns the record's position and reports whether the
// commit is acknowledged. It gives up when the instance crashes or is demoted, or when
// stop is closed before that.
func (g *Group) commit(i *Instance, items map[string]string, stop <-chan struct{}) (gypsumyard.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := Record{Position: gypsumyard.Position{Term: i.term, Offset: gypsumyard.Offset(len(i.log) + 1)}, Items: items}
	i.log = append(i.log, r)
	i.applied = len(i.log)
	for {
		g.replicate(i)
		switch n := g.countReceived(i, r.Position); {
		case i.down || i.role != gypsumyard.RolePrimary:
			return r.Position, false
		case n >= g.syncReplicas:
			g.acknowledged = append(g.acknowledged, r.Position)
			return r.Position, true
		case closed(stop):
			return r.Position, false
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

// replicate appends the primary's records to the logs of the replicas that can
// receive them. The caller must hold g.mu.
func (g *Group) replicate(p *Instance) {
	for _, i := range g.instances {
		if i == p || i.down || i.isolated || p.isolated || i.fencedTerm > p.term || i.term > p.term || i.role == gypsumyard.RolePrimary {
			continue
		}
		if len(i.log) < len(p.log) {
			i.log = append(i.log, p.log[len(i.log):]...)
			i.applyLater()
		}
	}
}

// countReceived returns the number of other instances whose log contains the
// record at p. The caller must hold g.mu.
func (g *Group) countReceived(primary *Instance, p gypsumyard.Position) (n int) {
	for _, i := range g.instances {
		if i != primary && len(i.log) >= int(p.Offset) && i.log[p.Offset-1].Position == p {
			n++
		}
	}
	return n
}

// Addr returns the address on which the instance listens.
func (i *Instance) Addr() netip.AddrPort {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return i.addrLocked()
}

func (i *Instance) addrLocked() netip.AddrPort {
	return i.listener.Addr().(*net.TCPAddr).AddrPort()
}
