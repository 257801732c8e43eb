package linecaller

import (
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/uber-go/tally/v4"
)

type metrics struct {
	scope           tally.Scope
	sessions        tally.Counter
	refusedSessions tally.Counter
	answered        tally.Counter
	panics          tally.Counter
	latency         tally.Timer
	failures        map[line.Code]tally.Counter
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{
		scope:           s,
		sessions:        s.Counter("caller_sessions"),
		refusedSessions: s.Counter("caller_sessions_refused"),
		answered:        s.Counter("caller_statements_answered"),
		panics:          s.Counter("caller_panics"),
		latency:         s.Timer("caller_statement_latency"),
		failures:        map[line.Code]tally.Counter{},
	}
	for _, c := range []line.Code{
		line.CodeBusy, line.CodeAborted, line.CodeLagging, line.CodeReadOnly, line.CodeWrongNode, line.CodeTooMany, line.CodeUnknown,
		line.CodeFailed, line.CodeTimeout, line.CodeInDoubt, line.CodeNoDatabase, line.CodeMalformed,
	} {
		m.failures[c] = s.Tagged(map[string]string{"code": string(c)}).Counter("caller_statements_failed")
	}
	return m
}

// countFailure counts a statement or session that failed with the code.
func (m *metrics) countFailure(c line.Code) {
	if n, ok := m.failures[c]; ok {
		n.Inc(1)
	}
}
