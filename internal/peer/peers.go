package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// maxCalls is how many calls of one peer run at a time.
const maxCalls = 64

// call sends a call to a host and returns the replies.
func (s *Service) call(ctx context.Context, to gypsumyard.Host, p *peerpb.Call) (replies []*peerpb.Reply, err error) {
	g, err := s.remote(to).connectGossip(ctx)
	if err != nil {
		return nil, err
	}
	id, c, err := g.begin(ctx, p)
	if err != nil {
		return nil, err
	}
	return g.await(ctx, id, c)
}

// PushObjects hands objects of the lists to a host.
func (s *Service) PushObjects(ctx context.Context, to gypsumyard.Host, objects []gypsumyard.Object) (err error) {
	defer annotate(&err, "push objects to", to)
	for _, o := range objects {
		p := &peerpb.Call{Body: &peerpb.Call_Object{Object: encodeObject(o)}}
		if _, err := s.call(ctx, to, p); err != nil {
			return err
		}
	}
	return nil
}

// FetchObjects returns the host's copies that are newer than after, and the
// version up to which its copies are complete.
func (s *Service) FetchObjects(ctx context.Context, from gypsumyard.Host, after gypsumyard.Version) (objects []gypsumyard.Object, complete gypsumyard.Version, err error) {
	defer annotate(&err, "fetch objects from", from)
	q := &peerpb.ListQuery{After: uint64(after)}
	replies, err := s.call(ctx, from, &peerpb.Call{Body: &peerpb.Call_Query{Query: q}})
	if err != nil {
		return nil, 0, err
	}
	for _, r := range replies {
		if r.Object != nil {
			objects = append(objects, decodeObject(r.Object))
		}
		complete = max(complete, gypsumyard.Version(r.Complete))
	}
	return objects, complete, nil
}

// ProbeInstance asks a host to read the status of an instance.
func (s *Service) ProbeInstance(ctx context.Context, via gypsumyard.Host, database, instance string) (st gypsumyard.InstanceStatus, err error) {
	defer annotate(&err, "probe instance through", via)
	p := &peerpb.ProbeInstance{Database: database, Instance: instance}
	replies, err := s.call(ctx, via, &peerpb.Call{Body: &peerpb.Call_Probe{Probe: p}})
	if err != nil {
		return gypsumyard.InstanceStatus{}, err
	}
	last := replies[len(replies)-1]
	if last.Status == nil {
		return gypsumyard.InstanceStatus{}, errMalformed
	}
	return decodeStatus(last.Status), nil
}

// ReleaseDatabase tells a host that this one has finished its work as owner.
func (s *Service) ReleaseDatabase(ctx context.Context, to gypsumyard.Host, database string) (err error) {
	defer annotate(&err, "release database to", to)
	p := &peerpb.Released{Database: database}
	_, err = s.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_Released{Released: p}})
	return err
}

// ForwardCancel hands a cancel key to the host that gave it to a caller.
func (s *Service) ForwardCancel(ctx context.Context, to gypsumyard.Host, process, secret uint32) (err error) {
	defer annotate(&err, "forward cancel key to", to)
	p := &peerpb.CancelSession{Process: process, Secret: secret}
	_, err = s.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_Cancel{Cancel: p}})
	return err
}

func annotate(err *error, doing string, host gypsumyard.Host) {
	if *err != nil {
		*err = fmt.Errorf("%s %s: %w", doing, host.Name, *err)
	}
}

// A gossipServer is the server's side of a Gossip stream.
type gossipServer struct {
	service *Service
	from    string
	stream  *stream
	ctx     context.Context
	cancel  context.CancelCauseFunc
	wait    sync.WaitGroup
	slots   chan struct{}
}

func newGossipServer(s *Service, from string, st *stream) *gossipServer {
	g := &gossipServer{service: s, from: from, stream: st, slots: make(chan struct{}, maxCalls)}
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
		case g.slots <- struct{}{}:
		default:
			err := gypsumyard.Errorf(gypsumyard.ClassLoad, "too many calls at host %s", g.service.self.Name)
			g.stream.post(replyFrame(f.Id, &peerpb.Reply{Error: encodeError(err), Last: true}))
			return nil
		}
		g.wait.Go(func() {
			defer func() { <-g.slots }()
			g.serve(f.Id, b.Call)
		})
		return nil
	}
	return fmt.Errorf("%w: %T", errMalformed, f.Body)
}

// serve runs one call and sends its replies.
func (g *gossipServer) serve(id uint64, c *peerpb.Call) {
	objects, last := g.perform(c)
	for _, o := range objects {
		if !g.reply(id, &peerpb.Reply{Object: encodeObject(o)}) {
			return
		}
	}
	last.Last = true
	g.reply(id, last)
}

// perform runs one call. It returns the objects of the answer and the last
// reply.
func (g *gossipServer) perform(c *peerpb.Call) (objects []gypsumyard.Object, last *peerpb.Reply) {
	last = &peerpb.Reply{}
	var err error
	switch b := c.GetBody().(type) {
	case *peerpb.Call_Object:
		err = g.applyObject(b.Object)
	case *peerpb.Call_Query:
		objects, last.Complete, err = g.newerObjects(b.Query)
	case *peerpb.Call_Probe:
		last.Status, err = g.probe(b.Probe)
	case *peerpb.Call_Released:
		err = g.acceptRelease(b.Released)
	case *peerpb.Call_Cancel:
		err = g.cancelSession(b.Cancel)
	default:
		err = gypsumyard.Errorf(gypsumyard.ClassNotSupported, "call %T", b)
	}
	last.Error = encodeError(err)
	return objects, last
}

func (g *gossipServer) applyObject(o *peerpb.Object) error {
	lists, err := kernel.Lookup[gypsumyard.ObjectReplica](g.service.kernel, "lists")
	if err != nil {
		return err
	}
	lists.Apply([]gypsumyard.Object{decodeObject(o)})
	return nil
}

func (g *gossipServer) newerObjects(q *peerpb.ListQuery) ([]gypsumyard.Object, uint64, error) {
	lists, err := kernel.Lookup[gypsumyard.ObjectReplica](g.service.kernel, "lists")
	if err != nil {
		return nil, 0, err
	}
	objects, complete := lists.Newer(gypsumyard.Version(q.GetAfter()))
	return objects, uint64(complete), nil
}

func (g *gossipServer) probe(p *peerpb.ProbeInstance) (*peerpb.InstanceStatus, error) {
	owner, err := g.service.owner()
	if err != nil {
		return nil, err
	}
	st, err := owner.ProbeInstance(g.ctx, p.GetDatabase(), p.GetInstance())
	return encodeStatus(st), err
}

// A sessionCanceler is the service "caller" as its peers use it.
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

func (g *gossipServer) reply(id uint64, r *peerpb.Reply) bool {
	select {
	case g.stream.data <- outgoing{frame: replyFrame(id, r)}:
		return true
	case <-g.stream.done:
		return false
	}
}

func replyFrame(id uint64, r *peerpb.Reply) *peerpb.Frame {
	return &peerpb.Frame{Id: id, Body: &peerpb.Frame_Reply{Reply: r}}
}
