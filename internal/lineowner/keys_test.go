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

// Guards against a request that runs although this host knows that its key was withdrawn
// or moved, and against one that is rejected by an older desired state than that of the
// session's host.
func TestOwnerChecksKey(t *testing.T) {
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	f.eventually("a primary", func() bool { _, err := f.write(h, "WRITE a 0"); return err == nil })
	groups := h.lists.desired.Groups
	state := func(number int64, keyed bool, keys map[string]string) *gypsumyard.DesiredState {
		d := &gypsumyard.DesiredState{Number: number, Keyed: keyed, Keys: map[gypsumyard.KeyHash]string{}, Groups: groups}
		d.Routes = map[string]gypsumyard.Route{"closed": {}, "open": {Open: true}}
		for k, c := range keys {
			d.Keys[gypsumyard.HashKey(k)] = c
		}
		return d
	}
	held := map[string]string{"key": "mill"}
	for _, c := range []struct {
		name    string
		desired *gypsumyard.DesiredState
		route   string
		key     bool
		// class is that of the error, empty if the request runs. valid indicates that
		// the caller may try again.
		class gypsumyard.ErrorClass
		valid bool
	}{
		{"same state", state(7, true, held), "closed", true, "", false},
		{"later state", state(8, true, held), "closed", true, "", false},
		{"withdrawn", state(8, true, nil), "closed", true, gypsumyard.ClassAuth, false},
		{"withdrawn by the same state", state(7, true, nil), "closed", true, gypsumyard.ClassAuth, false},
		{"added later than this host's state", state(6, true, nil), "closed", true, "", false},
		{"moved", state(8, true, map[string]string{"key": "dairy"}), "closed", true, gypsumyard.ClassAuth, true},
		{"withdrawn, open route", state(8, true, nil), "open", true, gypsumyard.ClassAuth, true},
		{"no customers any more", state(8, false, nil), "closed", true, gypsumyard.ClassAuth, true},
		{"session without key", state(8, true, nil), "closed", false, "", false},
	} {
		for _, inTransaction := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				run := func(text string, class gypsumyard.StatementClass, tx gypsumyard.Result) (gypsumyard.Result, error) {
					p := line.Payload{Consistency: gypsumyard.ConsistencyPrimary, ID: "q", Text: text}
					if c.key {
						p.KeyHolder, p.Key, p.StateNumber = "mill", gypsumyard.HashKey("key"), 7
					}
					r := &gypsumyard.Request{
						Session: "s1", Customer: c.route, Database: groupName, Class: class, Messages: p.Marshal(),
						Transaction: tx.Transaction, Owner: tx.Owner, Deadline: h.clock.Now().Add(3 * time.Second),
					}
					return h.Execute(t.Context(), r, &bytes.Buffer{})
				}
				set := func(d *gypsumyard.DesiredState) {
					h.lists.mu.Lock()
					defer h.lists.mu.Unlock()
					h.lists.desired = d
				}
				class, tx := gypsumyard.StatementWrite, gypsumyard.Result{}
				if inTransaction {
					set(state(7, true, held))
					var err error
					tx, err = run("WRITE a 1", gypsumyard.StatementBegin, tx)
					is.NoErr(err)
				}
				set(c.desired)
				res, err := run("WRITE a 2", class, tx)
				open := func() int {
					h.mu.Lock()
					g := h.groups[groupName]
					h.mu.Unlock()
					g.mu.Lock()
					defer g.mu.Unlock()
					return len(g.transactions)
				}
				if c.class == "" {
					is.NoErr(err)
					is.Equal(res.Transaction, tx.Transaction)
					if inTransaction {
						_, err := run("ROLLBACK", gypsumyard.StatementWrite, tx)
						is.NoErr(err)
					}
					is.Equal(open(), 0)
					return
				}
				var e *gypsumyard.Error
				is.True(errors.As(err, &e))
				is.Equal(e.Class, c.class)
				is.True(e.NotRun())
				is.Equal(e.RetryAfter > 0, c.valid)
				is.Equal(open(), 0)
			})
		}
	}
}
