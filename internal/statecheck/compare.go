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

// Compare returns the differences field by field, ordered by entity and name. An entry that
// was added is one change, and one more for each of its fields that is not zero. An entry
// that was removed is one change. Keys follow at the end, one change each.
func Compare(from, to *gypsumyard.DesiredState) []Change {
	var c changes
	c.field(Place{Field: FieldNumber}, from.Number, to.Number)
	c.field(Place{Field: FieldTransactionIdle}, from.TransactionIdle, to.TransactionIdle)
	if from.Keyed != to.Keyed {
		c.presence(Place{Field: FieldCustomers}, from.Keyed, to.Keyed)
	}
	entries(&c, EntityRoute, from.Routes, to.Routes, routeFields)
	entries(&c, EntityGroup, from.Groups, to.Groups, groupFields)
	entries(&c, EntityCustomer, from.Customers, to.Customers, customerFields)
	c.keys(from.Keys, to.Keys)
	return c
}

// A fieldValue is a field of an entry and its value.
type fieldValue struct {
	field Field
	value any
}

func routeFields(r gypsumyard.Route) []fieldValue {
	return []fieldValue{
		{FieldGroup, r.Group},
		{FieldConsistency, r.Consistency},
		{FieldMaxStaleness, r.MaxStaleness},
		{FieldStatementTimeout, r.StatementTimeout},
		{FieldObjective, r.Objective},
		{FieldPriority, r.Priority},
		{FieldOpen, r.Open},
	}
}

func groupFields(g gypsumyard.Group) []fieldValue {
	return []fieldValue{{FieldConnections, g.Connections}, {FieldSyncReplicas, g.SyncReplicas}}
}

func customerFields(c gypsumyard.CallerCustomer) []fieldValue {
	return []fieldValue{{FieldPriority, c.Priority}, {FieldRate, c.Rate}, {FieldBurst, c.Burst}}
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

// entries adds the differences of the entries of one entity.
func entries[T any](c *changes, e Entity, from, to map[string]T, fields func(T) []fieldValue) {
	names := slices.AppendSeq(slices.Collect(maps.Keys(from)), maps.Keys(to))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		a, inOld := from[name]
		b, inNew := to[name]
		if inOld != inNew {
			c.presence(Place{e, name, FieldNone}, inOld, inNew)
		}
		if !inNew {
			continue
		}
		// The old values of an entry that was added are zero.
		old := fields(a)
		for n, f := range fields(b) {
			switch {
			case f.value == old[n].value:
			case inOld:
				*c = append(*c, Change{Place{e, name, f.field}, old[n].value, f.value})
			default:
				*c = append(*c, Change{Place{e, name, f.field}, nil, f.value})
			}
		}
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
