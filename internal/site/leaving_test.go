package site_test

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/site"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// leavingBound is the few seconds after which an instance that is leaving must
// get no new work.
const leavingBound = 5 * time.Second

// Guards against work for an instance that only the platform's list shows as
// leaving, replica or primary (I7), and against taking it for a host.
func TestListedInstanceLeaves(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	s, err := site.Start(ctx, site.Kimberley())
	is.NoErr(err)
	defer func() { _ = s.Close(context.Background()) }()
	conn, err := pgx.Connect(ctx, s.URL(s.Hosts()[0], "valuer", "valuers", "appraisal-field"))
	is.NoErr(err)
	defer conn.Close(context.Background())
	g := s.Environment.Group("appraisal-field")
	read := func() {
		if _, err := conn.Exec(ctx, "SELECT rug FROM valuations"); err != nil {
			t.Error(err)
		}
	}
	for _, in := range []*group.Instance{g.Instance("appraisal-field-2"), g.Primary()} {
		u := in.Upstream()
		is.NoErr(s.Environment.Store().SetHost(gypsumyard.Host{
			Name: u.Name, Addr: u.Addr, Region: "pilbara", FailureDomain: u.FailureDomain, State: gypsumyard.HostLeaving,
		}))
		for end := time.Now().Add(leavingBound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			read()
		}
		before := in.Counters()["select"]
		for range 100 {
			read()
		}
		is.Equal(in.Counters()["select"], before)
	}
	is.True(g.Primary() != nil && g.Primary().Name() == "appraisal-field-3")
	is.Equal(len(s.Hosts()[0].Members().Hosts()), 3)
}
