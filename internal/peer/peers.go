package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// queryTimeout bounds each wait of a query: for the connection, and for the next reply.
// The whole query has no bound, since the objects may be many.
const queryTimeout = 500 * time.Millisecond

// call sends a call to a host over Gossip and returns the replies.
func (s *Service) call(ctx context.Context, to gypsumyard.Host, p *peerpb.Call) (replies []*peerpb.Reply, err error) {
	g, id, c, err := s.startCall(ctx, to, p)
	if err != nil {
		return nil, err
	}
	return g.awaitReplies(ctx, id, c, nil)
}

// query is call with queryTimeout.
func (s *Service) query(ctx context.Context, to gypsumyard.Host, q *peerpb.ListQuery) (replies []*peerpb.Reply, err error) {
	startCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	g, id, c, err := s.startCall(startCtx, to, &peerpb.Call{Body: &peerpb.Call_Query{Query: q}})
	if err != nil {
		return nil, err
	}
	t := s.clock.NewTimer(queryTimeout)
	defer t.Stop()
	return g.awaitReplies(ctx, id, c, t)
}

func (s *Service) startCall(ctx context.Context, to gypsumyard.Host, p *peerpb.Call) (g *gossipClient, id uint64, c *gossipCall, err error) {
	g, err = s.remote(to).connectGossip(ctx)
	if err != nil {
		return nil, 0, nil, err
	}
	id, c, err = g.startCall(ctx, p)
	return g, id, c, err
}

// PushObjects sends objects of the lists to a host.
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

// FetchObjects returns what the host's copies add to copies that are complete up to
// after. It has no bound of its own while the answer arrives. Parts of large values that
// have arrived when it fails are not fetched again.
func (s *Service) FetchObjects(ctx context.Context, from gypsumyard.Host, after gypsumyard.Version) (u gypsumyard.ObjectUpdate, err error) {
	defer annotate(&err, "fetch objects from", from)
	q := &peerpb.ListQuery{AfterRevision: after.Revision(), AfterEra: uint32(after.Era()), MaxValueBytes: partBytes}
	replies, err := s.query(ctx, from, q)
	if err != nil {
		return u, err
	}
	if u.Objects, err = s.receiveObjects(ctx, from, replies); err != nil {
		return u, err
	}
	last := replies[len(replies)-1]
	u.Complete = decodeVersion(last.CompleteEra, last.CompleteRevision)
	u.ValidFor, u.EraAge = max(time.Duration(last.ValidForNs), 0), max(time.Duration(last.EraAgeNs), 0)
	u.ProofAge, u.Proven = decodeProofAge(last.ProofAgeNs)
	return u, nil
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

// AssignDatabase tells a host which host owns a database for a limited time.
func (s *Service) AssignDatabase(ctx context.Context, to gypsumyard.Host, a gypsumyard.Assignment) (err error) {
	defer annotate(&err, "assign database at", to)
	p := &peerpb.Assigned{Database: a.Database, Host: a.Host, RemainingNs: int64(a.Remaining)}
	_, err = s.call(ctx, to, &peerpb.Call{Body: &peerpb.Call_Assigned{Assigned: p}})
	return err
}

// ForwardCancel sends a cancel key to the host that issued it.
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
