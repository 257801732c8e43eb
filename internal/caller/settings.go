package caller

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
	"github.com/jackc/pgx/v5/pgproto3"
)

// maxSettingBytes is the maximum total length of the name and value of a
// setting.
const maxSettingBytes = kib

// maxChanges is the maximum number of settings and savepoints that are recorded
// for one transaction.
const maxChanges = 10_000

// settings maps the parameters that a session has set, by lower-case name, to
// their values.
type settings map[string]string

// list returns the settings sorted by name.
func (s settings) list() []gypsumyard.Setting {
	if len(s) == 0 {
		return nil
	}
	list := make([]gypsumyard.Setting, 0, len(s))
	for _, name := range slices.Sorted(maps.Keys(s)) {
		list = append(list, gypsumyard.Setting{Name: name, Value: s[name]})
	}
	return list
}

// changesFull reports whether the limit of recorded changes is reached.
func (t *transaction) changesFull() bool { return len(t.changes) >= maxChanges }

// hasRoom reports whether the limits allow the statement's setting.
func (s settings) hasRoom(st *sqltext.Statement, limits *Limits) bool {
	_, replaced := s[st.Name]
	return len(st.Value)+len(st.Name) <= maxSettingBytes && (replaced || st.Default || len(s) < limits.Settings)
}

func (s settings) apply(c change) {
	if c.reset {
		delete(s, c.name)
		return
	}
	s[c.name] = c.value
}

type changeKind uint8

const (
	changeSet changeKind = iota
	changeSavepoint
)

// A change is a setting made within a transaction, or a savepoint to which
// settings can be rolled back.
type change struct {
	kind  changeKind
	name  string
	value string
	reset bool
}

// trackSavepoint applies SAVEPOINT, RELEASE or ROLLBACK TO to the recorded
// changes.
func (t *transaction) trackSavepoint(s *sqltext.Statement) {
	if s.Kind == sqltext.KindSavepoint {
		t.changes = append(t.changes, change{kind: changeSavepoint, name: s.Name})
		return
	}
	for i := len(t.changes) - 1; i >= 0; i-- {
		if c := t.changes[i]; c.kind != changeSavepoint || c.name != s.Name {
			continue
		}
		if s.Kind == sqltext.KindRollbackTo {
			t.changes = t.changes[:i+1]
			return
		}
		kept := slices.DeleteFunc(t.changes[i:], func(c change) bool { return c.kind == changeSavepoint })
		t.changes = t.changes[:i+len(kept)]
		return
	}
}

// applyChanges applies the settings of a committed transaction to the session.
func (x *session) applyChanges(changes []change) {
	for _, c := range changes {
		if c.kind == changeSet {
			x.settings.apply(c)
		}
	}
}

// reportedParameters are the parameters that are reported to clients with
// ParameterStatus, by lower-case name: the reported name and the initial value.
var reportedParameters = map[string]struct{ name, initial string }{
	"client_encoding":               {"client_encoding", "UTF8"},
	"application_name":              {"application_name", ""},
	"datestyle":                     {"DateStyle", "ISO, MDY"},
	"intervalstyle":                 {"IntervalStyle", "postgres"},
	"timezone":                      {"TimeZone", "UTC"},
	"default_transaction_read_only": {"default_transaction_read_only", "off"},
}

// reportParameter sends the value of a parameter to the client if the parameter
// is one of reportedParameters.
func (x *session) reportParameter(name string) {
	r, ok := reportedParameters[name]
	if !ok {
		return
	}
	value, set := x.settings[name]
	if !set {
		value = r.initial
	}
	x.send(&pgproto3.ParameterStatus{Name: r.name, Value: value})
}

// changedReportedParams returns the reported parameters that the transaction
// has changed. At the commit, the upstream undoes SET LOCAL and reports the
// former values, which are wrong for the session.
func (x *session) changedReportedParams() map[string]bool {
	var hide map[string]bool
	for _, c := range x.tx.changes {
		if r, ok := reportedParameters[c.name]; ok && c.kind == changeSet {
			if hide == nil {
				hide = map[string]bool{}
			}
			hide[r.name] = true
		}
	}
	return hide
}

// parseTimeout parses a value of statement_timeout: a number with a unit, or in
// milliseconds if it has none.
func parseTimeout(value string) (time.Duration, error) {
	value = strings.TrimSpace(value)
	digits := strings.TrimRight(value, "abcdefghijklmnopqrstuvwxyz ")
	unit := strings.TrimSpace(value[len(digits):])
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil {
		return 0, fmt.Errorf("invalid timeout %q", value)
	}
	units := map[string]time.Duration{
		"": time.Millisecond, "us": time.Microsecond, "ms": time.Millisecond, "s": time.Second,
		"min": time.Minute, "h": time.Hour, "d": 24 * time.Hour,
	}
	d, ok := units[unit]
	if !ok || n < 0 || n*float64(d) > float64(1<<62) {
		return 0, fmt.Errorf("invalid timeout %q", value)
	}
	return time.Duration(n * float64(d)), nil
}
