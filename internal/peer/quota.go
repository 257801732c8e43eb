package peer

import (
	"context"
	"fmt"
	"math"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// maxQuotaCustomers is the largest number of customers in a request for quota tokens or
// its answer.
const maxQuotaCustomers = 1024

// A quotaGiver is the part of the service "owner" that gives quota tokens to the owners of
// other databases.
type quotaGiver interface {
	GiveQuota(q gypsumyard.QuotaRequest) ([]gypsumyard.QuotaTokens, error)
}

// RequestQuota asks a host for quota tokens that it does not need as the owner of a
// database. Hosts without quotas answer with ClassNotSupported.
func (s *Service) RequestQuota(ctx context.Context, from gypsumyard.Host, q gypsumyard.QuotaRequest) (granted []gypsumyard.QuotaTokens, err error) {
	defer annotate(&err, "request quota of", from)
	p := &peerpb.QuotaRequest{Database: q.Database, AskingDatabase: q.AskingDatabase, Wanted: encodeQuota(q.Wanted)}
	replies, err := s.call(ctx, from, &peerpb.Call{Body: &peerpb.Call_Quota{Quota: p}})
	if err != nil {
		return nil, err
	}
	return decodeQuota(replies[len(replies)-1].Quota)
}

func (g *gossipServer) giveQuota(p *peerpb.QuotaRequest) ([]*peerpb.QuotaTokens, error) {
	wanted, err := decodeQuota(p.GetWanted())
	if err != nil {
		return nil, gypsumyard.Errorf(gypsumyard.ClassProtocol, "request for quota: %w", err)
	}
	giver, err := kernel.Lookup[quotaGiver](g.service.kernel, "owner")
	if err != nil {
		return nil, gypsumyard.Errorf(gypsumyard.ClassNotSupported, "request for quota: %w", err)
	}
	granted, err := giver.GiveQuota(gypsumyard.QuotaRequest{Database: p.GetDatabase(), AskingDatabase: p.GetAskingDatabase(), Wanted: wanted})
	return encodeQuota(granted), err
}

func encodeQuota(list []gypsumyard.QuotaTokens) (out []*peerpb.QuotaTokens) {
	for _, t := range list {
		out = append(out, &peerpb.QuotaTokens{Customer: t.Customer, Tokens: t.Tokens})
	}
	return out
}

func decodeQuota(list []*peerpb.QuotaTokens) (out []gypsumyard.QuotaTokens, err error) {
	if len(list) > maxQuotaCustomers {
		return nil, fmt.Errorf("%w: tokens of %d customers", errMalformed, len(list))
	}
	for _, t := range list {
		n := t.GetTokens()
		if len(t.GetCustomer()) > maxNameBytes || n < 0 || math.IsNaN(n) || math.IsInf(n, 0) {
			return nil, fmt.Errorf("%w: %v tokens of a customer with a name of %d bytes", errMalformed, n, len(t.GetCustomer()))
		}
		out = append(out, gypsumyard.QuotaTokens{Customer: t.GetCustomer(), Tokens: n})
	}
	return out, nil
}
