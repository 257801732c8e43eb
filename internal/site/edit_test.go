package site_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
	"github.com/gypsumyard/gypsumyard/internal/platform"
	"github.com/gypsumyard/gypsumyard/internal/site"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// Guards against an edit of the instances that stays half done on real hosts:
// former instances remain in the store, or the owner does not serve, also after the
// primary has left the list and the owner was replaced.
func TestInstancesEdited(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	s, err := site.Start(ctx, site.Kimberley())
	is.NoErr(err)
	defer func() { _ = s.Close(context.Background()) }()
	store := platform.New(s.Environment.Store().Addr(), platform.WithRateLimit(1e6, 1e6))
	defer store.Close()
	editor := planlist.NewEditor(store, clock.System())
	g := s.Environment.Group("appraisal-field")
	read := func() (d gypsumyard.Database, version uint64) {
		e, err := editor.Get(ctx, planlist.Databases, "appraisal-field")
		is.NoErr(err)
		is.NoErr(json.Unmarshal(e.Value, &d))
		return d, e.Version
	}
	edit := func(instances ...gypsumyard.Upstream) {
		t.Helper()
		d, version := read()
		d.Instances = instances
		value, err := json.Marshal(d)
		is.NoErr(err)
		_, err = editor.Apply(ctx, planlist.Edit{Kind: planlist.Databases, Name: d.Name, Value: value, Expected: version})
		is.NoErr(err)
		start := time.Now()
		for len(d.Former) > 0 || d.ListVersion != version+1 {
			if time.Sleep(50 * time.Millisecond); time.Since(start) > 15*time.Second {
				t.Fatalf("former instances still count: %+v", d.Former)
			}
			d, _ = read()
		}
		t.Logf("version %d in force after %v", d.ListVersion, time.Since(start))
		is.Equal(g.Primary().Status().Applied.Term.ListVersion(), d.ListVersion)
	}
	connect := func() *pgx.Conn {
		c, err := pgx.Connect(ctx, s.URL(s.Hosts()[0], "valuer", "valuers", "appraisal-field"))
		is.NoErr(err)
		return c
	}
	all, _ := read()
	primary := g.Primary()
	var replicas []gypsumyard.Upstream
	for _, u := range all.Instances {
		if u.Name != primary.Name() {
			replicas = append(replicas, u)
		}
	}
	edit(replicas...)
	is.True(g.Primary() != primary)
	owner, ok := s.Hosts()[0].Members().Owner("appraisal-field")
	is.True(ok)
	is.NoErr(s.StopHost(ctx, owner.Name))
	edit(all.Instances...)
	g.Primary().Kill()
	c := connect()
	_, err = c.Exec(ctx, "INSERT INTO valuations (rug, kind) VALUES ('a', 'kilim')")
	is.NoErr(err)
	_ = c.Close(ctx)
}
