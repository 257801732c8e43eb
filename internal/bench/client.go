package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/history"
	"github.com/gypsumyard/gypsumyard/internal/site"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// requestTimeout limits each request of a client.
	requestTimeout = 10 * time.Second
	// reconnectDelay is the wait after a failed connection attempt.
	reconnectDelay = 20 * time.Millisecond
	// lookupRows is the number of rows among which look-ups choose.
	lookupRows = 500
)

// A client is one session. It sends one request at a time and reconnects to a
// random host when its connection breaks.
type client struct {
	site    *site.Site
	kind    *Kind
	name    string
	random  *rand.Rand
	record  *recorder
	conn    *pgx.Conn
	host    string
	written int
	// position is the position that the last host reported. Some reconnects
	// pass it as a startup parameter.
	position string
}

// outcomeOf returns the outcome of a request that err implies.
func outcomeOf(err error) history.Outcome {
	if err == nil {
		return history.Acknowledged
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		if pgconn.SafeToRetry(err) {
			return history.NotRun
		}
		return history.Unknown
	}
	switch e.Code {
	case "GY001", "53300", "53400", "57P01", "57P03":
		return history.NotRun
	default:
		return history.Unknown
	}
}

// connect opens a connection to a random host unless one is open.
func (c *client) connect(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	hosts := c.site.Hosts()
	if len(hosts) == 0 {
		return errors.New("no host runs")
	}
	h := hosts[c.random.IntN(len(hosts))]
	c.host = h.Settings().Host.Name
	config, err := pgx.ParseConfig(c.site.URL(h, c.kind.Login, c.kind.Customer, c.kind.Database))
	if err != nil {
		return err
	}
	// Half of the reconnects omit the position of the last write, so that the
	// bound for unknown positions is exercised as well.
	if c.position != "" && c.random.IntN(2) == 0 {
		config.RuntimeParams["gypsumyard.position"] = c.position
	}
	c.conn, err = pgx.ConnectConfig(ctx, config)
	return err
}

// disconnect closes the connection, so that the next request connects to a
// random host.
func (c *client) disconnect(ctx context.Context) {
	if c.conn == nil {
		return
	}
	if p := c.conn.PgConn().ParameterStatus("gypsumyard.position"); p != "" {
		c.position = p
	}
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// run runs one request that arrived at the given time.
func (c *client) run(arrived time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if c.random.IntN(reconnectEvery) == 0 {
		c.disconnect(ctx)
	}
	if err := c.connect(ctx); err != nil {
		c.record.request(c.kind, arrived, connectOutcome(err), err)
		time.Sleep(reconnectDelay)
		return
	}
	outcome, err := c.send(ctx)
	c.record.request(c.kind, arrived, outcome, err)
	// A request that reconnects in between may have failed to connect.
	if c.conn == nil || c.conn.IsClosed() {
		c.conn = nil
	} else if p := c.conn.PgConn().ParameterStatus("gypsumyard.position"); p != "" {
		c.position = p
	}
}

// reconnectEvery is the mean number of requests after which a session reconnects
// to a random host.
const reconnectEvery = 50

// connectOutcome returns the outcome of a request whose connection attempt
// failed: the request was not sent.
func connectOutcome(error) history.Outcome { return history.NotRun }

func (c *client) send(ctx context.Context) (history.Outcome, error) {
	switch c.kind.Operation {
	case OperationLookup:
		return c.lookup(ctx)
	case OperationReadOwnWrite:
		return c.ownWrite(ctx)
	case OperationSave:
		return c.save(ctx)
	case OperationTransaction:
		return c.transaction(ctx)
	default:
		return c.scan(ctx)
	}
}

// lookup reads one row by its key and records whether it is the requested one.
func (c *client) lookup(ctx context.Context) (history.Outcome, error) {
	id := fmt.Sprintf("row-%d", c.random.IntN(lookupRows))
	var got string
	err := c.conn.QueryRow(ctx, c.sql("SELECT session FROM marks WHERE session = $1"), id).Scan(&got)
	if err == nil {
		c.record.answer(c.kind.Database, history.Answer{Session: c.name, Want: id, Got: got, WantRows: 1, GotRows: 1})
	}
	return outcomeOf(err), err
}

// ownWrite reads the session's highest sequence number. One time in five it
// writes a new number first, and reads it over another connection every other
// time.
func (c *client) ownWrite(ctx context.Context) (history.Outcome, error) {
	if c.random.IntN(5) == 0 {
		if outcome, err := c.save(ctx); err != nil {
			return outcome, err
		}
		if c.random.IntN(2) == 0 {
			c.disconnect(ctx)
			if err := c.connect(ctx); err != nil {
				return history.NotRun, err
			}
		}
	}
	r := history.Read{Session: c.name, Host: c.host, Start: time.Now()}
	err := c.conn.QueryRow(ctx, c.sql("SELECT sequence FROM marks WHERE session = $1"), c.name).Scan(&r.Seen)
	if errors.Is(err, pgx.ErrNoRows) {
		err = nil
	}
	if err == nil {
		r.End = time.Now()
		c.record.read(c.kind.Database, r)
	}
	return outcomeOf(err), err
}

// save writes a row and the session's mark in one request.
func (c *client) save(ctx context.Context) (history.Outcome, error) {
	w := c.newWrite(1)
	directives := "not-repeatable"
	if c.kind.Priority {
		directives += ", priority"
	}
	sql := c.sql(fmt.Sprintf("/* gypsumyard: %s */ INSERT INTO saves VALUES ('%s', '%s', %d, 'KLV-1', 5000)", directives, w.Tag, w.Session, w.Sequence)) +
		"; " + c.sql(c.updateMark(w))
	_, err := c.conn.PgConn().Exec(ctx, sql).ReadAll()
	return c.recordOutcome(w, err), err
}

// updateMark returns the statement that updates the session's mark, which is its
// highest sequence number. A write of unknown outcome that takes effect late must
// not revert a later one.
func (c *client) updateMark(w history.Write) string {
	return fmt.Sprintf("UPDATE marks SET sequence = %d WHERE session = '%s' AND sequence < %d", w.Sequence, w.Session, w.Sequence)
}

// transaction writes two rows with the same tag in one transaction.
func (c *client) transaction(ctx context.Context) (history.Outcome, error) {
	w := c.newWrite(2)
	begin := "BEGIN"
	if c.kind.Priority {
		begin = "/* gypsumyard: priority */ BEGIN"
	}
	if _, err := c.conn.Exec(ctx, begin); err != nil {
		return c.recordUncommitted(w, err), err
	}
	for part := range 2 {
		_, err := c.conn.Exec(ctx, c.sql("INSERT INTO saves VALUES ($1, $2, $3, $4, $5)"), w.Tag, w.Session, w.Sequence, "KLV-2", part)
		if err != nil {
			outcome := c.recordUncommitted(w, err)
			_, _ = c.conn.Exec(ctx, "ROLLBACK")
			return outcome, err
		}
	}
	tag, err := c.conn.Exec(ctx, "COMMIT")
	if err == nil && !strings.HasPrefix(tag.String(), "COMMIT") {
		err = fmt.Errorf("COMMIT answered %s", tag)
		return c.recordUncommitted(w, err), err
	}
	return c.recordOutcome(w, err), err
}

// scan reads many rows in a long-running statement.
func (c *client) scan(ctx context.Context) (history.Outcome, error) {
	sql := c.sql(fmt.Sprintf("/* cost=%v */ /* gypsumyard: long */ SELECT generate_series FROM generate_series(1, %d)", c.kind.Cost, c.kind.Rows))
	rows, err := c.conn.Query(ctx, sql)
	if err != nil {
		return outcomeOf(err), err
	}
	got := 0
	for rows.Next() {
		got++
	}
	err = rows.Err()
	if err == nil {
		c.record.answer(c.kind.Database, history.Answer{Session: c.name, Want: "pull", Got: "pull", WantRows: c.kind.Rows, GotRows: got})
	}
	return outcomeOf(err), err
}

// customerComment is the beginning of the comment that identifies the customer
// in the journal of an instance.
const customerComment = "/* customer "

// sql adds the name of the customer to a statement.
func (c *client) sql(statement string) string {
	return customerComment + c.kind.Customer + " */ " + statement
}

func (c *client) newWrite(rows int) history.Write {
	c.written++
	return history.Write{
		Session:  c.name,
		Tag:      fmt.Sprintf("%s-%d", c.name, c.written),
		Sequence: c.written,
		Rows:     rows,
		Start:    time.Now(),
	}
}

// recordOutcome records the outcome of a write. Transactions update no mark, but
// their sessions never read, so no read expects them.
func (c *client) recordOutcome(w history.Write, err error) history.Outcome {
	w.End = time.Now()
	w.Outcome = outcomeOf(err)
	c.record.write(c.kind, w)
	return w.Outcome
}

// recordUncommitted records a transaction whose COMMIT was not sent, or was
// answered with a rollback. None of its rows may be found.
func (c *client) recordUncommitted(w history.Write, err error) history.Outcome {
	w.End = time.Now()
	w.Outcome = history.NotRun
	c.record.write(c.kind, w)
	return outcomeOf(err)
}
