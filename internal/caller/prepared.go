package caller

import (
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
)

// statementOverhead is the memory in bytes counted for a prepared statement in
// addition to its length.
const statementOverhead = 256

// A preparedStatement is a prepared statement of a session. It is stored here
// and parsed again as the unnamed statement in each batch that uses it, so that
// any upstream connection can serve the batch.
type preparedStatement struct {
	name      string
	query     string
	paramOIDs []uint32
	statement sqltext.Statement
	// reserved indicates that there is memory for the statement, but that the
	// upstream has not accepted it yet.
	reserved bool
}

func (p *preparedStatement) size() int {
	return len(p.name) + len(p.query) + 4*len(p.paramOIDs) + statementOverhead
}

// upstreamQuery returns the text that is parsed upstream. SET becomes SET
// LOCAL, which is limited to the transaction.
func (p *preparedStatement) upstreamQuery() string {
	if p.statement.Kind == sqltext.KindSet {
		return p.statement.LocalText
	}
	return p.query
}

// A preparedStore holds the prepared statements of a session by name. The
// unnamed statement has the empty name.
type preparedStore struct {
	limits *Limits
	budget *budget
	byName map[string]*preparedStatement
	// batch holds the new statements of the running batch.
	batch []*preparedStatement
	// bytes is the size of all statements, reserved ones included.
	bytes int
}

func (s *preparedStore) get(name string) *preparedStatement { return s.byName[name] }

// reserve reserves the memory for p until put or releaseReserved. It returns false if
// the limits or the budget do not allow another statement.
func (s *preparedStore) reserve(p *preparedStatement) bool {
	if len(s.byName)+len(s.batch) >= s.limits.Statements || s.bytes+p.size() > s.limits.StatementBytes {
		return false
	}
	if !s.budget.reserve(p.size()) {
		return false
	}
	p.reserved = true
	s.batch = append(s.batch, p)
	s.bytes += p.size()
	return true
}

// releaseReserved releases the memory reserved for statements of the batch that were
// not stored.
func (s *preparedStore) releaseReserved() {
	for _, p := range s.batch {
		if p.reserved {
			s.release(p)
		}
		p.reserved = false
	}
	s.batch = nil
}

// put stores a statement for which memory is reserved.
func (s *preparedStore) put(p *preparedStatement) {
	if !p.reserved {
		return // It is stored already.
	}
	p.reserved = false
	s.remove(p.name)
	if s.byName == nil {
		s.byName = map[string]*preparedStatement{}
	}
	s.byName[p.name] = p
}

func (s *preparedStore) remove(name string) {
	if p, ok := s.byName[name]; ok {
		s.release(p)
		delete(s.byName, name)
	}
}

func (s *preparedStore) release(p *preparedStatement) {
	s.bytes -= p.size()
	s.budget.release(p.size())
}

// clear removes all stored statements. What is reserved for the running batch stays.
func (s *preparedStore) clear() {
	for name := range s.byName {
		s.remove(name)
	}
	s.byName = nil
}
