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
	bytes  int
}

func (s *preparedStore) get(name string) *preparedStatement { return s.byName[name] }

// fits reports whether the limits and the budget allow p and n more statements
// of the given total size in bytes.
func (s *preparedStore) fits(p *preparedStatement, n, bytes int) bool {
	if total := bytes + p.size(); s.budget.reserve(total) {
		s.budget.release(total)
	} else {
		return false
	}
	return len(s.byName)+n < s.limits.Statements && s.bytes+bytes+p.size() <= s.limits.StatementBytes
}

func (s *preparedStore) put(p *preparedStatement) {
	s.remove(p.name)
	if s.byName == nil {
		s.byName = map[string]*preparedStatement{}
	}
	s.byName[p.name] = p
	s.bytes += p.size()
	s.budget.release(-p.size())
}

func (s *preparedStore) remove(name string) {
	if p, ok := s.byName[name]; ok {
		s.bytes -= p.size()
		s.budget.release(p.size())
		delete(s.byName, name)
	}
}

func (s *preparedStore) clear() {
	s.budget.release(s.bytes)
	s.byName = nil
	s.bytes = 0
}
