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
// checker detects it.
type mutations struct {
	// acceptAnyToken accepts orders of the same term with another token.
	acceptAnyToken bool
	// minority shows each promoter a single instance, so that it promotes without
	// a majority.
	minority bool
	// ignoreFence lets a fenced instance continue in the lower term.
	ignoreFence bool
	// earlyConfirm confirms a write that only the primary holds.
	earlyConfirm bool
	// forgetFence loses the fence of a node that restarts.
	forgetFence bool
	// forgetLog loses the records of a replica that restarts.
	forgetLog bool
}

type record struct {
	term gypsumyard.Term
	id   int // zero for the record that starts a term
}

// A node is an in-memory instance that implements the contract of
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

// A cluster holds the nodes of one database and checks that confirmed records are
// never lost.
type cluster struct {
	mutations
	mu      sync.Mutex
	nodes   []*node
	nextID  int
	pending []*order
	// holders are the nodes whose status showed a record while their log was in
	// the record's term.
	holders    map[gypsumyard.Position]map[string]bool
	confirmed  map[gypsumyard.Position]record
	promoted   map[gypsumyard.Term]string
	violations []string
}

func newCluster(size int, m mutations) *cluster {
	cl := &cluster{
		mutations: m,
		holders:   map[gypsumyard.Position]map[string]bool{},
		confirmed: map[gypsumyard.Position]record{},
		promoted:  map[gypsumyard.Term]string{1: "n0"},
	}
	for i := range size {
		n := &node{name: fmt.Sprint("n", i), role: gypsumyard.RoleReplica, upstream: "n0", follows: 1, fence: 1}
		n.log = []record{{term: 1}}
		cl.nodes = append(cl.nodes, n)
	}
	cl.nodes[0].role = gypsumyard.RolePrimary
	return cl
}

func (cl *cluster) addViolation(format string, args ...any) {
	cl.violations = append(cl.violations, fmt.Sprintf(format, args...))
}

func (cl *cluster) node(name string) *node {
	i := slices.IndexFunc(cl.nodes, func(n *node) bool { return n.name == name })
	return cl.nodes[i]
}

func (n *node) term() gypsumyard.Term { return n.log[len(n.log)-1].term }

// write appends a record to the log of a node that considers itself a writable
// primary.
func (cl *cluster) write(n *node) {
	s := n.status()
	if n.down || n.role != gypsumyard.RolePrimary || (!s.Writable() && !cl.ignoreFence) {
		return
	}
	cl.nextID++
	n.log = append(n.log, record{term: n.term(), id: cl.nextID})
}

// restart crashes and restarts a node. Its log, role and fence are kept.
func (cl *cluster) restart(n *node) {
	n.down = false
	if cl.forgetFence {
		n.fence, n.token = 0, ""
	}
	if cl.forgetLog && n.role == gypsumyard.RoleReplica {
		n.log = n.log[:1]
	}
}

// replicate copies one record from the node's primary, after truncating records
// that diverge from the primary's log.
func (cl *cluster) replicate(n *node) {
	if n.role == gypsumyard.RolePrimary || n.down || n.upstream == "" || n.upstream == n.name {
		return
	}
	p := cl.node(n.upstream)
	if p.down || p.role != gypsumyard.RolePrimary || p.term() != n.follows || (n.fence > n.follows && !cl.ignoreFence) {
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

// poll reads a node's status and confirms records that a majority holds, as an
// owner does.
func (cl *cluster) poll(n *node) {
	s := n.status()
	if n.down || (s.Fence > s.Applied.Term && !cl.ignoreFence) {
		return
	}
	for i, r := range n.log {
		if r.term != s.Applied.Term {
			continue
		}
		p := gypsumyard.Position{Term: r.term, Offset: gypsumyard.Offset(i + 1)}
		if cl.holders[p] == nil {
			cl.holders[p] = map[string]bool{}
		}
		cl.holders[p][n.name] = true
		enough := len(cl.nodes)/2 + 1
		if cl.earlyConfirm {
			enough = 1
		}
		if len(cl.holders[p]) >= enough {
			cl.confirm(p, r)
		}
	}
}

func (cl *cluster) confirm(p gypsumyard.Position, r record) {
	if old, ok := cl.confirmed[p]; ok && old != r {
		cl.addViolation("two records confirmed at %v", p)
	}
	cl.confirmed[p] = r
}

// check records a violation if the primary of a term lacks a record confirmed in
// that term or an earlier one, or if a term has two primaries.
func (cl *cluster) check() {
	for _, n := range cl.nodes {
		if n.role != gypsumyard.RolePrimary {
			continue
		}
		if other := cmp.Or(cl.promoted[n.term()], n.name); other != n.name {
			cl.addViolation("term %d has the primaries %s and %s", n.term(), other, n.name)
		}
		cl.promoted[n.term()] = n.name
		for p, r := range cl.confirmed {
			if p.Term <= n.term() && (int(p.Offset) > len(n.log) || n.log[p.Offset-1] != r) {
				cl.addViolation("primary %s of term %d lacks the confirmed record at %v", n.name, n.term(), p)
			}
		}
	}
}

// An order is a call of a promoter that is in flight to its node.
type order struct {
	promoter int
	node     *node
	kind     string
	do       func() (gypsumyard.InstanceStatus, error)
	answer   chan func() (gypsumyard.InstanceStatus, error)
}

// A client is one promoter's connection to a node. It implements
// [gypsumyard.Instance].
type client struct {
	cluster  *cluster
	promoter int
	node     *node
	// direct makes calls at once instead of queueing them for delivery.
	direct bool
}

var errLostAnswer = errors.New("answer lost")

func (r *client) Upstream() gypsumyard.Upstream { return gypsumyard.Upstream{Name: r.node.name} }
func (r *client) Close() error                  { return nil }

func (r *client) send(ctx context.Context, kind string, do func() (gypsumyard.InstanceStatus, error)) (gypsumyard.InstanceStatus, error) {
	o := &order{promoter: r.promoter, node: r.node, kind: kind, do: do, answer: make(chan func() (gypsumyard.InstanceStatus, error), 1)}
	r.cluster.mu.Lock()
	if r.direct && r.node.down {
		r.cluster.mu.Unlock()
		<-ctx.Done()
		return gypsumyard.InstanceStatus{}, context.Cause(ctx)
	}
	if r.direct {
		defer r.cluster.mu.Unlock()
		return do()
	}
	r.cluster.pending = append(r.cluster.pending, o)
	r.cluster.mu.Unlock()
	select {
	case f := <-o.answer:
		return f()
	case <-ctx.Done():
		// The order stays in flight: it may still reach the node.
		return gypsumyard.InstanceStatus{}, context.Cause(ctx)
	}
}

func (r *client) Status(ctx context.Context) (gypsumyard.InstanceStatus, error) {
	return r.send(ctx, "status", func() (gypsumyard.InstanceStatus, error) { return r.node.status(), nil })
}

func (r *client) Fence(ctx context.Context, term gypsumyard.Term, token gypsumyard.Token) (gypsumyard.InstanceStatus, error) {
	return r.send(ctx, "fence", func() (gypsumyard.InstanceStatus, error) {
		n := r.node
		if n.fence > term || (n.fence == term && n.token != token && !r.cluster.acceptAnyToken) {
			return n.status(), gypsumyard.ErrFenced
		}
		n.fence, n.token = term, token
		return n.status(), nil
	})
}

func (r *client) Promote(ctx context.Context, term gypsumyard.Term, token gypsumyard.Token) (gypsumyard.InstanceStatus, error) {
	return r.send(ctx, "promote", func() (gypsumyard.InstanceStatus, error) {
		n := r.node
		if n.fence != term || (n.token != token && !r.cluster.acceptAnyToken) {
			return n.status(), gypsumyard.ErrFenced
		}
		if n.role != gypsumyard.RolePrimary || n.term() != term {
			n.role, n.upstream = gypsumyard.RolePrimary, ""
			n.log = append(n.log, record{term: term})
		}
		return n.status(), nil
	})
}

func (r *client) Follow(ctx context.Context, term gypsumyard.Term, primary string) error {
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

func (cl *cluster) instances(promoter int, direct bool) (list []gypsumyard.Instance) {
	for _, n := range cl.nodes {
		list = append(list, &client{cluster: cl, promoter: promoter, node: n, direct: direct})
	}
	if cl.minority {
		return list[promoter%len(list):][:1]
	}
	return list
}
