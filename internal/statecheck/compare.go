package statecheck

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/gypsumyard/gypsumyard"
)

// keyDigits is how many hex digits of its hash stand for a key in the output.
const keyDigits = 8

// A Change is a difference between two desired states. From is nil for what was added, and
// To for what was removed.
type Change struct {
	Place Place
	// From and To are values of the field, Present for entries as a whole, or a KeyPrefix.
	From, To any
}

// Present is the value of an entry as a whole.
const Present = "present"

// A KeyPrefix is the beginning of the hash of a key, in hex digits.
type KeyPrefix string

func prefixOf(h gypsumyard.KeyHash) KeyPrefix {
	return KeyPrefix(hex.EncodeToString(h[:])[:keyDigits])
}

// Compare returns the differences field by field, ordered by entity and name. Entries that
// were added or removed are one change each, and their keys one more each.
func Compare(from, to *gypsumyard.DesiredState) []Change {
	var c changes
	c.field(Place{Field: FieldNumber}, from.Number, to.Number)
	c.field(Place{Field: FieldTransactionIdle}, from.TransactionIdle, to.TransactionIdle)
	if from.Keyed != to.Keyed {
		c.presence(Place{Field: FieldCustomers}, from.Keyed, to.Keyed)
	}
	entries(&c, EntityRoute, from.Routes, to.Routes, func(name string, a, b gypsumyard.Route) {
		at := func(f Field) Place { return Place{EntityRoute, name, f} }
		c.field(at(FieldGroup), a.Group, b.Group)
		c.field(at(FieldConsistency), a.Consistency, b.Consistency)
		c.field(at(FieldMaxStaleness), a.MaxStaleness, b.MaxStaleness)
		c.field(at(FieldStatementTimeout), a.StatementTimeout, b.StatementTimeout)
		c.field(at(FieldObjective), a.Objective, b.Objective)
		c.field(at(FieldPriority), a.Priority, b.Priority)
		c.field(at(FieldOpen), a.Open, b.Open)
	})
	entries(&c, EntityGroup, from.Groups, to.Groups, func(name string, a, b gypsumyard.Group) {
		c.field(Place{EntityGroup, name, FieldConnections}, a.Connections, b.Connections)
		c.field(Place{EntityGroup, name, FieldSyncReplicas}, a.SyncReplicas, b.SyncReplicas)
	})
	entries(&c, EntityCustomer, from.Customers, to.Customers, func(name string, a, b gypsumyard.CallerCustomer) {
		c.field(Place{EntityCustomer, name, FieldPriority}, a.Priority, b.Priority)
		c.field(Place{EntityCustomer, name, FieldRate}, a.Rate, b.Rate)
		c.field(Place{EntityCustomer, name, FieldBurst}, a.Burst, b.Burst)
	})
	c.keys(from.Keys, to.Keys)
	return c
}

// CheckNumber returns a finding if the number of the new state is not higher. Hosts compare
// states by their number when they check keys for each other and after a restore of the
// store.
func CheckNumber(from, to *gypsumyard.DesiredState, at Locator) []Finding {
	if to.Number > from.Number {
		return nil
	}
	return []Finding{{
		Kind: KindVersion, Severity: Warning, Path: at(Place{Field: FieldNumber}),
		Text: fmt.Sprintf("number %d is not higher than %d, that of the state to compare with", to.Number, from.Number),
	}}
}

type changes []Change

func (c *changes) field(p Place, from, to any) {
	if from != to {
		*c = append(*c, Change{p, from, to})
	}
}

func (c *changes) presence(p Place, from, to bool) {
	value := func(present bool) any {
		if present {
			return Present
		}
		return nil
	}
	c.field(p, value(from), value(to))
}

// entries adds the differences of the entries of one entity. It calls both for each name
// that is in both states.
func entries[T any](c *changes, e Entity, from, to map[string]T, both func(name string, a, b T)) {
	names := slices.AppendSeq(slices.Collect(maps.Keys(from)), maps.Keys(to))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		a, inOld := from[name]
		b, inNew := to[name]
		if inOld && inNew {
			both(name, a, b)
			continue
		}
		c.presence(Place{e, name, FieldNone}, inOld, inNew)
	}
}

// keys adds the keys that were added to a customer or removed from it. A key that moved is
// both.
func (c *changes) keys(from, to map[gypsumyard.KeyHash]string) {
	var list []Change
	for h, name := range from {
		if holder, ok := to[h]; !ok || holder != name {
			list = append(list, Change{Place{EntityCustomer, name, FieldKeys}, prefixOf(h), nil})
		}
	}
	for h, name := range to {
		if holder, ok := from[h]; !ok || holder != name {
			list = append(list, Change{Place{EntityCustomer, name, FieldKeys}, nil, prefixOf(h)})
		}
	}
	text := func(v any) string {
		p, _ := v.(KeyPrefix)
		return string(p)
	}
	slices.SortFunc(list, func(a, b Change) int {
		return cmp.Or(strings.Compare(a.Place.Name, b.Place.Name), strings.Compare(text(a.From), text(b.From)), strings.Compare(text(a.To), text(b.To)))
	})
	*c = append(*c, list...)
}
