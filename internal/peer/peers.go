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

// FetchObjects returns the objects of which the host has newer versions.
func (s *Service) FetchObjects(ctx context.Context, from gypsumyard.Host, have map[string]gypsumyard.Version) (objects []gypsumyard.Object, err error) {
	defer annotate(&err, "fetch objects from", from)
	q := &peerpb.ListQuery{Have: map[string]uint64{}}
	for name, v := range have {
		q.Have[name] = uint64(v)
	}
	replies, err := s.call(ctx, from, &peerpb.Call{Body: &peerpb.Call_Query{Query: q}})
	if err != nil {
		return nil, err
	}
	for _, r := range replies {
		if r.Object != nil {
			objects = append(objects, decodeObject(r.Object))
		}
	}
	return objects, nil
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
	objects, status, err := g.perform(c)
	for _, o := range objects {
		if !g.reply(id, &peerpb.Reply{Object: encodeObject(o)}) {
			return
		}
	}
	g.reply(id, &peerpb.Reply{Status: status, Error: encodeError(err), Last: true})
}

func (g *gossipServer) perform(c *peerpb.Call) (objects []gypsumyard.Object, status *peerpb.InstanceStatus, err error) {
	k := g.service.kernel
	switch b := c.GetBody().(type) {
	case *peerpb.Call_Object:
		lists, err := kernel.Lookup[gypsumyard.ObjectReplica](k, "lists")
		if err == nil {
			lists.Apply([]gypsumyard.Object{decodeObject(b.Object)})
		}
		return nil, nil, err
	case *peerpb.Call_Query:
		lists, err := kernel.Lookup[gypsumyard.ObjectReplica](k, "lists")
		if err != nil {
			return nil, nil, err
		}
		return lists.Newer(decodeVersions(b.Query)), nil, nil
	case *peerpb.Call_Probe:
		owner, err := kernel.Lookup[gypsumyard.Owner](k, "owner")
		if err != nil {
			return nil, nil, err
		}
		st, err := owner.ProbeInstance(g.ctx, b.Probe.GetDatabase(), b.Probe.GetInstance())
		return nil, encodeStatus(st), err
	case *peerpb.Call_Released:
		owner, err := kernel.Lookup[gypsumyard.Owner](k, "owner")
		if err == nil {
			owner.AcceptRelease(b.Released.GetDatabase(), g.from)
		}
		return nil, nil, err
	}
	return nil, nil, gypsumyard.Errorf(gypsumyard.ClassNotSupported, "call %T", c.GetBody())
}

func decodeVersions(q *peerpb.ListQuery) map[string]gypsumyard.Version {
	have := make(map[string]gypsumyard.Version, len(q.GetHave()))
	for name, v := range q.GetHave() {
		have[name] = gypsumyard.Version(v)
	}
	return have
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
