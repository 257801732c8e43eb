package scenario

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/history"
)

func (c *client) tag() string {
	c.sequence++
	return fmt.Sprintf("tag:%s:%d", c.name, c.sequence)
}

func (c *client) insert(tag string) string {
	return fmt.Sprintf("/* %s */ INSERT INTO saves (tag, session, sequence, rug, value_cents) VALUES ('%s', '%s', %d, 'ardabil', 100)",
		tag, tag, c.name, c.sequence)
}

// record records a write of the client and returns its outcome.
func (c *client) record(tag string, rows int, a answer, single bool) string {
	p, _ := gypsumyard.ParsePosition(c.session.position())
	c.recorder.write(history.Write{
		Session: c.name, Tag: tag, Sequence: c.sequence, Rows: rows, Outcome: outcomeOf(a.state),
		Start: a.start, End: a.end, Position: p,
	}, single)
	return c.recordError(a.state, a.err)
}

func writeOnce(_ context.Context, c *client) string {
	tag := c.tag()
	return c.record(tag, 1, c.session.run(context.Background(), c.insert(tag)), true)
}

func writeNotRepeatable(_ context.Context, c *client) string {
	tag := c.tag()
	return c.record(tag, 1, c.session.run(context.Background(), "/* gypsumyard: not-repeatable */ "+c.insert(tag)), true)
}

// writeTransaction writes two rows in one transaction, one request each.
func writeTransaction(_ context.Context, c *client) string {
	tag := c.tag()
	ctx := context.Background()
	a := answer{start: time.Now()}
	for _, statement := range []string{"BEGIN", c.insert(tag), c.insert(tag)} {
		if a = c.session.run(ctx, statement); a.err != nil {
			break
		}
	}
	if a.err == nil {
		return c.record(tag, 2, c.session.run(ctx, "COMMIT"), false)
	}
	// No COMMIT was sent, so the transaction has no effect, whatever the outcome
	// of the statement.
	state := a.state
	if outcomeOf(state) == history.Unknown {
		a.state = "aborted"
	}
	c.record(tag, 2, a, false)
	if !c.session.conn.PgConn().IsClosed() {
		c.session.run(ctx, "ROLLBACK")
	}
	return c.recordError(state, a.err)
}

// writeThenReadElsewhere writes, reconnects to another host with the session's
// position, and reads.
func writeThenReadElsewhere(ctx context.Context, c *client) string {
	if state := writeOnce(ctx, c); state != "ok" {
		return state
	}
	c.disconnect()
	if !c.dial(ctx) {
		return "ok"
	}
	return readOnce(ctx, c)
}

// readOnce reads the client's highest sequence number.
func readOnce(_ context.Context, c *client) string {
	a := c.session.run(context.Background(), fmt.Sprintf("SELECT max(sequence) FROM saves WHERE session = '%s'", c.name))
	if a.err != nil {
		return c.recordError(a.state, a.err)
	}
	seen, _ := strconv.Atoi(a.rows)
	c.recorder.read(history.Read{Session: c.name, Host: c.session.host, Seen: seen, Start: a.start, End: a.end})
	return "ok"
}

// uniqueSelect returns a statement whose response differs from those of all
// other requests, and the value in it.
func (c *client) uniqueSelect(cost string) (statement, want string) {
	c.sequence++
	want = fmt.Sprintf("%s:%d", c.name, c.sequence)
	return fmt.Sprintf("/* cost=%s */ SELECT '%s'; SELECT repeat('%s,', 50)", cost, want, want), want
}

func selectUnique(_ context.Context, c *client) string {
	statement, want := c.uniqueSelect("1ms")
	a := c.session.run(context.Background(), statement)
	if a.err != nil {
		return c.recordError(a.state, a.err)
	}
	c.recordAnswer(a, want)
	return "ok"
}

func (c *client) recordAnswer(a answer, want string) {
	whole := want + "; "
	for range 50 {
		whole += want + ","
	}
	c.recorder.answer(history.Answer{Session: c.name, Want: whole, Got: a.rows, WantRows: 2, GotRows: a.count})
}

// cancelSteps are the delays after which selectAndCancel cancels, in turn, and
// the run times of its statements. They make some responses complete despite the
// cancel request, and some late.
var cancelSteps = []struct {
	after time.Duration
	cost  string
}{{3 * time.Millisecond, "3ms"}, {3 * time.Millisecond, "100ms"}, {30 * time.Millisecond, "60ms"}, {60 * time.Millisecond, "200ms"}}

// hangTimeout is how long a request may remain without a response. An owner
// aborts a cancelled statement on a silent connection after 2 s, and one of
// known run time after some seconds.
const hangTimeout = 20 * time.Second

// selectAndCancel cancels its request while it runs. If the response is complete
// nevertheless, it must belong to the request.
func selectAndCancel(_ context.Context, c *client) string {
	step := cancelSteps[c.sequence%len(cancelSteps)]
	statement, want := c.uniqueSelect(step.cost)
	r := c.fixture.startRequest(c.session, statement)
	select {
	case <-r.done:
	case <-time.After(step.after):
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		_ = c.session.conn.PgConn().CancelRequest(ctx)
		cancel()
	}
	a, err := r.wait(hangTimeout)
	if err != nil {
		return c.recordError("hangs", err)
	}
	if a.err != nil {
		return c.recordError(a.state, a.err)
	}
	c.recordAnswer(a, want)
	return "ok"
}

// checkSetting verifies that a session parameter keeps the value that the client
// has set or, for every second client, which sets none, the startup value.
func checkSetting(_ context.Context, c *client) string {
	c.sequence++
	want := "start"
	if strings.HasSuffix(c.name, "1") || strings.HasSuffix(c.name, "3") {
		want = fmt.Sprintf("%s:%d", c.name, c.sequence)
		if a := c.session.run(context.Background(), fmt.Sprintf("SET application_name = '%s'", want)); a.err != nil {
			return c.recordError(a.state, a.err)
		}
	}
	for range 2 {
		a := c.session.run(context.Background(), "SELECT current_setting('application_name'), 1")
		if a.err != nil {
			return c.recordError(a.state, a.err)
		}
		c.recorder.answer(history.Answer{Session: c.name, Want: want + "|1", Got: a.rows, WantRows: 1, GotRows: a.count})
	}
	return "ok"
}
