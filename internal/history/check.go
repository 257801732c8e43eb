package history

import (
	"fmt"
	"slices"
	"time"
)

// A Violation is one violated invariant.
type Violation struct {
	// Rule is the name of the violated invariant.
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// String implements fmt.Stringer.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// The invariants that Check verifies.
const (
	RuleLostWrite          = "acknowledged-write-lost"
	RuleDuplicateWrite     = "write-doubled"
	RulePartialTransaction = "transaction-partial"
	RuleNotRun             = "not-run-but-ran"
	RuleReadYourWrites     = "own-write-not-read"
	RuleMixedTransactions  = "transactions-mixed"
	RuleWrongAnswer        = "answer-of-another-request"
	RuleIncompleteAnswer   = "answer-incomplete"
	RuleLimitExceeded      = "share-exceeded"
	RuleRevertedList       = "list-reverted"
)

// Check returns all violations in the history, or nil for a correct run.
func Check(h *History) []Violation {
	var all []Violation
	for _, check := range []func(*History) []Violation{
		checkWrites, checkReads, checkMixedTransactions, checkAnswers, checkCustomerLimits, checkLists,
	} {
		all = append(all, check(h)...)
	}
	return all
}

func violation(rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// checkWrites compares the rows found at the end of the run with the outcomes
// reported to clients. A write of unknown outcome may be present, but only once
// and completely.
func checkWrites(h *History) (all []Violation) {
	for _, w := range h.Writes {
		found := h.Rows[w.Tag]
		switch {
		case w.Outcome == Acknowledged && found == 0:
			all = append(all, violation(RuleLostWrite, "write %s of session %s, acknowledged at %v", w.Tag, w.Session, w.Position))
		case w.Outcome == NotRun && found > 0:
			all = append(all, violation(RuleNotRun, "write %s of session %s left %d rows", w.Tag, w.Session, found))
		case found > w.Rows:
			all = append(all, violation(RuleDuplicateWrite, "write %s of session %s left %d rows, not %d", w.Tag, w.Session, found, w.Rows))
		case found > 0 && found < w.Rows:
			all = append(all, violation(RulePartialTransaction, "write %s of session %s left %d of %d rows", w.Tag, w.Session, found, w.Rows))
		}
	}
	return all
}

// checkReads verifies that sessions read their own writes: a read sees every
// write of its session that was acknowledged before the read began.
func checkReads(h *History) (all []Violation) {
	writes := map[string][]Write{}
	for _, w := range h.Writes {
		if w.Outcome == Acknowledged {
			writes[w.Session] = append(writes[w.Session], w)
		}
	}
	for _, r := range h.Reads {
		if r.Stale {
			continue
		}
		for _, w := range writes[r.Session] {
			if w.End.Before(r.Start) && w.Sequence > r.Seen {
				all = append(all, violation(RuleReadYourWrites, "session %s on host %s saw %d after write %d was acknowledged at %v",
					r.Session, r.Host, r.Seen, w.Sequence, w.Position))
				break
			}
		}
	}
	return all
}

// checkMixedTransactions verifies that no transaction of an instance executed
// statements with different tags.
func checkMixedTransactions(h *History) (all []Violation) {
	type key struct {
		instance    string
		transaction uint64
	}
	tags := map[key]string{}
	for _, r := range h.Executions {
		if r.Tag == "" || r.Transaction == 0 {
			continue
		}
		k := key{r.Instance, r.Transaction}
		if tag, ok := tags[k]; ok && tag != r.Tag {
			all = append(all, violation(RuleMixedTransactions, "transaction %d on %s ran statements of %s and %s", r.Transaction, r.Instance, tag, r.Tag))
			continue
		}
		tags[k] = r.Tag
	}
	return all
}

func checkAnswers(h *History) (all []Violation) {
	for _, a := range h.Answers {
		if a.Got != a.Want {
			all = append(all, violation(RuleWrongAnswer, "session %s asked for %s and got %s", a.Session, a.Want, a.Got))
		}
		if a.GotRows != a.WantRows {
			all = append(all, violation(RuleIncompleteAnswer, "session %s got %d of %d rows for %s", a.Session, a.GotRows, a.WantRows, a.Want))
		}
	}
	return all
}

// checkCustomerLimits verifies that the slot time that a customer uses in any
// window that begins with one of its statements stays within limit and burst.
func checkCustomerLimits(h *History) (all []Violation) {
	for _, s := range h.CustomerLimits {
		var executions []Execution
		for _, r := range h.Executions {
			if r.Customer == s.Customer {
				executions = append(executions, r)
			}
		}
		if v, ok := maxExcess(executions, s.Limit*float64(h.Slots), h.Burst); !ok {
			all = append(all, violation(RuleLimitExceeded, "customer %s used %v beyond its limit of %.3f", s.Customer, v, s.Limit))
		}
	}
	return all
}

// maxExcess returns the largest slot time by which any window exceeds rate and
// burst, and reports whether no window exceeds them. Slot time is charged when
// a statement ends.
func maxExcess(executions []Execution, rate float64, burst time.Duration) (excess time.Duration, ok bool) {
	slices.SortFunc(executions, func(a, b Execution) int { return a.End.Compare(b.End) })
	// level is the fill level of a leaky bucket that drains at rate. Its
	// maximum is the largest use beyond the rate in any window.
	var level time.Duration
	for i, r := range executions {
		if i > 0 {
			drained := time.Duration(rate * float64(r.End.Sub(executions[i-1].End)))
			level = max(0, level-drained)
		}
		level += r.SlotTime
		excess = max(excess, level-burst)
	}
	return excess, excess <= 0
}

// checkLists verifies that no host had an older version of a list object in
// force after a newer one.
func checkLists(h *History) (all []Violation) {
	type key struct{ host, object string }
	lists := slices.Clone(h.Lists)
	slices.SortStableFunc(lists, func(a, b ListVersion) int {
		return a.At.Compare(b.At)
	})
	latest := map[key]ListVersion{}
	for _, l := range lists {
		k := key{l.Host, l.Object}
		if before := latest[k]; before.Version > l.Version {
			all = append(all, violation(RuleRevertedList, "host %s had version %d of %s in force after version %d",
				l.Host, l.Version, l.Object, before.Version))
			continue
		}
		latest[k] = l
	}
	return all
}
