package history

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// An Outcome is what a client was told about a request.
type Outcome string

// The outcomes of a request.
const (
	// Acknowledged: the request succeeded.
	Acknowledged Outcome = "acknowledged"
	// NotRun: the request was refused with a class that proves that it did
	// not run.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run.
	Unknown Outcome = "outcome-unknown"
)

// A Write is one request that inserts rows with a unique tag.
type Write struct {
	Session string
	Tag     string
	// Sequence numbers the session's writes, beginning with 1.
	Sequence int
	// Rows is how many rows with the tag one run of the request inserts.
	Rows    int
	Outcome Outcome
	Start   time.Time
	End     time.Time
	// Position is what the proxy reported for an acknowledged write.
	Position gypsumyard.Position
}

// A Read is one request that asks for the session's own highest sequence
// number.
type Read struct {
	Session string
	Host    string
	// Seen is the highest sequence number in the answer.
	Seen  int
	Start time.Time
	End   time.Time
	// Stale indicates that the session accepts old data.
	Stale bool
}

// An Answer compares what a request asked for with what came back.
type Answer struct {
	Session string
	// Want and Got identify the request, for instance by a number that the
	// statement returns.
	Want, Got string
	// WantRows and GotRows are the number of rows of a complete answer.
	WantRows, GotRows int
}

// An Execution is one statement that an instance executed, as its journal tells.
type Execution struct {
	Instance string
	// Transaction numbers the transactions of an instance.
	Transaction uint64
	// Tag is that of the request, empty if the statement has none.
	Tag      string
	Customer string
	// SlotTime is the slot time of the statement, charged at End.
	SlotTime time.Duration
	End      time.Time
}

// A ListVersion is the version of a list object that a host had in force.
type ListVersion struct {
	Host    string
	Object  string
	Version gypsumyard.Version
	At      time.Time
}

// A CustomerLimit is what a customer's plan allows on one database.
type CustomerLimit struct {
	Customer string
	// Limit is the fraction of slot time.
	Limit float64
}

// A History is everything that was recorded in one run on one database.
type History struct {
	Writes         []Write
	Reads          []Read
	Answers        []Answer
	Executions     []Execution
	Lists          []ListVersion
	CustomerLimits []CustomerLimit
	// Slots is the number of slots of all instances together.
	Slots int
	// Burst is how much slot time a customer may use beyond its limit in any
	// window.
	Burst time.Duration
	// Rows counts the rows found at the end, by tag.
	Rows map[string]int
}
