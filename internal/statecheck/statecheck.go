package statecheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/gypsumyard/gypsumyard"
)

// A Severity tells whether an entry cannot work or has an unintended effect.
type Severity string

const (
	// Error: the state would be rejected, or an entry can never work.
	Error Severity = "error"
	// Warning: the state works, but perhaps not as intended.
	Warning Severity = "warning"
)

// A Kind is the kind of a finding.
type Kind string

// The kinds of findings. Those up to KindRepeatedField are found where the state is decoded.
const (
	KindRejected         Kind = "rejected"
	KindDuplicateRoute   Kind = "duplicate-route"
	KindDuplicateGroup   Kind = "duplicate-group"
	KindRepeatedKey      Kind = "repeated-key"
	KindUnknownField     Kind = "unknown-field"
	KindRepeatedField    Kind = "repeated-field"
	KindMissingGroup     Kind = "missing-group"
	KindUnusedGroup      Kind = "unused-group"
	KindCustomerNoKeys   Kind = "customer-without-keys"
	KindKeysNotRequired  Kind = "keys-not-required"
	KindRouteUnreachable Kind = "route-without-callers"
	KindSmallBurst       Kind = "small-burst"
	KindShortTimeout     Kind = "short-timeout"
	KindUnusedStaleness  Kind = "unused-staleness"
	KindNoStaleness      Kind = "no-staleness"
	KindFewConnections   Kind = "few-connections"
	KindVersion          Kind = "version-not-higher"
	KindAgainstRejected  Kind = "against-rejected"
)

// A Finding is one complaint about a desired state.
type Finding struct {
	Kind     Kind     `json:"kind"`
	Severity Severity `json:"severity"`
	// Path is the place in the text of the state. It is empty if the finding concerns the
	// whole state.
	Path string `json:"path"`
	Text string `json:"text"`
}

// An Entity is a kind of entry in the desired state.
type Entity int

// The entities. A field of EntityState belongs to the state itself.
const (
	EntityState Entity = iota
	EntityRoute
	EntityGroup
	EntityCustomer
)

// A Field is a field of an entity, or FieldNone for the entity as a whole.
type Field int

// The fields of all entities.
const (
	FieldNone Field = iota
	FieldNumber
	FieldTransactionIdle
	FieldCustomers
	FieldGroup
	FieldConsistency
	FieldMaxStaleness
	FieldStatementTimeout
	FieldObjective
	FieldPriority
	FieldOpen
	FieldConnections
	FieldSyncReplicas
	FieldRate
	FieldBurst
	FieldKeys
)

// A Place names a field of an entry.
type Place struct {
	Entity Entity
	// Name is the name of the entry, and empty for EntityState.
	Name  string
	Field Field
}

// A Locator returns the path of a place in the text of a desired state.
type Locator func(Place) string

type checker struct {
	*gypsumyard.DesiredState
	at       Locator
	findings []Finding
}

func (c *checker) add(k Kind, s Severity, p Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Kind: k, Severity: s, Path: c.at(p), Text: fmt.Sprintf(format, args...)})
}

// Check returns the findings for a desired state, ordered by entity and name.
// minConnections is the least number of connections of an instance with which the proxy
// can work.
func Check(d *gypsumyard.DesiredState, minConnections int, at Locator) []Finding {
	c := &checker{DesiredState: d, at: at}
	used := make(map[string]bool, len(d.Groups))
	for _, name := range slices.Sorted(maps.Keys(d.Routes)) {
		c.checkRoute(d.Routes[name])
		used[d.Routes[name].Group] = true
	}
	for _, name := range slices.Sorted(maps.Keys(d.Groups)) {
		if !used[name] {
			c.add(KindUnusedGroup, Warning, Place{EntityGroup, name, FieldNone}, "no route leads to group %q", name)
		}
		if n := d.Groups[name].Connections; n < minConnections {
			c.add(KindFewConnections, Error, Place{EntityGroup, name, FieldConnections},
				"group %q: %d connections to an instance, the proxy needs at least %d", name, n, minConnections)
		}
	}
	if d.Keyed {
		c.checkCustomers()
	}
	return c.findings
}

func (c *checker) checkRoute(r gypsumyard.Route) {
	if _, ok := c.Groups[r.Group]; !ok {
		c.add(KindMissingGroup, Error, Place{EntityRoute, r.Database, FieldGroup}, "route %q leads to group %q, which is not listed", r.Database, r.Group)
	}
	if r.StatementTimeout > 0 && r.StatementTimeout < r.Objective {
		c.add(KindShortTimeout, Warning, Place{EntityRoute, r.Database, FieldStatementTimeout},
			"route %q: statements end after %v, before the objective of %v", r.Database, r.StatementTimeout, r.Objective)
	}
	switch {
	case r.Consistency == gypsumyard.ConsistencyPrimary && r.MaxStaleness != 0:
		c.add(KindUnusedStaleness, Warning, Place{EntityRoute, r.Database, FieldMaxStaleness},
			"route %q: the staleness of %v has no effect, as all reads run on the primary", r.Database, r.MaxStaleness)
	case r.Consistency == gypsumyard.ConsistencyBounded && r.MaxStaleness <= 0:
		c.add(KindNoStaleness, Warning, Place{EntityRoute, r.Database, FieldMaxStaleness},
			"route %q bounds the staleness but allows none: each read waits for all commits acknowledged before it", r.Database)
	}
	if c.Keyed && !r.Open && len(c.Keys) == 0 {
		c.add(KindRouteUnreachable, Error, Place{EntityRoute, r.Database, FieldOpen}, "route %q requires a key, but no customer has one", r.Database)
	}
}

func (c *checker) checkCustomers() {
	closed := func(r gypsumyard.Route) bool { return !r.Open }
	if len(c.Customers) > 0 && len(c.Routes) > 0 && !slices.ContainsFunc(slices.Collect(maps.Values(c.Routes)), closed) {
		c.add(KindKeysNotRequired, Warning, Place{EntityState, "", FieldCustomers},
			"all routes are open: callers need no key, and the limits of customers do not bind callers without one (customers: %d, keys: %d)", len(c.Customers), len(c.Keys))
	}
	holders := make(map[string]bool, len(c.Customers))
	for _, name := range c.Keys {
		holders[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(c.Customers)) {
		if !holders[name] {
			c.add(KindCustomerNoKeys, Warning, Place{EntityCustomer, name, FieldKeys}, "customer %q has no keys", name)
		}
		if a := c.Customers[name]; a.Rate > 0 && a.Burst < 1 {
			c.add(KindSmallBurst, Warning, Place{EntityCustomer, name, FieldBurst},
				"customer %q: a burst of %v with a rate of %v a second counts as one", name, a.Burst, a.Rate)
		}
	}
}

// Count returns how many findings have the severity.
func Count(findings []Finding, s Severity) (n int) {
	for _, f := range findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// Sort orders the findings by severity and leaves their order otherwise.
func Sort(findings []Finding) {
	rank := func(s Severity) int { return slices.Index([]Severity{Error, Warning}, s) }
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(rank(a.Severity), rank(b.Severity)) })
}
