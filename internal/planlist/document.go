package planlist

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Prefix is the common prefix of the names of all list objects, so that one
// watch covers them all.
const Prefix = "gypsumyard/"

// A Kind is one of the lists.
type Kind string

// The lists.
const (
	Plans     Kind = "plans"
	Customers Kind = "customers"
	Databases Kind = "databases"
)

// ParseKind returns the kind of the given name.
func ParseKind(s string) (Kind, error) {
	switch k := Kind(s); k {
	case Plans, Customers, Databases:
		return k, nil
	}
	return "", fmt.Errorf("list %q is none of plans, customers, databases", s)
}

// shardCounts is the number of objects that each list is sharded over. An edit
// rewrites and distributes one object: with 10,000 customers an object has about
// 40 entries and 10 KB, so 25,000 edits a day cost a host about 3 KB/s.
var shardCounts = map[Kind]uint32{Plans: 1, Customers: 256, Databases: 64}

// maxRecentOperations is the number of operation IDs that an object keeps. An
// editor that lost the answer to an update looks for its operation there.
const maxRecentOperations = 64

// objectNames holds the object names of each list by shard. They are computed
// in advance because each lookup needs one.
var objectNames = func() map[Kind][]string {
	names := map[Kind][]string{}
	for k, n := range shardCounts {
		for i := range n {
			names[k] = append(names[k], fmt.Sprintf("%s%s-%03d", Prefix, k, i))
		}
	}
	return names
}()

// ObjectName returns the name of the object that holds the entry.
func ObjectName(k Kind, entry string) string {
	names := objectNames[k]
	return names[hashEntry(entry)%uint32(len(names))]
}

// hashEntry returns the 32-bit FNV-1a hash of an entry's name. Unlike hash/fnv,
// it does not allocate.
func hashEntry(entry string) uint32 {
	const offset, prime = 2166136261, 16777619
	h := uint32(offset)
	for i := range len(entry) {
		h = (h ^ uint32(entry[i])) * prime
	}
	return h
}

// kindOf returns the list that an object belongs to.
func kindOf(object string) (Kind, error) {
	rest, ok := strings.CutPrefix(object, Prefix)
	if !ok {
		return "", fmt.Errorf("object %q does not belong to the lists", object)
	}
	i := strings.LastIndexByte(rest, '-')
	return ParseKind(rest[:max(i, 0)])
}

// An Entry is one customer, plan or database as stored.
type Entry struct {
	// Version counts the edits of the entry, removals included.
	Version uint64 `json:"version"`
	// Operation is the ID of the last edit.
	Operation string `json:"operation"`
	// Deleted marks a tombstone.
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// A document is the value of one object.
type document struct {
	Entries map[string]Entry `json:"entries"`
	// Operations holds the IDs of the most recent edits, oldest first, at most
	// maxRecentOperations.
	Operations []string `json:"operations"`
	// Edits counts all edits of the object.
	Edits uint64 `json:"edits"`
}

func decodeDocument(value []byte) (d document, err error) {
	if len(value) > 0 {
		if err := json.Unmarshal(value, &d); err != nil {
			return document{}, fmt.Errorf("decode list object: %w", err)
		}
	}
	if d.Entries == nil {
		d.Entries = map[string]Entry{}
	}
	return d, nil
}

func (d *document) encode() ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode list object: %w", err)
	}
	return b, nil
}

// hasOperation reports whether the operation has been applied to the document.
func (d *document) hasOperation(name, operation string) bool {
	return d.Entries[name].Operation == operation || slices.Contains(d.Operations, operation)
}

// set replaces an entry and records the operation. A nil value leaves a
// tombstone.
func (d *document) set(name, operation string, value json.RawMessage) {
	d.Entries[name] = Entry{
		Version:   d.Entries[name].Version + 1,
		Operation: operation,
		Deleted:   value == nil,
		Value:     value,
	}
	d.Edits++
	d.Operations = append(d.Operations, operation)
	if n := len(d.Operations) - maxRecentOperations; n > 0 {
		d.Operations = d.Operations[n:]
	}
}

// decodeEntries decodes the values of all entries except tombstones.
func decodeEntries[T any](d document) (map[string]T, error) {
	values := make(map[string]T, len(d.Entries))
	for name, e := range d.Entries {
		if e.Deleted {
			continue
		}
		var v T
		if err := json.Unmarshal(e.Value, &v); err != nil {
			return nil, fmt.Errorf("decode entry %q: %w", name, err)
		}
		values[name] = v
	}
	return values, nil
}

// Validate reports all errors in the name and value of an entry, not only the
// first one.
func Validate(k Kind, name string, value json.RawMessage) error {
	switch k {
	case Plans:
		return validate(value, name, checkPlan)
	case Customers:
		return validate(value, name, checkCustomer)
	default:
		return validate(value, name, checkDatabase)
	}
}
