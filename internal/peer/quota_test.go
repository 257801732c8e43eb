package peer

import (
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// quotaOwner is an owner that gives a script's tokens.
type quotaOwner struct {
	*fakeOwner
	requests []gypsumyard.QuotaRequest
	granted  []gypsumyard.QuotaTokens
	err      error
}

func (o *quotaOwner) GiveQuota(q gypsumyard.QuotaRequest) ([]gypsumyard.QuotaTokens, error) {
	o.requests = append(o.requests, q)
	return o.granted, o.err
}

// Guards against requests for quota that lose fields or errors on the way, and against
// malformed numbers that reach a bucket on either side.
func TestRequestQuota(t *testing.T) {
	is := is.New(t)
	o := &quotaOwner{fakeOwner: newFakeOwner(nil), granted: []gypsumyard.QuotaTokens{{Customer: "x", Tokens: 1.5}, {Customer: "y", Tokens: 2}}}
	_, b := startHost(t, "b", o)
	a, self := startHost(t, "a")
	q := gypsumyard.QuotaRequest{
		Database: "ledger", AskingDatabase: "archive", Wanted: []gypsumyard.QuotaTokens{{Customer: "x", Tokens: 4}, {Customer: "y", Tokens: 2.5}},
	}
	got, err := a.RequestQuota(t.Context(), b, q)
	is.NoErr(err)
	is.Equal(got, o.granted)
	is.Equal(o.requests, []gypsumyard.QuotaRequest{q})

	o.err = gypsumyard.Errorf(gypsumyard.ClassNotOwner, "not the owner")
	_, err = a.RequestQuota(t.Context(), b, q)
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotOwner)
	o.err = nil
	_, err = a.RequestQuota(t.Context(), self, q) // Host a has no owner.
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotSupported)

	o.granted = []gypsumyard.QuotaTokens{{Customer: "x", Tokens: math.NaN()}}
	_, err = a.RequestQuota(t.Context(), b, q)
	is.True(errors.Is(err, errMalformed))
	asked := len(o.requests)
	for _, wanted := range [][]gypsumyard.QuotaTokens{
		{{Customer: "x", Tokens: -1}},
		{{Customer: "x", Tokens: math.Inf(1)}},
		{{Customer: strings.Repeat("x", maxNameBytes+1), Tokens: 1}},
		make([]gypsumyard.QuotaTokens, maxQuotaCustomers+1),
	} {
		_, err = a.RequestQuota(t.Context(), b, gypsumyard.QuotaRequest{Database: "ledger", Wanted: wanted})
		is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassProtocol)
	}
	is.Equal(len(o.requests), asked)
}

// Guards against a request for quota that breaks the stream to a host which does not know
// it: such a host must read a call without a body, which it answers with not-supported.
func TestQuotaRequestAtOlderHost(t *testing.T) {
	is := is.New(t)
	sent, err := proto.Marshal(&peerpb.Call{Body: &peerpb.Call_Quota{Quota: &peerpb.QuotaRequest{Database: "ledger"}}})
	is.NoErr(err)
	const bodyField = 8<<3 | 2 // The tag of field 8, which older hosts skip.
	is.Equal(sent[0], byte(bodyField))
	s, _ := startHost(t, "b")
	g := newGossipServer(s, "a", nil)
	_, last := g.runCall(&peerpb.Call{})
	is.Equal(gypsumyard.ClassOf(decodeError(last.Error)), gypsumyard.ClassNotSupported)
}
