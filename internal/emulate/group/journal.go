package group

import (
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// defaultJournalEntries is the capacity of a journal: enough for a few minutes of
// load.
const defaultJournalEntries = 500_000

// An Entry records one statement that an instance ran. Control functions and
// session statements, such as SET, are not recorded.
type Entry struct {
	Number      int64     `json:"number"`
	Instance    string    `json:"instance"`
	Session     uint32    `json:"session"`
	Transaction uint64    `json:"transaction"`
	Statement   string    `json:"statement"`
	Params      []string  `json:"params,omitempty"`
	Start       time.Time `json:"start"`
	End         time.Time `json:"end"`
	// SlotTime is how long the statement held an execution slot.
	SlotTime time.Duration `json:"slot-time-ns"`
	// Seen is the log position whose data the statement saw.
	Seen gypsumyard.Position `json:"seen"`
	// Committed indicates that the statement's transaction was committed on the
	// instance. A promotion may have truncated it from the log afterwards.
	Committed bool `json:"committed"`
	// Position is the position of the transaction's log record, zero if the
	// transaction wrote nothing.
	Position gypsumyard.Position `json:"position"`
	// Error is the SQLSTATE of a failed statement, otherwise empty.
	Error string `json:"error,omitempty"`
}

// A journal records the statements that the instances of a group ran.
type journal struct {
	mu         sync.Mutex
	limit      int
	lastNumber int64
	entries    []*Entry
}

func newJournal(limit int) *journal { return &journal{limit: limit} }

// add appends an entry. If the journal is full, it drops the oldest half first.
func (j *journal) add(e *Entry) {
	if j.limit == 0 {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastNumber++
	e.Number = j.lastNumber
	if len(j.entries) >= j.limit {
		j.entries = slices.Clone(j.entries[len(j.entries)/2+1:])
	}
	j.entries = append(j.entries, e)
}

// commit marks the entries of a transaction as committed in the record at p.
func (j *journal) commit(entries []*Entry, p gypsumyard.Position) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range entries {
		e.Committed, e.Position = true, p
	}
}

// Journal returns the entries whose number is greater than after.
func (g *Group) Journal(after int64) (list []Entry) {
	g.journal.mu.Lock()
	defer g.journal.mu.Unlock()
	for _, e := range g.journal.entries {
		if e.Number > after {
			list = append(list, *e)
		}
	}
	return list
}
