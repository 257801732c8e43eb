package promote

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/gypsumyard/gypsumyard"
)

// mutations break one rule of the instances or of the caller, to show that the
// checker notices.
type mutations struct {
	// looseTokens accepts a fence of the same term with another token.
	looseTokens bool
	// minority hides all instances but one from each promoter.
	minority bool
	// deafFence lets a fenced instance go on with the lower term.
	deafFence bool
	// earlyConfirm confirms a write that only the primary holds.
	earlyConfirm bool
}

type record struct {
	term gypsumyard.Term
	id   int // zero is the start of a term
}

// A node is an instance in memory that keeps the contract of
// [gypsumyard.Instance].
type node struct {
	name     string
	log      []record
	role     gypsumyard.Role
	fence    gypsumyard.Term
	token    gypsumyard.Token
	upstream string
	follows  gypsumyard.Term
	down     bool
	leaving  bool
}

func (n *node) status() gypsumyard.InstanceStatus {
	s := gypsumyard.InstanceStatus{Role: n.role, Fence: n.fence, FenceToken: n.token, Leaving: n.leaving}
	for i, r := range n.log {
		if len(s.History) == 0 || s.History[len(s.History)-1].Term != r.term {
			s.History = append(s.History, gypsumyard.TermStart{Term: r.term, Start: gypsumyard.Offset(i + 1)})
		}
		s.Applied = gypsumyard.Position{Term: r.term, Offset: gypsumyard.Offset(i + 1)}
	}
	return s
}

// A world holds the nodes and judges what happens to confirmed records.
type world struct {
	mutations
	mu      sync.Mutex
	nodes   []*node
	nextID  int
	pending []*order
	// holders are the nodes that were seen to hold a record under its term.
	holders   map[gypsumyard.Position]map[string]bool
	confirmed map[gypsumyard.Position]record
	promoted  map[gypsumyard.Term]string
	faults    []string
}

func newWorld(size int, m mutations) *world {
	w := &world{
		mutations: m,
		holders:   map[gypsumyard.Position]map[string]bool{},
		confirmed: map[gypsumyard.Position]record{},
		promoted:  map[gypsumyard.Term]string{1: "n0"},
	}
	for i := range size {
		n := &node{name: fmt.Sprint("n", i), role: gypsumyard.RoleReplica, upstream: "n0", follows: 1, fence: 1}
		n.log = []record{{term: 1}}
		w.nodes = append(w.nodes, n)
	}
	w.nodes[0].role = gypsumyard.RolePrimary
	return w
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) node(name string) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
	return w.nodes[i]
}

func (n *node) term() gypsumyard.Term { return n.log[len(n.log)-1].term }

// write appends a record at a node that takes itself for a writable primary.
func (w *world) write(n *node) {
	s := n.status()
	if n.down || n.role != gypsumyard.RolePrimary || (!s.Writable() && !w.deafFence) {
		return
	}
	w.nextID++
	n.log = append(n.log, record{term: n.term(), id: w.nextID})
}

// replicate copies one record from the node's primary, after rewinding a fork.
func (w *world) replicate(n *node) {
	if n.role == gypsumyard.RolePrimary || n.down || n.upstream == "" || n.upstream == n.name {
		return
	}
	p := w.node(n.upstream)
	if p.down || p.role != gypsumyard.RolePrimary || p.term() != n.follows || (n.fence > n.follows && !w.deafFence) {
		return
	}
	same := 0
	for same < len(n.log) && same < len(p.log) && n.log[same] == p.log[same] {
		same++
	}
	n.log = n.log[:same]
	if same < len(p.log) {
		n.log = append(n.log, p.log[same])
	}
}

// poll reads a node's status as an owner does that confirms writes.
func (w *world) poll(n *node) {
	s := n.status()
	if n.down || (s.Fence > s.Applied.Term && !w.deafFence) {
		return
	}
	for i, r := range n.log {
		if r.term != s.Applied.Term {
			continue
		}
		p := gypsumyard.Position{Term: r.term, Offset: gypsumyard.Offset(i + 1)}
		if w.holders[p] == nil {
			w.holders[p] = map[string]bool{}
		}
		w.holders[p][n.name] = true
		enough := len(w.nodes)/2 + 1
		if w.earlyConfirm {
			enough = 1
		}
		if len(w.holders[p]) >= enough {
			w.confirm(p, r)
		}
	}
}

func (w *world) confirm(p gypsumyard.Position, r record) {
	if old, ok := w.confirmed[p]; ok && old != r {
		w.fault("two records confirmed at %v", p)
	}
	w.confirmed[p] = r
}

// check fails if the primary of a term lacks a record confirmed in that term
// or an earlier one, or if a term has two primaries.
func (w *world) check() {
	for _, n := range w.nodes {
		if n.role != gypsumyard.RolePrimary {
			continue
		}
		if other := cmp.Or(w.promoted[n.term()], n.name); other != n.name {
			w.fault("term %d has the primaries %s and %s", n.term(), other, n.name)
		}
		w.promoted[n.term()] = n.name
		for p, r := range w.confirmed {
			if p.Term <= n.term() && (int(p.Offset) > len(n.log) || n.log[p.Offset-1] != r) {
				w.fault("primary %s of term %d lacks the confirmed record at %v", n.name, n.term(), p)
			}
		}
	}
}

// An order is a call of a promoter that has not reached its node yet.
type order struct {
	promoter int
	node     *node
	kind     string
	do       func() (gypsumyard.InstanceStatus, error)
	answer   chan func() (gypsumyard.InstanceStatus, error)
}

// A remote is one promoter's way to a node.
type remote struct {
	world    *world
	promoter int
	node     *node
	// direct runs orders at once instead of queueing them.
	direct bool
}

var errLostAnswer = errors.New("answer lost")

func (r *remote) Upstream() gypsumyard.Upstream { return gypsumyard.Upstream{Name: r.node.name} }
func (r *remote) Close() error                  { return nil }

func (r *remote) send(ctx context.Context, kind string, do func() (gypsumyard.InstanceStatus, error)) (gypsumyard.InstanceStatus, error) {
	o := &order{promoter: r.promoter, node: r.node, kind: kind, do: do, answer: make(chan func() (gypsumyard.InstanceStatus, error), 1)}
	r.world.mu.Lock()
	if r.direct && r.node.down {
		r.world.mu.Unlock()
		<-ctx.Done()
		return gypsumyard.InstanceStatus{}, context.Cause(ctx)
	}
	if r.direct {
		defer r.world.mu.Unlock()
		return do()
	}
	r.world.pending = append(r.world.pending, o)
	r.world.mu.Unlock()
	select {
	case f := <-o.answer:
		return f()
	case <-ctx.Done():
		// The order stays under way: it may still reach the node.
		return gypsumyard.InstanceStatus{}, context.Cause(ctx)
	}
}

func (r *remote) Status(ctx context.Context) (gypsumyard.InstanceStatus, error) {
	return r.send(ctx, "status", func() (gypsumyard.InstanceStatus, error) { return r.node.status(), nil })
}

func (r *remote) Fence(ctx context.Context, term gypsumyard.Term, token gypsumyard.Token) (gypsumyard.InstanceStatus, error) {
	return r.send(ctx, "fence", func() (gypsumyard.InstanceStatus, error) {
		n := r.node
		if n.fence > term || (n.fence == term && n.token != token && !r.world.looseTokens) {
			return n.status(), gypsumyard.ErrFenced
		}
		n.fence, n.token = term, token
		return n.status(), nil
	})
}

func (r *remote) Promote(ctx context.Context, term gypsumyard.Term, token gypsumyard.Token) (gypsumyard.InstanceStatus, error) {
	return r.send(ctx, "promote", func() (gypsumyard.InstanceStatus, error) {
		n := r.node
		if n.fence != term || (n.token != token && !r.world.looseTokens) {
			return n.status(), gypsumyard.ErrFenced
		}
		if n.role != gypsumyard.RolePrimary || n.term() != term {
			n.role, n.upstream = gypsumyard.RolePrimary, ""
			n.log = append(n.log, record{term: term})
		}
		return n.status(), nil
	})
}

func (r *remote) Follow(ctx context.Context, term gypsumyard.Term, primary string) error {
	_, err := r.send(ctx, "follow", func() (gypsumyard.InstanceStatus, error) {
		n := r.node
		if n.fence > term {
			return n.status(), gypsumyard.ErrFenced
		}
		if n.fence < term {
			n.fence, n.token = term, ""
		}
		n.role, n.upstream, n.follows = gypsumyard.RoleReplica, primary, term
		return n.status(), nil
	})
	return err
}

func (w *world) instances(promoter int, direct bool) (list []gypsumyard.Instance) {
	for _, n := range w.nodes {
		list = append(list, &remote{world: w, promoter: promoter, node: n, direct: direct})
	}
	if w.minority {
		return list[promoter%len(list):][:1]
	}
	return list
}
