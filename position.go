package gypsumyard

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// A Term numbers the periods in which one instance is the primary of a
// database. Terms only increase. Zero means no term.
//
// Each version of a database's list of instances has terms of its own, which are
// higher than those of all versions before: a fence for a term of a later version
// thereby excludes the hosts that have an older list.
type Term uint64

// termsPerList is the number of terms of one version of a list. Failed promotions
// use up to about 40 terms a second, so it lasts for 290 days of them. Instances
// store terms as 64-bit signed integers.
const termsPerList = 1_000_000_000

// MaxListVersion is the highest version of a list whose terms instances can store.
const MaxListVersion = 1<<63/termsPerList - 1

// ListVersion returns the version of the list of instances that the term belongs
// to. It is zero for the terms of a list that was never edited.
func (t Term) ListVersion() uint64 { return uint64(t) / termsPerList }

// NextTerm returns the lowest term of the list's version that is higher than
// highest. It reports false if there is none, because highest belongs to a later
// version or is the last one.
func NextTerm(highest Term, listVersion uint64) (t Term, ok bool) {
	t = max(highest+1, Term(listVersion)*termsPerList)
	return t, t.ListVersion() == listVersion
}

// An Offset is the index of a record in a database's log. The first record has
// offset 1.
type Offset uint64

// A Position identifies a record of a database's log by the term in which the
// record was written and its offset. The zero Position precedes every record.
type Position struct {
	Term   Term   `json:"term"`
	Offset Offset `json:"offset"`
}

// IsZero reports whether p precedes every record.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions by term and then by offset. A promotion prefers the
// instance whose log ends at the highest position in this order.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// String returns the position in the form "term/offset".
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.Offset)
}

// ParsePosition parses the format that [Position.String] returns.
func ParsePosition(s string) (p Position, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("parse position %q: %w", s, err)
		}
	}()
	term, offset, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, fmt.Errorf("want term/offset")
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, err
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, err
	}
	return Position{Term: Term(t), Offset: Offset(o)}, nil
}

// A TermStart is the offset at which a term begins in one instance's log.
type TermStart struct {
	Term  Term   `json:"term"`
	Start Offset `json:"start"`
}

// A History lists the terms of one instance's log in ascending order.
type History []TermStart

// Contains reports whether the log with history h contains the record at p, when
// the log is applied up to the offset applied. A record of an older term at or
// after the start of the next term is not contained: the promotion truncated it.
func (h History) Contains(applied Offset, p Position) bool {
	if p.IsZero() {
		return true
	}
	if p.Offset > applied {
		return false
	}
	for i, t := range h {
		if t.Term != p.Term {
			continue
		}
		if i+1 < len(h) && p.Offset >= h[i+1].Start {
			return false
		}
		return p.Offset >= t.Start
	}
	return false
}
