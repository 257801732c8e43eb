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
	// requestTimeout is when a client gives up on a request.
	requestTimeout = 10 * time.Second
	// reconnectDelay is the wait after a failed connection attempt.
	reconnectDelay = 20 * time.Millisecond
	// lookupRows is the number of rows that look-ups choose from.
	lookupRows = 500
)

// A client is one session. It sends one request at a time, and opens its
// connection anew at a random host when it breaks.
type client struct {
	site    *site.Site
	kind    *Kind
	name    string
	random  *rand.Rand
	record  *recorder
	conn    *pgx.Conn
	host    string
	written int
	// position is what the last host reported, to be given back at connect.
	position string
}

// statementOutcome sorts an error by what it says of the request.
func statementOutcome(err error) history.Outcome {
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

// connect opens a connection at a random host.
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
	// Half of the sessions come without the position of their last write, so
	// that the bound for unknown positions is used as well.
	if c.position != "" && c.random.IntN(2) == 0 {
		config.RuntimeParams["gypsumyard.position"] = c.position
	}
	c.conn, err = pgx.ConnectConfig(ctx, config)
	return err
}

// leave closes the connection, so that the next request roams.
func (c *client) leave(ctx context.Context) {
	if c.conn == nil {
		return
	}
	if p := c.conn.PgConn().ParameterStatus("gypsumyard.position"); p != "" {
		c.position = p
	}
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// run sends one request that arrived at the given time.
func (c *client) run(arrived time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if c.random.IntN(roamEvery) == 0 {
		c.leave(ctx)
	}
	if err := c.connect(ctx); err != nil {
		c.record.request(c.kind, arrived, statementOutcomeOfConnect(err), err)
		time.Sleep(reconnectDelay)
		return
	}
	outcome, err := c.send(ctx)
	c.record.request(c.kind, arrived, outcome, err)
	// A request that changes hosts may have failed to connect.
	if c.conn == nil || c.conn.IsClosed() {
		c.conn = nil
	} else if p := c.conn.PgConn().ParameterStatus("gypsumyard.position"); p != "" {
		c.position = p
	}
}

// roamEvery is after how many requests on average a session changes hosts.
const roamEvery = 50

// statementOutcomeOfConnect sorts a failed connection attempt: no request was
// sent.
func statementOutcomeOfConnect(error) history.Outcome { return history.NotRun }

func (c *client) send(ctx context.Context) (history.Outcome, error) {
	switch c.kind.Shape {
	case ShapeLookup:
		return c.lookup(ctx)
	case ShapeOwn:
		return c.ownWrite(ctx)
	case ShapeSave:
		return c.save(ctx)
	case ShapeTransaction:
		return c.transaction(ctx)
	default:
		return c.pull(ctx)
	}
}

// lookup reads one row by its key and checks that it is the one asked for.
func (c *client) lookup(ctx context.Context) (history.Outcome, error) {
	id := fmt.Sprintf("row-%d", c.random.IntN(lookupRows))
	var got string
	err := c.conn.QueryRow(ctx, c.sql("SELECT session FROM marks WHERE session = $1"), id).Scan(&got)
	if err == nil {
		c.record.answer(c.kind.Database, history.Answer{Session: c.name, Want: id, Got: got, WantRows: 1, GotRows: 1})
	}
	return statementOutcome(err), err
}

// ownWrite writes a new number with one request and reads it with the next,
// over another connection every other time.
func (c *client) ownWrite(ctx context.Context) (history.Outcome, error) {
	if c.random.IntN(5) == 0 {
		if outcome, err := c.save(ctx); err != nil {
			return outcome, err
		}
		if c.random.IntN(2) == 0 {
			c.leave(ctx)
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
	return statementOutcome(err), err
}

// save writes a row and the session's mark in one request.
func (c *client) save(ctx context.Context) (history.Outcome, error) {
	w := c.newWrite(1)
	marks := "not-repeatable"
	if c.kind.Priority {
		marks += ", priority"
	}
	sql := c.sql(fmt.Sprintf("/* gypsumyard: %s */ INSERT INTO saves VALUES ('%s', '%s', %d, 'KLV-1', 5000)", marks, w.Tag, w.Session, w.Sequence)) +
		"; " + c.sql(c.mark(w))
	_, err := c.conn.PgConn().Exec(ctx, sql).ReadAll()
	return c.finish(w, err), err
}

// mark returns the statement that sets the session's mark. A write of unknown
// outcome that takes effect late must not undo a later one.
func (c *client) mark(w history.Write) string {
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
		return c.finishUncommitted(w, err), err
	}
	for part := range 2 {
		_, err := c.conn.Exec(ctx, c.sql("INSERT INTO saves VALUES ($1, $2, $3, $4, $5)"), w.Tag, w.Session, w.Sequence, "KLV-2", part)
		if err != nil {
			outcome := c.finishUncommitted(w, err)
			_, _ = c.conn.Exec(ctx, "ROLLBACK")
			return outcome, err
		}
	}
	tag, err := c.conn.Exec(ctx, "COMMIT")
	if err == nil && !strings.HasPrefix(tag.String(), "COMMIT") {
		err = fmt.Errorf("COMMIT answered %s", tag)
		return c.finishUncommitted(w, err), err
	}
	return c.finish(w, err), err
}

// pull reads many rows over a long time.
func (c *client) pull(ctx context.Context) (history.Outcome, error) {
	sql := c.sql(fmt.Sprintf("/* cost=%v */ /* gypsumyard: long */ SELECT generate_series FROM generate_series(1, %d)", c.kind.Cost, c.kind.Rows))
	rows, err := c.conn.Query(ctx, sql)
	if err != nil {
		return statementOutcome(err), err
	}
	got := 0
	for rows.Next() {
		got++
	}
	err = rows.Err()
	if err == nil {
		c.record.answer(c.kind.Database, history.Answer{Session: c.name, Want: "pull", Got: "pull", WantRows: c.kind.Rows, GotRows: got})
	}
	return statementOutcome(err), err
}

// customerMark begins the comment that names the customer in the journal of an
// instance.
const customerMark = "/* customer "

// sql adds the name of the customer to a statement.
func (c *client) sql(statement string) string {
	return customerMark + c.kind.Customer + " */ " + statement
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

// finish records the outcome of a write. One that set no mark is not expected
// by reads.
func (c *client) finish(w history.Write, err error) history.Outcome {
	w.End = time.Now()
	w.Outcome = statementOutcome(err)
	c.record.write(c.kind, w)
	return w.Outcome
}

// finishUncommitted records a transaction whose COMMIT was not sent: none of
// its rows may be found.
func (c *client) finishUncommitted(w history.Write, err error) history.Outcome {
	w.End = time.Now()
	w.Outcome = history.NotRun
	c.record.write(c.kind, w)
	return statementOutcome(err)
}
