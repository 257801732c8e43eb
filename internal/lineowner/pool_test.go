package lineowner

import (
	"net"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
)

// newTestPool returns a pool with a limit of 4 connections and a function that adds one in
// use, which needs no instance.
func newTestPool(t *testing.T, customers ...string) (p *pool, add func(customer string) *conn) {
	log, _ := logtest.NewNullLogger()
	p = newPool(gypsumyard.ListedInstance{}, "host-1", clock.System(), log, newMetrics(tally.NoopScope))
	p.setLimits(4, 2)
	d := &gypsumyard.DesiredState{}
	setCustomers(d, unlimited(customers...))
	p.setCustomers(d)
	return p, func(customer string) *conn {
		c, mayDial, _, err := p.take(customer, nil)
		if c != nil || !mayDial || err != nil {
			t.Fatalf("no connection is opened for %q: %v", customer, err)
		}
		client, server := net.Pipe()
		t.Cleanup(func() { server.Close() })
		return &conn{net: client, customer: customer}
	}
}

// Guards against connections that a pool keeps for customers that are not in the desired
// state, such as when they come back after the customer was removed.
func TestConnectionOfUnknownCustomerIsNotKept(t *testing.T) {
	is := is.New(t)
	p, add := newTestPool(t, "known")
	known, unknown, anonymous := add("known"), add("unknown"), add("")
	for _, c := range []*conn{known, unknown, anonymous} {
		p.put(c)
	}
	is.Equal(len(p.idle), 2)
	is.Equal(p.idle["known"], []*conn{known})
	is.Equal(p.idle[""], []*conn{anonymous})
	is.Equal(p.share.OpenConnections(), 2)
}

// Guards against effects of the rules for customers in deployments without any: the order
// of reuse, the costs of reads, the limit of transactions and the wait for a connection.
func TestPoolWithoutCustomers(t *testing.T) {
	is := is.New(t)
	p, add := newTestPool(t)
	conns := []*conn{add(""), add(""), add(""), add("")}
	is.Equal(p.openCost(""), time.Duration(0))
	for range 4 {
		is.True(p.mayBegin(""))
		is.True(p.beginTransaction(""))
	}
	_, _, freed, err := p.take("", nil)
	is.NoErr(err)
	time.AfterFunc(time.Millisecond, func() { p.put(conns[0]) })
	reserved, err := p.awaitFree(t.Context(), "", freed)
	is.NoErr(err)
	is.True(reserved == nil)
	for _, c := range conns[1:] {
		p.put(c)
	}
	for n := range conns {
		c, _, _, err := p.take("", nil)
		is.NoErr(err)
		is.True(c == conns[len(conns)-1-n]) // the last used first
	}
	p.setLimits(3, 1)
	for _, c := range conns {
		p.put(c)
	}
	is.Equal(p.share.OpenConnections(), 3)
	is.Equal(p.idle[""], conns[1:])
}
