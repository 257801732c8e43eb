package peer

import (
	"context"
	"errors"
	"fmt"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// A claimRelay is the part of the service "owner" that makes calls to the store for
// other hosts.
type claimRelay interface {
	CallClaim(ctx context.Context, c gypsumyard.ClaimCall) (gypsumyard.Object, error)
}

// outcomes maps the errors of the store to their form on the wire.
var outcomes = map[peerpb.StoreOutcome]error{
	peerpb.StoreOutcome_NOT_FOUND:       gypsumyard.ErrNotFound,
	peerpb.StoreOutcome_CONFLICT:        gypsumyard.ErrConflict,
	peerpb.StoreOutcome_UNAVAILABLE:     gypsumyard.ErrUnavailable,
	peerpb.StoreOutcome_OUTCOME_UNKNOWN: gypsumyard.ErrOutcomeUnknown,
}

// outcomeOf returns the outcome for an error of the store. One that is not known
// proves nothing.
func outcomeOf(err error) peerpb.StoreOutcome {
	if err == nil {
		return peerpb.StoreOutcome_DONE
	}
	for o, e := range outcomes {
		if errors.Is(err, e) {
			return o
		}
	}
	return peerpb.StoreOutcome_OUTCOME_UNKNOWN
}

// RelayClaim makes a call to the store for a claim through a host. A write whose
// answer is lost on the way may have taken effect.
func (s *Service) RelayClaim(ctx context.Context, via gypsumyard.Host, c gypsumyard.ClaimCall) (o gypsumyard.Object, err error) {
	defer annotate(&err, "call the store through", via)
	p := &peerpb.ClaimCall{Database: c.Database, Value: c.Value, ExpectedRevision: c.Expected.Revision(), ExpectedEra: uint32(c.Expected.Era())}
	replies, err := s.call(ctx, via, &peerpb.Call{Body: &peerpb.Call_Claim{Claim: p}})
	if err != nil {
		lost := gypsumyard.ErrUnavailable
		if c.Value != nil {
			lost = gypsumyard.ErrOutcomeUnknown
		}
		return o, fmt.Errorf("%w: %w", lost, err)
	}
	last := replies[len(replies)-1]
	if last.Object != nil {
		o = decodeObject(last.Object)
	}
	if last.Outcome == peerpb.StoreOutcome_DONE {
		return o, nil
	}
	if err, ok := outcomes[last.Outcome]; ok {
		return o, err
	}
	return o, gypsumyard.ErrOutcomeUnknown
}

func (g *gossipServer) relayClaim(p *peerpb.ClaimCall) (*peerpb.Object, peerpb.StoreOutcome, error) {
	relay, err := kernel.Lookup[claimRelay](g.service.kernel, "owner")
	if err != nil {
		return nil, peerpb.StoreOutcome_UNAVAILABLE, err
	}
	o, err := relay.CallClaim(g.ctx, gypsumyard.ClaimCall{
		Database: p.GetDatabase(), Value: p.GetValue(), Expected: decodeVersion(p.GetExpectedEra(), p.GetExpectedRevision()),
	})
	return encodeObject(o), outcomeOf(err), nil
}
