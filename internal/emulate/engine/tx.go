package engine

import (
	"context"
	"slices"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
)

// A Tx is a transaction at isolation level read committed. Its writes are not
// visible to others before the commit. It is not safe for concurrent use.
type Tx struct {
	engine    *Engine
	id        uint64
	ReadOnly  bool
	changes   []Change
	writeSets map[string]*writeSet
	locks     []string
	// waitsFor is the transaction whose lock this one is waiting for.
	waitsFor *Tx
	done     chan struct{}
	// term is the term of the log at the first write, zero before it.
	term gypsumyard.Term
}

// A writeSet holds a transaction's uncommitted changes to one table.
type writeSet struct {
	// schema is nil if the transaction dropped the table.
	schema *Schema
	// created indicates that the transaction created or dropped the table, so
	// that committed rows of a table with this name are not visible to it.
	created bool
	rows    map[RowID][]Value
	// inserted lists the rows that the transaction inserted.
	inserted []RowID
	index    map[string]RowID
}

// Begin opens a transaction.
func (e *Engine) Begin() *Tx {
	return &Tx{
		engine:    e,
		id:        e.lastTx.Add(1),
		writeSets: map[string]*writeSet{},
		done:      make(chan struct{}),
	}
}

// ID returns the transaction's number, which is unique in its instance.
func (tx *Tx) ID() uint64 { return tx.id }

// Wrote reports whether the transaction has changed any data.
func (tx *Tx) Wrote() bool { return len(tx.changes) > 0 }

// Commit commits the writes and returns the position of their record, or the
// applied position if there are none. It fails and commits nothing if the
// instance no longer accepts writes of the transaction's term.
func (tx *Tx) Commit(ctx context.Context) (p gypsumyard.Position, err error) {
	e := tx.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	defer tx.release()
	if !tx.Wrote() {
		return e.applied(), nil
	}
	if err := e.awaitResume(ctx); err != nil {
		return gypsumyard.Position{}, err
	}
	if err := tx.checkWritable("COMMIT"); err != nil {
		return gypsumyard.Position{}, err
	}
	last := e.applied()
	r := &Record{
		Position: gypsumyard.Position{Term: last.Term, Offset: last.Offset + 1},
		Time:     e.clock.Now(),
		Changes:  tx.changes,
	}
	e.append(r)
	return r.Position, nil
}

// Rollback discards the writes.
func (tx *Tx) Rollback() {
	tx.engine.mu.Lock()
	defer tx.engine.mu.Unlock()
	tx.release()
}

// release releases the locks. The caller must hold tx.engine.mu.
func (tx *Tx) release() {
	select {
	case <-tx.done:
		return
	default:
	}
	for _, k := range tx.locks {
		if tx.engine.locks[k] == tx {
			delete(tx.engine.locks, k)
		}
	}
	close(tx.done)
}

// checkWritable fails on a replica, on a fenced instance, in a read-only
// transaction and in a transaction whose first write was in another term.
func (tx *Tx) checkWritable(verb string) error {
	if tx.ReadOnly || !tx.engine.writable() {
		return sqlparse.Errorf(codeReadOnly, "cannot execute %s in a read-only transaction", verb)
	}
	term := tx.engine.applied().Term
	if tx.term != 0 && tx.term != term {
		return sqlparse.Errorf(codeReadOnly, "cannot execute %s: the transaction began in term %d, the term is %d", verb, tx.term, term)
	}
	tx.term = term
	return nil
}

// tryLock acquires a lock. If another transaction holds it, it returns that
// transaction.
func (tx *Tx) tryLock(key string) *Tx {
	holder, ok := tx.engine.locks[key]
	if ok && holder != tx {
		return holder
	}
	if !ok {
		tx.engine.locks[key] = tx
		tx.locks = append(tx.locks, key)
	}
	return nil
}

// lockAll acquires all locks and waits for their holders if necessary. It reports
// whether it waited, since data read before may then be out of date.
func (tx *Tx) lockAll(s *scope, keys []string) (waited bool, err error) {
	for _, k := range keys {
		for {
			holder := tx.tryLock(k)
			if holder == nil {
				break
			}
			waited = true
			if err := tx.wait(s, holder); err != nil {
				return waited, err
			}
		}
	}
	return waited, nil
}

// wait waits until the holder's transaction has ended. It fails if the wait would
// be a deadlock. The caller must hold tx.engine.mu, which is released during the
// wait.
func (tx *Tx) wait(s *scope, holder *Tx) error {
	for t := holder; t != nil; t = t.waitsFor {
		if t == tx {
			return sqlparse.Errorf(codeDeadlock, "deadlock detected")
		}
	}
	tx.waitsFor = holder
	tx.engine.mu.Unlock()
	resume := s.session.BeginLockWait()
	var err error
	select {
	case <-holder.done:
		err = resume(s.ctx)
	case <-s.ctx.Done():
		err = context.Cause(s.ctx)
	}
	tx.engine.mu.Lock()
	tx.waitsFor = nil
	return err
}

// writeSet returns the transaction's write set of a table. It creates one if
// necessary.
func (tx *Tx) writeSet(name string) (*writeSet, error) {
	if v, ok := tx.writeSets[name]; ok {
		if v.schema == nil {
			return nil, undefinedTable(name)
		}
		return v, nil
	}
	t, ok := tx.engine.tables[name]
	if !ok {
		return nil, undefinedTable(name)
	}
	v := newWriteSet(t.schema)
	tx.writeSets[name] = v
	return v, nil
}

func newWriteSet(s *Schema) *writeSet {
	return &writeSet{schema: s, rows: map[RowID][]Value{}, index: map[string]RowID{}}
}

func undefinedTable(name string) error {
	return sqlparse.Errorf(codeUndefinedTable, "relation %q does not exist", name)
}

// schema returns the schema of a table that is visible to the transaction. If tx
// is nil, it returns the committed schema.
func (e *Engine) schema(tx *Tx, name string) (*Schema, error) {
	if tx != nil {
		if v, ok := tx.writeSets[name]; ok {
			if v.schema == nil {
				return nil, undefinedTable(name)
			}
			return v.schema, nil
		}
	}
	t, ok := e.tables[name]
	if !ok {
		return nil, undefinedTable(name)
	}
	return t.schema, nil
}

// scan calls visit for every row that is visible to the transaction, until visit
// returns false.
func (tx *Tx) scan(name string, visit func(id RowID, row []Value) bool) {
	v := tx.writeSets[name]
	t := tx.engine.tables[name]
	if t != nil && (v == nil || !v.created) {
		for _, id := range t.order {
			row, ok := t.rows[id]
			if !ok {
				continue
			}
			if v != nil {
				if own, changed := v.rows[id]; changed {
					row = own
				}
			}
			if row != nil && !visit(id, row) {
				return
			}
		}
	}
	if v == nil {
		return
	}
	for _, id := range v.inserted {
		if row := v.rows[id]; row != nil && !visit(id, row) {
			return
		}
	}
}

// find returns the visible row with the given primary key.
func (tx *Tx) find(name, key string) (RowID, []Value, bool) {
	v := tx.writeSets[name]
	if v != nil {
		if id, ok := v.index[key]; ok {
			return id, v.rows[id], v.rows[id] != nil
		}
	}
	t := tx.engine.tables[name]
	if t == nil || v != nil && v.created {
		return 0, nil, false
	}
	id, ok := t.index[key]
	if !ok {
		return 0, nil, false
	}
	if v != nil {
		if _, changed := v.rows[id]; changed {
			// The transaction has deleted the row or changed its key.
			return 0, nil, false
		}
	}
	return id, t.rows[id], true
}

// write records the change of a row from old to row. A nil old row inserts it, a
// nil new row deletes it.
func (tx *Tx) write(v *writeSet, id RowID, old, row []Value) {
	if v.schema.Key != nil {
		if old != nil && v.index[v.schema.keyOf(old)] == id {
			delete(v.index, v.schema.keyOf(old))
		}
		if row != nil {
			v.index[v.schema.keyOf(row)] = id
		}
	}
	if old == nil {
		v.inserted = append(v.inserted, id)
	}
	if row == nil {
		v.inserted = slices.DeleteFunc(v.inserted, func(i RowID) bool { return i == id })
	}
	v.rows[id] = row
	tx.changes = append(tx.changes, Change{Table: v.schema.Name, Row: id, Values: row})
}
