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
	// forgetFormer counts the latest list of instances only, as hosts without
	// former lists do.
	forgetFormer bool
	// ignoreVersion lets hosts with an older list act in the terms of the latest
	// one.
	ignoreVersion bool
	// dropEarly drops the former lists as soon as one listed instance has a log of
	// the list's version.
	dropEarly bool
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
	mu    sync.Mutex
	nodes []*node
	// lists holds the versions of the list of instances. A host may have any.
	lists   []gypsumyard.InstanceList
	nextID  int
	pending []*order
	// holders are the nodes whose status showed a record while their log was in
	// the record's term.
	holders    map[gypsumyard.Position]map[string]bool
	confirmed  map[gypsumyard.Position]confirmation
	promoted   map[gypsumyard.Term]string
	violations []string
}

// A confirmation is a confirmed record with the lowest term in which it was.
type confirmation struct {
	record
	by gypsumyard.Term
}

// newCluster returns a cluster of size listed nodes, and of more nodes that an edit
// can list.
func newCluster(size, more int, m mutations) *cluster {
	cl := &cluster{
		mutations: m,
		holders:   map[gypsumyard.Position]map[string]bool{},
		confirmed: map[gypsumyard.Position]confirmation{},
		promoted:  map[gypsumyard.Term]string{1: "n0"},
	}
	cl.lists = []gypsumyard.InstanceList{{}}
	for i := range size {
		cl.lists[0].Instances = append(cl.lists[0].Instances, gypsumyard.Upstream{Name: fmt.Sprint("n", i)})
	}
	for i := range size + more {
		n := &node{name: fmt.Sprint("n", i), role: gypsumyard.RoleReplica, upstream: "n0", follows: 1, fence: 1}
		n.log = []record{{term: 1}}
		cl.nodes = append(cl.nodes, n)
	}
	cl.nodes[0].role = gypsumyard.RolePrimary
	return cl
}

// edit replaces one or more instances of the latest list.
func (cl *cluster) edit(d draw) {
	last := cl.lists[len(cl.lists)-1]
	next := gypsumyard.InstanceList{Version: last.Version + 1}
	first := d(len(cl.nodes), "first")
	for i := range len(last.Instances) {
		next.Instances = append(next.Instances, gypsumyard.Upstream{Name: cl.nodes[(first+i)%len(cl.nodes)].name})
	}
	cl.lists = append(cl.lists, next)
}

// majority reports whether the condition holds for a majority of the list.
func (cl *cluster) majority(l gypsumyard.InstanceList, condition func(n *node) bool) bool {
	n := 0
	for _, u := range l.Instances {
		if condition(cl.node(u.Name)) {
			n++
		}
	}
	return l.IsMajority(n)
}

// counted returns the lists that count for a host that has version v of the list:
// it and the former ones back to the latest of which a majority has logs with a term
// of the list's version. Only versions up to until may be that latest one.
func (cl *cluster) counted(v int, until uint64) (lists []gypsumyard.InstanceList) {
	for ; v >= 0; v-- {
		l := cl.lists[v]
		lists = append(lists, l)
		ofVersion := func(n *node) bool { return n.term().ListVersion() >= l.Version }
		early := cl.dropEarly && slices.ContainsFunc(l.Instances, func(u gypsumyard.Upstream) bool { return ofVersion(cl.node(u.Name)) })
		if l.Version <= until && (early || cl.majority(l, ofVersion)) || cl.forgetFormer {
			break
		}
	}
	return lists
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

// poll reads a node's status and confirms records that majorities hold, as owners
// do.
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
		if cl.isConfirmed(p) {
			cl.confirmLog(n, i)
		}
	}
}

// isConfirmed reports whether the record at p is confirmed for an owner that has any
// version of the list.
func (cl *cluster) isConfirmed(p gypsumyard.Position) bool {
	if cl.earlyConfirm {
		return true
	}
	for v := range cl.lists {
		if !cl.ignoreVersion && p.Term.ListVersion() > cl.lists[v].Version {
			continue
		}
		// A view in which a list is in force does not show records of earlier terms.
		lacking := slices.ContainsFunc(cl.counted(v, p.Term.ListVersion()), func(l gypsumyard.InstanceList) bool {
			return !cl.majority(l, func(n *node) bool { return cl.holders[p][n.name] })
		})
		if !lacking {
			return true
		}
	}
	return false
}

// confirmLog confirms the records up to index i of the node's log: an owner also
// acknowledges a record of an earlier term that a later term includes.
func (cl *cluster) confirmLog(n *node, i int) {
	for j, r := range n.log[:i+1] {
		p := gypsumyard.Position{Term: r.term, Offset: gypsumyard.Offset(j + 1)}
		old, ok := cl.confirmed[p]
		if ok && old.record != r {
			cl.addViolation("two records confirmed at %v", p)
		}
		if !ok || n.log[i].term < old.by {
			cl.confirmed[p] = confirmation{r, n.log[i].term}
		}
	}
}

// check records a violation if the primary of a term lacks a record confirmed by
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
			if r.by <= n.term() && (int(p.Offset) > len(n.log) || n.log[p.Offset-1] != r.record) {
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

// instances returns the nodes that count for a host with version v of the list, and
// the option that has a promotion count them.
func (cl *cluster) instances(v, promoter int, direct bool) ([]gypsumyard.Instance, Option) {
	lists := cl.counted(v, gypsumyard.MaxListVersion)
	var out []gypsumyard.Instance
	for _, n := range cl.nodes {
		if slices.ContainsFunc(lists, func(l gypsumyard.InstanceList) bool {
			return slices.Contains(l.Instances, gypsumyard.Upstream{Name: n.name})
		}) {
			out = append(out, &client{cluster: cl, promoter: promoter, node: n, direct: direct})
		}
	}
	if cl.ignoreVersion {
		lists[0].Version = cl.lists[len(cl.lists)-1].Version
	}
	if cl.minority {
		return out[promoter%len(out):][:1], WithLists()
	}
	return out, WithLists(lists...)
}

// listed returns the nodes of the first list.
func (cl *cluster) listed() []gypsumyard.Instance {
	instances, _ := cl.instances(0, 0, true)
	return instances
}
