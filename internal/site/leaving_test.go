package site_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/site"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// leavingTimeout is the time after which an instance that is leaving must not
// receive new statements: a few seconds.
const leavingTimeout = 5 * time.Second

// readLoad reads on several sessions concurrently, so that all replicas receive
// reads.
type readLoad struct {
	t     *testing.T
	ctx   context.Context
	conns []*pgx.Conn
}

func newReadLoad(t *testing.T, ctx context.Context, s *site.Site) *readLoad {
	const sessions = 8
	r := &readLoad{t: t, ctx: ctx}
	for range sessions {
		c, err := pgx.Connect(ctx, s.URL(s.Hosts()[0], "valuer", "valuers", "appraisal-field"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close(context.Background()) })
		r.conns = append(r.conns, c)
	}
	return r
}

// read sends n reads on each session. Their parameters differ, so that no read
// is answered with the result of another.
func (r *readLoad) read(n int) {
	var sessions sync.WaitGroup
	for i, c := range r.conns {
		sessions.Go(func() {
			for j := range n {
				if _, err := c.Exec(r.ctx, "SELECT rug FROM valuations WHERE rug = $1", fmt.Sprint(i, j)); err != nil {
					r.t.Error(err)
				}
			}
		})
	}
	sessions.Wait()
}

// Guards against new statements for an instance, replica or primary, whose
// leaving state appears only in the platform's host list (I7), and against
// treating that list entry as a host.
func TestListedInstanceLeaves(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	s, err := site.Start(ctx, site.Kimberley())
	is.NoErr(err)
	defer func() { _ = s.Close(context.Background()) }()
	g := s.Environment.Group("appraisal-field")
	load := newReadLoad(t, ctx, s)
	load.read(20)
	// Start with the replica that has served more reads.
	leaving, staying := g.Instance("appraisal-field-2"), g.Instance("appraisal-field-3")
	if leaving.Counters()["select"] < staying.Counters()["select"] {
		leaving, staying = staying, leaving
	}
	is.True(leaving.Counters()["select"] > 0)
	for _, in := range []*group.Instance{leaving, g.Primary()} {
		u := in.Upstream()
		is.NoErr(s.Environment.Store().SetHost(gypsumyard.Host{
			Name: u.Name, Addr: u.Addr, Region: "pilbara", FailureDomain: u.FailureDomain, State: gypsumyard.HostLeaving,
		}))
		for end := time.Now().Add(leavingTimeout); time.Now().Before(end); {
			load.read(5)
		}
		before := in.Counters()["select"]
		load.read(20)
		is.Equal(in.Counters()["select"], before)
	}
	is.True(g.Primary() == staying)
	is.Equal(len(s.Hosts()[0].Members().Hosts()), 3)
}
