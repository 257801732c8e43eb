package engine

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
)

// A Change is one effect of a transaction.
type Change struct {
	Table string `json:"table"`
	Row   RowID  `json:"row"`
	// Values is the row after the change, nil if it was deleted.
	Values []Value `json:"values"`
	// Create is the definition of a new table.
	Create *Schema `json:"create,omitempty"`
	// Drop indicates that the table was removed.
	Drop bool `json:"drop,omitempty"`
}

// A Record is one entry of the log: a committed transaction, or the start of a
// term, which has no changes.
type Record struct {
	Position gypsumyard.Position `json:"position"`
	Time     time.Time           `json:"time"`
	Changes  []Change            `json:"changes"`
}

// An Engine is the database of one instance.
type Engine struct {
	database string
	clock    gypsumyard.Clock
	lastTx   atomic.Uint64

	mu      sync.Mutex
	tables  map[string]*table
	lastRow RowID
	locks   map[string]*Tx
	log     []*Record
	history gypsumyard.History
	changed chan struct{}

	role          gypsumyard.Role
	fence         gypsumyard.Term
	fenceToken    gypsumyard.Token
	source        string
	sourceVersion uint64
	leaving       bool
	// truncations counts how often the log was truncated.
	truncations atomic.Uint64
	// paused is nil unless the engine is paused. It is closed at the end of the
	// pause.
	paused chan struct{}
}

// New returns the database of an instance that is the primary of term 1 or, in
// the same term, a replica of source.
func New(database string, role gypsumyard.Role, source string, clock gypsumyard.Clock) *Engine {
	e := &Engine{database: database, clock: clock, role: role, source: source, changed: make(chan struct{})}
	e.replay(nil)
	e.append(&Record{Position: gypsumyard.Position{Term: 1, Offset: 1}, Time: clock.Now()})
	return e
}

// replay rebuilds the tables from a log. The caller must hold e.mu.
func (e *Engine) replay(log []*Record) {
	e.tables = map[string]*table{}
	e.locks = map[string]*Tx{}
	e.log, e.history = nil, nil
	for _, r := range log {
		e.append(r)
	}
}

// append applies a record and appends it to the log. The caller must hold e.mu.
func (e *Engine) append(r *Record) {
	for _, c := range r.Changes {
		e.apply(c)
	}
	if len(e.history) == 0 || e.history[len(e.history)-1].Term < r.Position.Term {
		e.history = append(e.history, gypsumyard.TermStart{Term: r.Position.Term, Start: r.Position.Offset})
	}
	e.log = append(e.log, r)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Engine) apply(c Change) {
	switch {
	case c.Create != nil:
		e.tables[c.Table] = newTable(c.Create)
		return
	case c.Drop:
		delete(e.tables, c.Table)
		return
	}
	t, ok := e.tables[c.Table]
	if !ok {
		// Another transaction has dropped the table and committed first.
		return
	}
	e.lastRow = max(e.lastRow, c.Row)
	if c.Values == nil {
		t.remove(c.Row)
		return
	}
	t.put(c.Row, c.Values)
}

func (e *Engine) applied() gypsumyard.Position { return e.log[len(e.log)-1].Position }

// writable reports whether the instance accepts writes. The caller must hold
// e.mu.
func (e *Engine) writable() bool {
	return e.role == gypsumyard.RolePrimary && e.fence <= e.applied().Term
}

// Status returns the status of the instance. StreamAge and Connections, which the
// engine does not know, are zero.
func (e *Engine) Status() gypsumyard.InstanceStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status()
}

func (e *Engine) status() gypsumyard.InstanceStatus {
	return gypsumyard.InstanceStatus{
		Role:       e.role,
		Applied:    e.applied(),
		Fence:      e.fence,
		FenceToken: e.fenceToken,
		History:    append(gypsumyard.History(nil), e.history...),
		Leaving:    e.leaving,
	}
}

// Fence makes the instance reject writes and replication of any lower term. A
// fence that a Follow order set has no token; the first Fence for its term sets
// the token.
func (e *Engine) Fence(term gypsumyard.Term, token gypsumyard.Token) (gypsumyard.InstanceStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	setsToken := term == e.fence && e.fenceToken == ""
	same := term == e.fence && e.fenceToken == token
	if term <= e.fence && !setsToken && !same {
		return e.status(), e.fencedError("fence", term)
	}
	e.fence, e.fenceToken = term, token
	return e.status(), nil
}

func (e *Engine) fencedError(order string, term gypsumyard.Term) error {
	return sqlparse.Errorf(codeFenced, "%s for term %d refused: fenced for term %d", order, term, e.fence)
}

// Promote makes the instance the primary of term. It fails unless the instance is
// fenced for this term with this token.
func (e *Engine) Promote(term gypsumyard.Term, token gypsumyard.Token) (gypsumyard.InstanceStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence != term || e.fenceToken != token {
		return e.status(), e.fencedError("promotion", term)
	}
	last := e.applied()
	if e.role == gypsumyard.RolePrimary && last.Term == term {
		return e.status(), nil
	}
	if last.Term >= term {
		return e.status(), sqlparse.Errorf(codeFenced, "promotion for term %d refused: the log is at term %d", term, last.Term)
	}
	e.role, e.source = gypsumyard.RolePrimary, ""
	e.sourceVersion++
	e.append(&Record{Position: gypsumyard.Position{Term: term, Offset: last.Offset + 1}, Time: e.clock.Now()})
	return e.status(), nil
}

// Follow makes the instance a replica of source in term. It raises the fence to
// term, so that the instance accepts no replication of a lower term afterwards.
func (e *Engine) Follow(term gypsumyard.Term, source string) (gypsumyard.InstanceStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.applied()
	if term < e.fence || term < last.Term {
		return e.status(), e.fencedError("following", term)
	}
	if e.role == gypsumyard.RolePrimary && last.Term == term {
		return e.status(), sqlparse.Errorf(codeFenced, "following in term %d refused: the instance is its primary", term)
	}
	if term > e.fence {
		e.fence, e.fenceToken = term, ""
	}
	if e.role == gypsumyard.RoleReplica && e.source == source {
		return e.status(), nil
	}
	e.role, e.source = gypsumyard.RoleReplica, source
	e.sourceVersion++
	return e.status(), nil
}

// Truncations returns how often the log was truncated. A connection that outlives
// a truncation would see committed records disappear.
func (e *Engine) Truncations() uint64 { return e.truncations.Load() }

// Pause blocks commits and replication until Resume.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused == nil {
		e.paused = make(chan struct{})
	}
}

// Resume ends a pause.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused != nil {
		close(e.paused)
		e.paused = nil
	}
}

// awaitResume waits for the end of a pause. The caller must hold e.mu, which is
// released during the wait.
func (e *Engine) awaitResume(ctx context.Context) error {
	for e.paused != nil {
		paused := e.paused
		e.mu.Unlock()
		select {
		case <-paused:
		case <-ctx.Done():
		}
		e.mu.Lock()
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	return nil
}

// SetLeaving sets whether the instance reports that it is about to be shut down.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Log returns the records of the log. The caller must not modify them.
func (e *Engine) Log() []*Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.log[:len(e.log):len(e.log)]
}

// Rows returns the committed rows of a table in order of insertion, or nil if
// there is no such table.
func (e *Engine) Rows(name string) (rows [][]Value) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.tables[name]
	if !ok {
		return nil
	}
	for _, id := range t.order {
		if r, ok := t.rows[id]; ok {
			rows = append(rows, r)
		}
	}
	return rows
}

// Changed returns a channel that is closed when the log changes next.
func (e *Engine) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// formatHistory formats a history as TERM:START pairs, as in "1:1,3:11".
func formatHistory(h gypsumyard.History) string {
	var parts []string
	for _, t := range h {
		parts = append(parts, fmt.Sprintf("%d:%d", t.Term, t.Start))
	}
	return strings.Join(parts, ",")
}
