package caller

import (
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
)

// statementOverhead is added to the length of a prepared statement when the
// bytes of a session are counted.
const statementOverhead = 256

// A prepared is a prepared statement of a session. It is kept here and parsed
// anew, unnamed, in each batch that uses it, so that it does not matter which
// upstream connection serves the batch.
type prepared struct {
	name      string
	query     string
	types     []uint32
	statement sqltext.Statement
}

func (p *prepared) size() int { return len(p.name) + len(p.query) + 4*len(p.types) + statementOverhead }

// upstreamText is what is parsed upstream: parameters are set for the
// transaction only.
func (p *prepared) upstreamText() string {
	if p.statement.Kind == sqltext.KindSet {
		return p.statement.LocalText
	}
	return p.query
}

// A preparedStore keeps the prepared statements of a session by name. The
// empty name is the unnamed statement.
type preparedStore struct {
	limits *Limits
	budget *budget
	byName map[string]*prepared
	bytes  int
}

func (s *preparedStore) get(name string) *prepared { return s.byName[name] }

// fits reports whether p and n further statements of the given bytes may be
// kept.
func (s *preparedStore) fits(p *prepared, n, bytes int) bool {
	if total := bytes + p.size(); s.budget.take(total) {
		s.budget.give(total)
	} else {
		return false
	}
	return len(s.byName)+n < s.limits.Statements && s.bytes+bytes+p.size() <= s.limits.StatementBytes
}

func (s *preparedStore) put(p *prepared) {
	s.remove(p.name)
	if s.byName == nil {
		s.byName = map[string]*prepared{}
	}
	s.byName[p.name] = p
	s.bytes += p.size()
	s.budget.give(-p.size())
}

func (s *preparedStore) remove(name string) {
	if p, ok := s.byName[name]; ok {
		s.bytes -= p.size()
		s.budget.give(p.size())
		delete(s.byName, name)
	}
}

func (s *preparedStore) clear() {
	s.budget.give(s.bytes)
	s.byName = nil
	s.bytes = 0
}
