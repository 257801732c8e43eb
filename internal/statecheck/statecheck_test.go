package statecheck

import (
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

const minConnections = 8

func at(p Place) string { return fmt.Sprintf("%d/%s/%d", p.Entity, p.Name, p.Field) }

// state returns a state without findings: a closed primary route and an open bounded one.
func state() *gypsumyard.DesiredState {
	return &gypsumyard.DesiredState{
		Number: 7,
		Routes: map[string]gypsumyard.Route{
			"main":  {Database: "main", Group: "g", Consistency: gypsumyard.ConsistencyPrimary, StatementTimeout: time.Second, Objective: time.Second},
			"reads": {Database: "reads", Group: "g", Consistency: gypsumyard.ConsistencyBounded, MaxStaleness: time.Second, Objective: time.Second, Open: true},
		},
		Groups:    map[string]gypsumyard.Group{"g": {Name: "g", Connections: minConnections}},
		Keyed:     true,
		Customers: map[string]gypsumyard.CallerCustomer{"x": {Name: "x", Rate: 2, Burst: 1}, "y": {Name: "y"}},
		Keys:      map[gypsumyard.KeyHash]string{gypsumyard.HashKey("k1"): "x", gypsumyard.HashKey("k2"): "y"},
	}
}

func edit[T any](m map[string]T, name string, change func(*T)) {
	v := m[name]
	change(&v)
	m[name] = v
}

// Guards against faults that are not found, and against findings for states at the very
// limit of what is sound.
func TestCheck(t *testing.T) {
	place := func(e Entity, name string, f Field) string { return at(Place{e, name, f}) }
	for _, c := range []struct {
		name   string
		change func(*gypsumyard.DesiredState)
		want   map[string]Kind
	}{
		{"sound", func(*gypsumyard.DesiredState) {}, nil},
		{"without customers", func(d *gypsumyard.DesiredState) { d.Keyed, d.Customers, d.Keys = false, nil, nil }, nil},
		{"empty", func(d *gypsumyard.DesiredState) { *d = gypsumyard.DesiredState{Keyed: true} }, nil},
		{"missing group", func(d *gypsumyard.DesiredState) {
			edit(d.Routes, "main", func(r *gypsumyard.Route) { r.Group = "h" })
		}, map[string]Kind{place(EntityRoute, "main", FieldGroup): KindMissingGroup}},
		{"unused group", func(d *gypsumyard.DesiredState) { d.Groups["h"] = gypsumyard.Group{Name: "h", Connections: 60} },
			map[string]Kind{place(EntityGroup, "h", FieldNone): KindUnusedGroup}},
		{"few connections", func(d *gypsumyard.DesiredState) {
			edit(d.Groups, "g", func(g *gypsumyard.Group) { g.Connections-- })
		}, map[string]Kind{place(EntityGroup, "g", FieldConnections): KindFewConnections}},
		{"short timeout", func(d *gypsumyard.DesiredState) {
			edit(d.Routes, "main", func(r *gypsumyard.Route) { r.StatementTimeout-- })
		}, map[string]Kind{place(EntityRoute, "main", FieldStatementTimeout): KindShortTimeout}},
		{"staleness on a primary route", func(d *gypsumyard.DesiredState) {
			edit(d.Routes, "main", func(r *gypsumyard.Route) { r.MaxStaleness = 1 })
		}, map[string]Kind{place(EntityRoute, "main", FieldMaxStaleness): KindUnusedStaleness}},
		{"bounded route without staleness", func(d *gypsumyard.DesiredState) {
			edit(d.Routes, "reads", func(r *gypsumyard.Route) { r.MaxStaleness = 0 })
		}, map[string]Kind{place(EntityRoute, "reads", FieldMaxStaleness): KindNoStaleness}},
		{"session route without staleness", func(d *gypsumyard.DesiredState) {
			edit(d.Routes, "reads", func(r *gypsumyard.Route) { r.MaxStaleness, r.Consistency = 0, gypsumyard.ConsistencySession })
		}, nil},
		{"small burst", func(d *gypsumyard.DesiredState) {
			edit(d.Customers, "x", func(c *gypsumyard.CallerCustomer) { c.Burst = 0.9 })
		}, map[string]Kind{place(EntityCustomer, "x", FieldBurst): KindSmallBurst}},
		{"customer without keys", func(d *gypsumyard.DesiredState) { delete(d.Keys, gypsumyard.HashKey("k2")) },
			map[string]Kind{place(EntityCustomer, "y", FieldKeys): KindCustomerNoKeys}},
		{"no customers on a closed route", func(d *gypsumyard.DesiredState) { clear(d.Keys); clear(d.Customers) },
			map[string]Kind{place(EntityRoute, "main", FieldOpen): KindRouteUnreachable}},
		{"all routes open", func(d *gypsumyard.DesiredState) {
			edit(d.Routes, "main", func(r *gypsumyard.Route) { r.Open = true })
		}, map[string]Kind{place(EntityState, "", FieldCustomers): KindKeysNotRequired}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := state()
			c.change(d)
			got := map[string]Kind{}
			for _, f := range Check(d, minConnections, at) {
				got[f.Path] = f.Kind
			}
			is.New(t).True(maps.Equal(got, c.want))
		})
	}
}

// Guards against a key that moves between customers unseen, and against keys that are shown
// by more than the beginning of their hash.
func TestCompareKeys(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Compare(state(), state())), 0)
	to := state()
	to.Keys[gypsumyard.HashKey("k1")] = "y"
	h := gypsumyard.HashKey("k1")
	prefix := KeyPrefix(fmt.Sprintf("%x", h[:4]))
	is.Equal(Compare(state(), to), []Change{
		{Place{EntityCustomer, "x", FieldKeys}, prefix, nil},
		{Place{EntityCustomer, "y", FieldKeys}, nil, prefix},
	})
	is.Equal(len(CheckNumber(state(), to, at)), 1)
	to.Number++
	is.Equal(len(CheckNumber(state(), to, at)), 0)
}

// Guards against fields that are not compared, and against added entries whose values are
// not shown.
func TestCompareEntries(t *testing.T) {
	is := is.New(t)
	to := state()
	delete(to.Routes, "main")
	to.Groups["h"] = gypsumyard.Group{Name: "h", Connections: 9}
	edit(to.Customers, "x", func(c *gypsumyard.CallerCustomer) { c.Rate = 0 })
	is.Equal(Compare(state(), to), []Change{
		{Place{EntityRoute, "main", FieldNone}, Present, nil},
		{Place{EntityGroup, "h", FieldNone}, nil, Present},
		{Place{EntityGroup, "h", FieldConnections}, nil, 9},
		{Place{EntityCustomer, "x", FieldRate}, 2.0, 0.0},
	})
	// Each type lists its name and the fields that are compared.
	is.Equal(len(routeFields(gypsumyard.Route{}))+1, reflect.TypeFor[gypsumyard.Route]().NumField())
	is.Equal(len(groupFields(gypsumyard.Group{}))+1, reflect.TypeFor[gypsumyard.Group]().NumField())
	is.Equal(len(customerFields(gypsumyard.CallerCustomer{}))+1, reflect.TypeFor[gypsumyard.CallerCustomer]().NumField())
}
