package planlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gypsumyard/gypsumyard"
)

// Successor returns the entry that the store holds after an edit has replaced the
// database old by d. It sets the version of the list of instances and the former
// lists, which no edit can change, except that it may raise the version: after the
// store was restored, the entry's version can be lower than that of the instances'
// terms. The version of a new list is that of the entry, entryVersion, which also
// increases with removals and with edits by hosts that don't know versions of lists.
func Successor(old, d gypsumyard.Database, entryVersion uint64) gypsumyard.Database {
	lists := old.Lists()
	if lists[0].Equal(gypsumyard.InstanceList{Instances: d.Instances}) && d.ListVersion <= old.ListVersion {
		d.ListVersion, d.Former = old.ListVersion, old.Former
		return d
	}
	d.ListVersion, d.Former = max(entryVersion, d.ListVersion, old.ListVersion+1), lists
	return d
}

// databaseValue returns the value that replaces the old entry of a database. An
// entry that is created again after a removal has no former lists: the operator has
// removed the database with all that its instances hold.
func databaseValue(old Entry, value json.RawMessage) (_ json.RawMessage, err error) {
	var d, o gypsumyard.Database
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, fmt.Errorf("decode the new entry: %w", err)
	}
	given := d
	switch {
	case old.Version == 0:
		d.Former = nil
	case old.Deleted:
		d.ListVersion, d.Former = max(old.Version+1, d.ListVersion), nil
	default:
		if err := json.Unmarshal(old.Value, &o); err != nil {
			return nil, fmt.Errorf("decode the old entry: %w", err)
		}
		d = Successor(o, d, old.Version+1)
	}
	if d.ListVersion == given.ListVersion && len(d.Former) == 0 && len(given.Former) == 0 {
		return value, nil
	}
	return json.Marshal(d)
}

// DropFormer removes the former lists from the entry of the database, unless the
// instances were edited after the given version of their list. The entry keeps its
// version: no operator has edited it.
func (e *Editor) DropFormer(ctx context.Context, name string, listVersion uint64) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("drop former instances of %q: %w", name, err)
		}
	}()
	version, doc, err := e.read(ctx, ObjectName(Databases, name))
	if err != nil {
		return err
	}
	entry, ok := doc.Entries[name]
	if !ok || entry.Deleted {
		return nil
	}
	var d gypsumyard.Database
	if err := json.Unmarshal(entry.Value, &d); err != nil {
		return err
	}
	if d.ListVersion != listVersion || len(d.Former) == 0 {
		return nil
	}
	d.Former = nil
	if entry.Value, err = json.Marshal(d); err != nil {
		return err
	}
	doc.Entries[name] = entry
	value, err := doc.encode()
	if err != nil {
		return err
	}
	_, err = e.store.Put(ctx, ObjectName(Databases, name), version, value)
	if errors.Is(err, gypsumyard.ErrOutcomeUnknown) {
		// If it had no effect, the owner sees the former lists and tries again.
		return nil
	}
	return err
}

// DropFormer is [Editor.DropFormer] with the store of the service.
func (s *Service) DropFormer(ctx context.Context, name string, listVersion uint64) error {
	return NewEditor(s.store, s.clock).DropFormer(ctx, name, listVersion)
}
