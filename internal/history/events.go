package history

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// An Outcome is the result of a request as reported to the client.
type Outcome string

// The outcomes of a request.
const (
	// Acknowledged: the request succeeded.
	Acknowledged Outcome = "acknowledged"
	// NotRun: the request was refused with an error class that guarantees that
	// it did not run.
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
	// Rows is the number of rows with the tag that one execution of the request
	// inserts.
	Rows    int
	Outcome Outcome
	Start   time.Time
	End     time.Time
	// Position is the log position that the proxy reported for an acknowledged
	// write.
	Position gypsumyard.Position
}

// A Read is one request that reads the highest sequence number written by its
// own session.
type Read struct {
	Session string
	Host    string
	// Seen is the highest sequence number in the response.
	Seen  int
	Start time.Time
	End   time.Time
	// Stale indicates that the session accepts stale data.
	Stale bool
}

// An Answer compares the response to a request with the expected one.
type Answer struct {
	Session string
	// Want and Got identify the request, for instance by a number that the
	// statement returns.
	Want, Got string
	// WantRows is the number of rows of a complete response, GotRows the number
	// received.
	WantRows, GotRows int
}

// An Execution is one statement that an instance executed, according to its
// journal.
type Execution struct {
	Instance string
	// Transaction numbers the transactions of an instance.
	Transaction uint64
	// Tag is the request's tag, empty if the statement has none.
	Tag      string
	Customer string
	// SlotTime is how long the statement occupied its slot. It is charged at
	// End.
	SlotTime time.Duration
	End      time.Time
}

// A ListVersion is the version of a list object that was in force on a host.
type ListVersion struct {
	Host    string
	Object  string
	Version gypsumyard.Version
	At      time.Time
}

// A CustomerLimit is the upper limit that a customer's plan sets on one
// database.
type CustomerLimit struct {
	Customer string
	// Limit is the fraction of slot time.
	Limit float64
}

// A History holds everything that was recorded for one database in one run.
type History struct {
	Writes         []Write
	Reads          []Read
	Answers        []Answer
	Executions     []Execution
	Lists          []ListVersion
	CustomerLimits []CustomerLimit
	// Slots is the number of slots of all instances together.
	Slots int
	// Burst is the slot time that a customer may use in excess of its limit in
	// any window.
	Burst time.Duration
	// Rows counts the rows found at the end of the run, by tag.
	Rows map[string]int
}
