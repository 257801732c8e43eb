package group

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/engine"
)

// A Group is a running database group.
type Group struct {
	name      string
	config    config
	instances []*Instance
	journal   *journal
	cancel    context.CancelFunc
	work      sync.WaitGroup
	done      chan struct{}
	close     sync.Once

	// mu guards the credentials in config.
	mu sync.Mutex
}

// New starts a group whose instances are named NAME-1, NAME-2 and so on. They
// listen on loopback ports chosen by the system. NAME-1 is the primary of term 1.
func New(name string, options ...Option) (g *Group, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start database group %s: %w", name, err)
		}
	}()
	c := defaults()
	for _, o := range options {
		o(&c)
	}
	if c.instances < 1 || c.slots < 1 || c.connections < 1 {
		return nil, fmt.Errorf("instances, slots and connections must be positive")
	}
	ctx, cancel := context.WithCancel(context.Background())
	g = &Group{name: name, config: c, journal: newJournal(c.journalEntries), cancel: cancel, done: make(chan struct{})}
	for i := range c.instances {
		in := g.newInstance(i)
		if err := in.listen(); err != nil {
			g.Close()
			return nil, err
		}
		g.instances = append(g.instances, in)
	}
	for _, in := range g.instances {
		g.work.Go(func() { in.replicate(ctx) })
	}
	return g, nil
}

func (g *Group) newInstance(i int) *Instance {
	role, source := gypsumyard.RoleReplica, g.instanceName(0)
	if i == 0 {
		role, source = gypsumyard.RolePrimary, ""
	}
	domain := ""
	if n := len(g.config.domains); n > 0 {
		domain = g.config.domains[i%n]
	}
	e := engine.New(g.name, role, source, g.config.clock)
	return newInstance(g, g.instanceName(i), domain, e)
}

func (g *Group) instanceName(i int) string { return fmt.Sprintf("%s-%d", g.name, i+1) }

// Name returns the name of the group, which is also that of its database.
func (g *Group) Name() string { return g.name }

// Instances returns the instances in the order of their names.
func (g *Group) Instances() []*Instance { return g.instances }

// Instance returns the instance with the given name, or nil if there is none.
// The name may omit the group's prefix, as in "2" for NAME-2.
func (g *Group) Instance(name string) *Instance {
	for _, in := range g.instances {
		if in.name == name || strings.TrimPrefix(in.name, g.name+"-") == name {
			return in
		}
	}
	return nil
}

// Primary returns the running instance that accepts writes, or nil. If several
// instances act as primary, it returns the one of the highest term.
func (g *Group) Primary() (p *Instance) {
	var term gypsumyard.Term
	for _, in := range g.instances {
		st := in.engine.Status()
		if in.Running() && st.Writable() && st.Term() > term {
			p, term = in, st.Term()
		}
	}
	return p
}

// Database returns the catalog entry of the group.
func (g *Group) Database(region string) gypsumyard.Database {
	d := gypsumyard.Database{
		Name:        g.name,
		Region:      region,
		Slots:       g.config.slots,
		Connections: g.config.connections,
	}
	d.User, d.Password = g.credentials()
	for _, in := range g.instances {
		d.Instances = append(d.Instances, in.Upstream())
	}
	return d
}

func (g *Group) credentials() (user, password string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.config.user, g.config.password
}

// SetCredentials changes the user and the password that new sessions need. Open
// sessions continue.
func (g *Group) SetCredentials(user, password string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.config.user, g.config.password = user, password
}

// Done returns a channel that is closed when Close has stopped all instances.
func (g *Group) Done() <-chan struct{} { return g.done }

// Close stops the instances and waits for their goroutines.
func (g *Group) Close() {
	g.close.Do(func() {
		g.cancel()
		for _, in := range g.instances {
			in.Kill()
		}
		g.work.Wait()
		close(g.done)
	})
}
