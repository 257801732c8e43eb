package site

import (
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A Deployment describes the external systems and the lists of a site.
type Deployment struct {
	Name           string
	Region         string
	FailureDomains []string
	Databases      []DatabaseSpec
	Plans          []gypsumyard.Plan
	Customers      []CustomerSpec
	// RoundTrip is the emulated network round trip to an instance.
	RoundTrip time.Duration
	// ReplicationLag and ReplicationJitter determine the delay until a replica
	// applies a log record.
	ReplicationLag    time.Duration
	ReplicationJitter time.Duration
	OpenDelay         time.Duration
}

// A DatabaseSpec describes one database group.
type DatabaseSpec struct {
	Name        string
	Instances   int
	Slots       int
	Connections int
	// StatementCost is how long a statement occupies its slot.
	StatementCost time.Duration
	Schema        []string
}

// A CustomerSpec describes a customer. The password of each login is the login's
// name.
type CustomerSpec struct {
	Name   string
	Plan   string
	Logins []LoginSpec
}

// A LoginSpec describes a login.
type LoginSpec struct {
	Name         string
	MaxStaleness time.Duration
}

func plan(name string, share, limit float64, priority bool) gypsumyard.Plan {
	return gypsumyard.Plan{
		Name:        name,
		Share:       share,
		Limit:       limit,
		Priority:    priority,
		MaxWait:     gypsumyard.Duration(2 * time.Second),
		MaxQueue:    500,
		MaxSessions: 400,
	}
}

// Kimberley returns the deployment of the rug appraisers. Its workload consists
// mostly of look-ups, with few writes and long-running certificate batches.
func Kimberley() Deployment {
	schema := []string{
		"CREATE TABLE IF NOT EXISTS valuations (rug text PRIMARY KEY, kind text, knots_per_dm2 int4, dye_note text, provenance text, value_cents int8)",
		"CREATE TABLE IF NOT EXISTS saves (tag text, session text, sequence int8, rug text, value_cents int8)",
	}
	d := Deployment{
		Name:           "kimberley",
		Region:         "pilbara",
		FailureDomains: []string{"pilbara-a", "pilbara-b", "pilbara-c", "pilbara-d"},
		Plans: []gypsumyard.Plan{
			plan("field", 0.4, 0.9, true),
			plan("claims", 0.3, 0.8, false),
			plan("probate", 0.1, 0.4, false),
		},
		Customers: []CustomerSpec{
			{"valuers", "field", []LoginSpec{{Name: "valuer"}}},
			{"insurers", "claims", []LoginSpec{{Name: "claims"}}},
			{"estate-lawyers", "probate", []LoginSpec{{Name: "probate"}, {"batch", 10 * time.Second}}},
		},
		RoundTrip:         2 * time.Millisecond,
		ReplicationLag:    3 * time.Millisecond,
		ReplicationJitter: 5 * time.Millisecond,
		OpenDelay:         10 * time.Millisecond,
	}
	for _, name := range []string{"appraisal-field", "appraisal-archive", "certificates"} {
		d.Databases = append(d.Databases, DatabaseSpec{
			Name: name, Instances: 3, Slots: 5, Connections: 35, StatementCost: 2 * time.Millisecond, Schema: schema,
		})
	}
	return d
}

// Svellfraedi returns the deployment of the rink scheduler. Its load changes
// within seconds, flood orders have priority, and log exports run long.
func Svellfraedi() Deployment {
	schema := []string{
		"CREATE TABLE IF NOT EXISTS flood_orders (id int8 PRIMARY KEY, rink text, sheet int4, litres int4)",
		"CREATE TABLE IF NOT EXISTS readings (rink text, sheet int4, minute int4, ice_temperature_mc int4, pebble_um int4)",
		"CREATE TABLE IF NOT EXISTS saves (tag text, session text, sequence int8, rug text, value_cents int8)",
	}
	d := Deployment{
		Name:           "svellfraedi",
		Region:         "sudurland",
		FailureDomains: []string{"sudurland-a", "sudurland-b", "sudurland-c", "sudurland-d"},
		Plans: []gypsumyard.Plan{
			plan("operations", 0.3, 0.6, true),
			plan("club", 0.5, 0.9, false),
			plan("research", 0.1, 0.4, false),
		},
		Customers: []CustomerSpec{
			{"rinks", "operations", []LoginSpec{{Name: "scheduler"}}},
			{"clubs", "club", []LoginSpec{{Name: "reader"}}},
			{"university", "research", []LoginSpec{{"researcher", 30 * time.Second}}},
		},
		RoundTrip:         time.Millisecond,
		ReplicationLag:    3 * time.Millisecond,
		ReplicationJitter: 5 * time.Millisecond,
		OpenDelay:         10 * time.Millisecond,
	}
	for _, name := range []string{"scheduling", "readings", "temperature-logs"} {
		d.Databases = append(d.Databases, DatabaseSpec{
			Name: name, Instances: 3, Slots: 2, Connections: 30, StatementCost: 2 * time.Millisecond, Schema: schema,
		})
	}
	return d
}

// ByName returns the predefined deployment with the name.
func ByName(name string) (Deployment, error) {
	for _, d := range []Deployment{Kimberley(), Svellfraedi()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, fmt.Errorf("deployment %q is none of kimberley, svellfraedi", name)
}
