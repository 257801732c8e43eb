package lineowner

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/matryer/is"
)

// Guards against hosts that count as outdated as soon as this host has a new desired
// state, or never while states come in quick succession.
func TestOutdatedStates(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var h stateHistory
	is.True(!h.isOutdated(1, at(0)))
	h.note(3, at(0))
	h.note(3, at(time.Second))
	is.True(!h.isOutdated(1, at(outdatedAfter-1)))
	is.True(h.isOutdated(1, at(outdatedAfter)))
	is.True(!h.isOutdated(3, at(time.Hour)))
	is.True(!h.isOutdated(4, at(time.Hour)))
	is.True(!h.isOutdated(0, at(time.Hour)))
	const pause = outdatedAfter / 5
	began := time.Hour
	for n := range 50 {
		h.note(int64(4+n), at(began+time.Duration(n)*pause))
	}
	last := at(began + 49*pause)
	is.True(h.isOutdated(4+49-6, last))
	is.True(!h.isOutdated(4+49-5, last))
	is.Equal(len(h.entries), 6)
}

// Guards against requests on a route that was removed or moved, which run although this
// host has long known the change, because the host of the session has an older desired
// state (issue 31: a removed route was served ten seconds after its removal).
func TestOwnerChecksRouteOfOutdatedHost(t *testing.T) {
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	f.eventually("a primary", func() bool { _, err := f.write(h, "WRITE a 0"); return err == nil })
	groups := h.lists.desired.Groups
	number := int64(100)
	// replace puts a state with the routes in force and returns its number.
	replace := func(routes map[string]gypsumyard.Route) int64 {
		number += 10
		h.lists.mu.Lock()
		h.lists.desired = &gypsumyard.DesiredState{Number: number, Groups: groups, Routes: routes}
		h.lists.mu.Unlock()
		h.lists.change()
		return number
	}
	run := func(desired int64, class gypsumyard.StatementClass, tx gypsumyard.Result) (gypsumyard.Result, error) {
		p := line.Payload{Consistency: gypsumyard.ConsistencyPrimary, ID: "q", Text: "WRITE a 1"}
		r := &gypsumyard.Request{
			Session: "s1", Customer: "orders", Database: groupName, Class: class, Messages: p.Marshal(), DesiredNumber: desired,
			Transaction: tx.Transaction, Owner: tx.Owner, Deadline: h.clock.Now().Add(3 * time.Second),
		}
		return h.Execute(t.Context(), r, &bytes.Buffer{})
	}
	here := map[string]gypsumyard.Route{"orders": {Database: "orders", Group: groupName}}
	for _, c := range []struct {
		name   string
		routes map[string]gypsumyard.Route
		served bool
	}{
		{"kept", here, true},
		{"removed", nil, false},
		{"moved", map[string]gypsumyard.Route{"orders": {Database: "orders", Group: "other"}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			old := replace(here)
			tx, err := run(old, gypsumyard.StatementBegin, gypsumyard.Result{})
			is.NoErr(err)
			latest := replace(c.routes)
			_, err = run(old, gypsumyard.StatementWrite, gypsumyard.Result{})
			is.NoErr(err) // The other host may learn of the change a little later.
			f.eventually("the end of the time for that", func() bool { return h.states.isOutdated(old, h.clock.Now()) })
			for _, class := range []gypsumyard.StatementClass{gypsumyard.StatementWrite, gypsumyard.StatementBegin} {
				res, err := run(old, class, gypsumyard.Result{})
				if c.served {
					is.NoErr(err)
					_, err = f.end(h, res)
					is.NoErr(err)
					continue
				}
				var e *gypsumyard.Error
				is.True(errors.As(err, &e))
				is.Equal(e.Class, gypsumyard.ClassNotRun)
				is.True(e.NoRetry && e.RetryAfter > 0)
			}
			_, err = run(old, gypsumyard.StatementWrite, tx)
			is.NoErr(err) // The transaction began before the change.
			_, err = f.end(h, tx)
			is.NoErr(err)
			for _, number := range []int64{latest, latest + 1, 0} {
				_, err = run(number, gypsumyard.StatementWrite, gypsumyard.Result{})
				is.NoErr(err)
			}
		})
	}
}

// end rolls back the transaction of the result, if there is one.
func (f *fixture) end(h *hostFixture, tx gypsumyard.Result) (string, error) {
	if tx.Transaction == "" {
		return "", nil
	}
	out, _, err := f.run(h, statement{text: "ROLLBACK", class: gypsumyard.StatementRollback, tx: tx})
	return out, err
}
