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
	// denials counts the sessions and statements that their key does not allow, and
	// denialsNotLogged those of them without a log line.
	denials          map[verdict]tally.Counter
	denialsNotLogged tally.Counter
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
		denials:         map[verdict]tally.Counter{},

		denialsNotLogged: s.Counter("caller_denials_not_logged"),
	}
	for _, v := range []verdict{verdictUnknown, verdictUnproven, verdictRejectedByOwner} {
		m.denials[v] = s.Tagged(map[string]string{"reason": string(v)}).Counter("caller_denials")
	}
	for _, c := range []line.Code{
		line.CodeBusy, line.CodeAborted, line.CodeLagging, line.CodeReadOnly, line.CodeWrongNode, line.CodeTooMany, line.CodeUnknown,
		line.CodeFailed, line.CodeTimeout, line.CodeInDoubt, line.CodeNoDatabase, line.CodeMalformed, line.CodeDenied,
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

// countDenial counts a session or statement that its key does not allow.
func (m *metrics) countDenial(v verdict) {
	if n, ok := m.denials[v]; ok {
		n.Inc(1)
	}
}
