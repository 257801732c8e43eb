package emulate

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/emulate/store"
)

type config struct {
	groups  []groupConfig
	store   []store.Option
	control netip.AddrPort
}

type groupConfig struct {
	name    string
	options []group.Option
}

// An Option configures an environment.
type Option func(*config)

// WithGroup adds a database group.
func WithGroup(name string, options ...group.Option) Option {
	return func(c *config) { c.groups = append(c.groups, groupConfig{name: name, options: options}) }
}

// WithStore sets options of the platform's service.
func WithStore(options ...store.Option) Option {
	return func(c *config) { c.store = append(c.store, options...) }
}

// WithControl sets the address of the control endpoint. The default is a
// loopback port chosen by the system.
func WithControl(addr netip.AddrPort) Option { return func(c *config) { c.control = addr } }

// An Environment is a set of running emulators.
type Environment struct {
	groups   []*group.Group
	store    *store.Server
	listener net.Listener
	http     *http.Server
	done     chan struct{}
}

// Start starts the emulators and the control endpoint.
func Start(options ...Option) (e *Environment, err error) {
	c := config{control: netip.MustParseAddrPort("127.0.0.1:0")}
	for _, o := range options {
		o(&c)
	}
	e = &Environment{done: make(chan struct{})}
	started := e
	defer func() {
		if err != nil {
			started.closeEmulators()
			err = fmt.Errorf("start emulators: %w", err)
		}
	}()
	for _, g := range c.groups {
		if e.Group(g.name) != nil || g.name == storeTarget {
			return nil, fmt.Errorf("name %q is taken", g.name)
		}
		running, err := group.New(g.name, g.options...)
		if err != nil {
			return nil, err
		}
		e.groups = append(e.groups, running)
	}
	if e.store, err = store.New(c.store...); err != nil {
		return nil, err
	}
	if e.listener, err = net.Listen("tcp", c.control.String()); err != nil {
		return nil, err
	}
	e.http = &http.Server{Handler: e.handler(), ReadHeaderTimeout: 10 * time.Second}
	go e.serve()
	return e, nil
}

func (e *Environment) serve() {
	defer close(e.done)
	if err := e.http.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
		e.closeEmulators()
	}
}

// Control returns the address of the control endpoint.
func (e *Environment) Control() netip.AddrPort {
	return e.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Store returns the platform's service.
func (e *Environment) Store() *store.Server { return e.store }

// Groups returns the database groups in the order of their start.
func (e *Environment) Groups() []*group.Group { return e.groups }

// Group returns the group with the given name, or nil.
func (e *Environment) Group(name string) *group.Group {
	for _, g := range e.groups {
		if g.Name() == name {
			return g
		}
	}
	return nil
}

// instances returns the instances that a target names: INSTANCE for one, GROUP for
// all of a group, GROUP/primary for the one that accepts writes.
func (e *Environment) instances(target string) ([]*group.Instance, error) {
	name, primary := strings.CutSuffix(target, "/primary")
	for _, g := range e.groups {
		switch {
		case primary && g.Name() == name:
			if p := g.Primary(); p != nil {
				return []*group.Instance{p}, nil
			}
			return nil, fmt.Errorf("group %q has no primary", name)
		case g.Name() == name:
			return g.Instances(), nil
		}
		for _, in := range g.Instances() {
			if in.Name() == target {
				return []*group.Instance{in}, nil
			}
		}
	}
	return nil, fmt.Errorf("no group, instance or service %q", target)
}

// Done returns a channel that is closed when the control endpoint has stopped.
func (e *Environment) Done() <-chan struct{} { return e.done }

// Close stops the control endpoint and the emulators. It waits for open requests
// to the control endpoint until ctx is done.
func (e *Environment) Close(ctx context.Context) (err error) {
	if err = e.http.Shutdown(ctx); err != nil {
		_ = e.http.Close()
	}
	<-e.done
	e.closeEmulators()
	return err
}

func (e *Environment) closeEmulators() {
	for _, g := range e.groups {
		g.Close()
	}
	if e.store != nil {
		e.store.Close()
	}
}
