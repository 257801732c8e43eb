package engine

import (
	"context"
	"slices"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
)

// A Tx is a transaction at isolation level read committed. Its writes stay
// apart from the committed rows until the commit. It is used by one goroutine
// at a time.
type Tx struct {
	engine   *Engine
	id       uint64
	ReadOnly bool
	changes  []Change
	views    map[string]*view
	locks    []string
	// waits is the transaction whose lock this one waits for.
	waits *Tx
	done  chan struct{}
	// term is that of the log at the first write, zero before it.
	term gypsumyard.Term
}

// A view is a transaction's own state of a table.
type view struct {
	// schema is nil if the transaction dropped the table.
	schema *Schema
	// created indicates that no committed rows of the table count.
	created bool
	rows    map[RowID][]Value
	// inserted lists the rows that are not committed yet.
	inserted []RowID
	index    map[string]RowID
}

// Begin opens a transaction.
func (e *Engine) Begin() *Tx {
	return &Tx{
		engine: e,
		id:     e.nextTx.Add(1),
		views:  map[string]*view{},
		done:   make(chan struct{}),
	}
}

// ID returns the transaction's number, unique in its instance.
func (tx *Tx) ID() uint64 { return tx.id }

// Wrote reports whether the transaction has changed anything.
func (tx *Tx) Wrote() bool { return len(tx.changes) > 0 }

// Commit makes the writes permanent and returns the position of their record,
// or the applied position if there were none. On an instance that no longer
// accepts writes of the transaction's term nothing is committed.
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

// Rollback drops the writes.
func (tx *Tx) Rollback() {
	tx.engine.mu.Lock()
	defer tx.engine.mu.Unlock()
	tx.release()
}

// release frees the locks. The caller holds the engine's mutex.
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

// checkWritable refuses writes on a replica, on a fenced instance, in a
// read-only transaction and in one that began to write in another term.
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

// lock takes a lock, or returns the transaction that holds it.
func (tx *Tx) lock(key string) *Tx {
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

// lockAll takes all locks, waiting for their holders. It reports whether it
// waited: what was read before may then be out of date.
func (tx *Tx) lockAll(s *scope, keys []string) (waited bool, err error) {
	for _, k := range keys {
		for {
			holder := tx.lock(k)
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

// wait releases the engine's mutex until the holder's transaction has ended.
func (tx *Tx) wait(s *scope, holder *Tx) error {
	for t := holder; t != nil; t = t.waits {
		if t == tx {
			return sqlparse.Errorf(codeDeadlock, "deadlock detected")
		}
	}
	tx.waits = holder
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
	tx.waits = nil
	return err
}

// view returns the transaction's view of a table for writing.
func (tx *Tx) view(name string) (*view, error) {
	if v, ok := tx.views[name]; ok {
		if v.schema == nil {
			return nil, undefinedTable(name)
		}
		return v, nil
	}
	t, ok := tx.engine.tables[name]
	if !ok {
		return nil, undefinedTable(name)
	}
	v := newView(t.schema)
	tx.views[name] = v
	return v, nil
}

func newView(s *Schema) *view {
	return &view{schema: s, rows: map[RowID][]Value{}, index: map[string]RowID{}}
}

func undefinedTable(name string) error {
	return sqlparse.Errorf(codeUndefinedTable, "relation %q does not exist", name)
}

// schema returns the definition of a table as the transaction sees it. tx may
// be nil.
func (e *Engine) schema(tx *Tx, name string) (*Schema, error) {
	if tx != nil {
		if v, ok := tx.views[name]; ok {
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

// scan calls visit for every row that the transaction sees until it returns
// false.
func (tx *Tx) scan(name string, visit func(id RowID, row []Value) bool) {
	v := tx.views[name]
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

// find returns the row with a primary key.
func (tx *Tx) find(name, key string) (RowID, []Value, bool) {
	v := tx.views[name]
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
			// The row was deleted, or its key changed.
			return 0, nil, false
		}
	}
	return id, t.rows[id], true
}

// write records a change of a row; nil deletes it.
func (tx *Tx) write(v *view, id RowID, old, row []Value) {
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
