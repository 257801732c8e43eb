package peer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// maxObjectBytes is the size of the largest value that is sent. It leaves room for the
// other fields of its message.
const maxObjectBytes = maxMessageBytes - 64<<10

// maxCalls is the number of calls of one Gossip stream that run concurrently.
const maxCalls = 64

// A gossipServer is the server's side of a Gossip stream.
type gossipServer struct {
	service   *Service
	from      string
	stream    *stream
	ctx       context.Context
	cancel    context.CancelCauseFunc
	wait      sync.WaitGroup
	callSlots chan struct{}
}

func newGossipServer(s *Service, from string, st *stream) *gossipServer {
	g := &gossipServer{service: s, from: from, stream: st, callSlots: make(chan struct{}, maxCalls)}
	g.ctx, g.cancel = context.WithCancelCause(s.stopping)
	return g
}

func (g *gossipServer) close(cause error) {
	g.cancel(cause)
	g.wait.Wait()
}

func (g *gossipServer) handle(f *peerpb.Frame) error {
	switch b := f.Body.(type) {
	case *peerpb.Frame_Members:
		if b.Members.GetFrom() != g.from {
			return fmt.Errorf("%w: member message of %q", errMalformed, b.Members.GetFrom())
		}
		if r := g.service.deliver(b.Members); r != nil {
			g.stream.post(&peerpb.Frame{Body: &peerpb.Frame_Members{Members: r}})
		}
		return nil
	case *peerpb.Frame_Call:
		select {
		case g.callSlots <- struct{}{}:
		default:
			err := gypsumyard.Errorf(gypsumyard.ClassLoad, "too many calls at host %s", g.service.self.Name)
			g.stream.post(replyFrame(f.Id, &peerpb.Reply{Error: encodeError(err), Last: true}))
			return nil
		}
		g.wait.Go(func() {
			defer func() { <-g.callSlots }()
			g.serve(f.Id, b.Call)
		})
		return nil
	}
	return fmt.Errorf("%w: %T", errMalformed, f.Body)
}

// serve runs one call and sends its replies.
func (g *gossipServer) serve(id uint64, c *peerpb.Call) {
	objects, last := g.runCall(c)
	for _, o := range objects {
		if !g.reply(id, &peerpb.Reply{Object: o}) {
			return
		}
	}
	last.Last = true
	g.reply(id, last)
}

// runCall runs one call. It returns the objects of the answer and the last
// reply.
func (g *gossipServer) runCall(c *peerpb.Call) (objects []*peerpb.Object, last *peerpb.Reply) {
	last = &peerpb.Reply{}
	err := g.dispatchCall(c, &objects, last)
	last.Error = encodeError(err)
	return objects, last
}

// dispatchCall runs the call and adds its results to the objects and the last reply.
func (g *gossipServer) dispatchCall(c *peerpb.Call, objects *[]*peerpb.Object, last *peerpb.Reply) (err error) {
	defer g.service.recoverPanic(&err)
	switch b := c.GetBody().(type) {
	case *peerpb.Call_Object:
		err = g.applyObject(b.Object)
	case *peerpb.Call_Query:
		var u gypsumyard.ObjectUpdate
		u, err = g.newerObjects(b.Query)
		*objects = g.encodeObjects(u.Objects, b.Query.GetMaxValueBytes())
		last.CompleteEra, last.CompleteRevision = uint32(u.Complete.Era()), u.Complete.Revision()
		last.ValidForNs, last.EraAgeNs = int64(u.ValidFor), int64(u.EraAge)
		last.ProofAgeNs = encodeProofAge(u.ProofAge, u.Proven)
	case *peerpb.Call_Value:
		q := b.Value
		last.Part, err = g.service.held.part(valueID{q.GetName(), decodeVersion(q.GetEra(), q.GetRevision())}, q.GetOffset())
	case *peerpb.Call_Probe:
		last.Status, err = g.probe(b.Probe)
	case *peerpb.Call_Released:
		err = g.acceptRelease(b.Released)
	case *peerpb.Call_Assigned:
		err = g.assign(b.Assigned)
	case *peerpb.Call_Claim:
		last.Object, last.Outcome, err = g.relayClaim(b.Claim)
	case *peerpb.Call_Quota:
		last.Quota, err = g.giveQuota(b.Quota)
	case *peerpb.Call_Cancel:
		err = g.cancelSession(b.Cancel)
	default:
		err = gypsumyard.Errorf(gypsumyard.ClassNotSupported, "call %T", b)
	}
	return err
}

func (g *gossipServer) applyObject(o *peerpb.Object) error {
	lists, err := kernel.Lookup[gypsumyard.ObjectReplica](g.service.kernel, "lists")
	if err != nil {
		return err
	}
	lists.Apply([]gypsumyard.Object{decodeObject(o)})
	return nil
}

func (g *gossipServer) newerObjects(q *peerpb.ListQuery) (u gypsumyard.ObjectUpdate, err error) {
	lists, err := kernel.Lookup[gypsumyard.ObjectReplica](g.service.kernel, "lists")
	if err != nil {
		return u, err
	}
	u = lists.Newer(decodeVersion(q.GetAfterEra(), q.GetAfterRevision()))
	if q.GetMaxValueBytes() == 0 {
		u = withoutLarge(u)
	}
	return u, nil
}

// encodeObjects encodes the objects of an update. Values longer than most bytes are left
// out, and held for the host that asks, unless most is zero.
func (g *gossipServer) encodeObjects(list []gypsumyard.Object, most uint64) []*peerpb.Object {
	encoded := make([]*peerpb.Object, len(list))
	for n, o := range list {
		encoded[n] = encodeObject(o)
		if most > 0 && uint64(len(o.Value)) > most {
			encoded[n].Value, encoded[n].Size, encoded[n].Sum = nil, uint64(len(o.Value)), g.service.held.hold(o)
		}
	}
	return encoded
}

// withoutLarge removes the objects that do not fit a message, which would break the
// stream with the heartbeats on it: a desired state with very many customers. The update
// then proves nothing, so that the asking host reads the store itself. It is for hosts
// that cannot fetch values in parts.
func withoutLarge(u gypsumyard.ObjectUpdate) gypsumyard.ObjectUpdate {
	large := func(o gypsumyard.Object) bool { return len(o.Value) > maxObjectBytes }
	if slices.ContainsFunc(u.Objects, large) {
		u = gypsumyard.ObjectUpdate{Objects: slices.DeleteFunc(slices.Clone(u.Objects), large)}
	}
	return u
}

func (g *gossipServer) probe(p *peerpb.ProbeInstance) (*peerpb.InstanceStatus, error) {
	owner, err := g.service.owner()
	if err != nil {
		return nil, err
	}
	st, err := owner.ProbeInstance(g.ctx, p.GetDatabase(), p.GetInstance())
	return encodeStatus(st), err
}

// A sessionCanceler is the part of the service "caller" that peers use.
type sessionCanceler interface {
	Cancel(ctx context.Context, process, secret uint32) (known bool, err error)
}

func (g *gossipServer) cancelSession(c *peerpb.CancelSession) error {
	callers, err := kernel.Lookup[sessionCanceler](g.service.kernel, "caller")
	if err != nil {
		return err
	}
	_, err = callers.Cancel(g.ctx, c.GetProcess(), c.GetSecret())
	return err
}

func (g *gossipServer) acceptRelease(r *peerpb.Released) error {
	owner, err := g.service.owner()
	if err != nil {
		return err
	}
	owner.AcceptRelease(r.GetDatabase(), g.from)
	return nil
}

// An assigner is the part of the service "members" that peers use.
type assigner interface {
	Assign(a gypsumyard.Assignment)
}

func (g *gossipServer) assign(a *peerpb.Assigned) error {
	members, err := kernel.Lookup[assigner](g.service.kernel, "members")
	if err != nil {
		return err
	}
	members.Assign(gypsumyard.Assignment{Database: a.GetDatabase(), Host: a.GetHost(), Remaining: time.Duration(a.GetRemainingNs())})
	return nil
}

func (g *gossipServer) reply(id uint64, r *peerpb.Reply) bool {
	select {
	case g.stream.data <- queuedFrame{frame: replyFrame(id, r)}:
		return true
	case <-g.stream.done:
		return false
	}
}

func replyFrame(id uint64, r *peerpb.Reply) *peerpb.Frame {
	return &peerpb.Frame{Id: id, Body: &peerpb.Frame_Reply{Reply: r}}
}
