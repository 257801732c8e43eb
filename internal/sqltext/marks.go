package sqltext

import (
	"fmt"
	"strings"
	"time"
)

const markPrefix = "gypsumyard:"

// Marks are the execution hints for a statement that comments of the form
// /* gypsumyard: priority, long */ give.
type Marks struct {
	// NotRepeatable requires that the statement runs at most once.
	NotRepeatable bool
	Priority      bool
	Long          bool
	// MaxStaleness is nil if no mark sets it.
	MaxStaleness *time.Duration
}

// Merge combines the marks of two statements of one request. The smaller
// staleness applies.
func (m Marks) Merge(n Marks) Marks {
	m.NotRepeatable = m.NotRepeatable || n.NotRepeatable
	m.Priority = m.Priority || n.Priority
	m.Long = m.Long || n.Long
	if m.MaxStaleness == nil || n.MaxStaleness != nil && *n.MaxStaleness < *m.MaxStaleness {
		m.MaxStaleness = n.MaxStaleness
	}
	return m
}

// parseMarks parses the marks in the comments. An unknown mark is an error, so
// that a statement with a mistyped not-repeatable is not taken as repeatable.
func parseMarks(comments []string) (m Marks, err error) {
	for _, c := range comments {
		list, ok := strings.CutPrefix(strings.TrimSpace(c), markPrefix)
		if !ok {
			continue
		}
		for mark := range strings.SplitSeq(list, ",") {
			if err := m.parse(strings.TrimSpace(mark)); err != nil {
				return m, err
			}
		}
	}
	return m, nil
}

func (m *Marks) parse(mark string) error {
	name, value, _ := strings.Cut(mark, "=")
	switch strings.TrimSpace(name) {
	case "":
	case "not-repeatable":
		m.NotRepeatable = true
	case "priority":
		m.Priority = true
	case "long":
		m.Long = true
	case "max-staleness":
		d, err := time.ParseDuration(strings.TrimSpace(value))
		if err != nil || d < 0 {
			return fmt.Errorf("mark max-staleness=%q: want a duration such as 30s", value)
		}
		m.MaxStaleness = &d
	default:
		return fmt.Errorf("unknown mark %q", mark)
	}
	return nil
}
