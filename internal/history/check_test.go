package history_test

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/history"
	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// validHistory returns a history without violations.
func validHistory() *history.History {
	return &history.History{
		Writes: []history.Write{
			{Session: "s1", Tag: "a", Sequence: 1, Rows: 2, Outcome: history.Acknowledged, Start: at(0), End: at(10)},
			{Session: "s1", Tag: "b", Sequence: 2, Rows: 1, Outcome: history.NotRun, Start: at(20), End: at(30)},
			{Session: "s1", Tag: "c", Sequence: 3, Rows: 1, Outcome: history.Unknown, Start: at(40), End: at(50)},
		},
		Reads: []history.Read{
			{Session: "s1", Host: "h1", Seen: 1, Start: at(15), End: at(16)},
			{Session: "s1", Host: "h1", Seen: 0, Start: at(15), End: at(16), Stale: true},
			{Session: "s2", Host: "h2", Seen: 0, Start: at(15), End: at(16)},
		},
		Answers: []history.Answer{{Session: "s1", Want: "7", Got: "7", WantRows: 3, GotRows: 3}},
		Executions: []history.Execution{
			{Instance: "i1", Transaction: 1, Tag: "a", Customer: "k", SlotTime: time.Second, End: at(time.Second)},
			{Instance: "i1", Transaction: 1, Tag: "a", Customer: "k", SlotTime: time.Second, End: at(2 * time.Second)},
			{Instance: "i1", Transaction: 2, Tag: "c", Customer: "k", SlotTime: time.Second, End: at(3 * time.Second)},
		},
		Lists: []history.ListVersion{
			{Host: "h1", Object: "o", Version: 1, At: at(0)},
			{Host: "h1", Object: "o", Version: 2, At: at(10)},
			{Host: "h2", Object: "o", Version: 1, At: at(20)},
		},
		CustomerLimits: []history.CustomerLimit{{Customer: "k", Limit: 0.5}},
		Slots:          2,
		Burst:          time.Second,
		Rows:           map[string]int{"a": 2, "c": 1},
	}
}

// Guards against a checker that cannot fail: each change makes a correct
// history violate exactly one invariant.
func TestEachRuleCanFail(t *testing.T) {
	tests := []struct {
		rule   string
		change func(h *history.History)
	}{
		{history.RuleLostWrite, func(h *history.History) { delete(h.Rows, "a") }},
		{history.RulePartialTransaction, func(h *history.History) { h.Rows["a"] = 1 }},
		{history.RuleDuplicateWrite, func(h *history.History) { h.Rows["a"] = 4 }},
		{history.RuleDuplicateWrite, func(h *history.History) { h.Rows["c"] = 2 }},
		{history.RuleNotRun, func(h *history.History) { h.Rows["b"] = 1 }},
		{history.RuleReadYourWrites, func(h *history.History) { h.Reads[0].Seen = 0 }},
		{history.RuleMixedTransactions, func(h *history.History) { h.Executions[1].Tag = "c" }},
		{history.RuleWrongAnswer, func(h *history.History) { h.Answers[0].Got = "8" }},
		{history.RuleIncompleteAnswer, func(h *history.History) { h.Answers[0].GotRows = 2 }},
		{history.RuleLimitExceeded, func(h *history.History) { h.CustomerLimits[0].Limit = 0.25 }},
		{history.RuleRevertedList, func(h *history.History) { h.Lists[1].Version = 0 }},
	}
	is := is.New(t)
	is.Equal(len(history.Check(validHistory())), 0)
	for _, tt := range tests {
		h := validHistory()
		tt.change(h)
		violations := history.Check(h)
		is.Equal(len(violations), 1)
		is.Equal(violations[0].Rule, tt.rule)
	}
}
