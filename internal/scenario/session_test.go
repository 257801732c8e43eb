package scenario

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// broken takes the place of the SQLSTATE if a connection ended without one.
const broken = "broken"

// A session is one connection of a caller.
type session struct {
	host string
	conn *pgx.Conn
	// extended indicates that statements use the extended query protocol.
	extended bool
}

// A credential is a login with its password.
type credential struct{ login, customer, password string }

// parseCredential parses LOGIN[:PASSWORD]@CUSTOMER. The password defaults to the
// name of the login.
func parseCredential(s string) (c credential, err error) {
	user, customer, ok := strings.Cut(s, "@")
	if !ok {
		return c, fmt.Errorf("%q has no form LOGIN@CUSTOMER", s)
	}
	login, password, ok := strings.Cut(user, ":")
	if !ok {
		password = login
	}
	return credential{login, customer, password}, nil
}

// connect opens a session with startup parameters. protocol=extended is not a
// startup parameter: it selects the extended query protocol.
func (fx *fixture) connect(ctx context.Context, host, user, database string, parameters map[string]string) (*session, error) {
	h, err := fx.settings(host)
	if err != nil {
		return nil, err
	}
	c, err := parseCredential(user)
	if err != nil {
		return nil, err
	}
	settings, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", h.Listen.Callers, database))
	if err != nil {
		return nil, err
	}
	settings.User, settings.Password = c.login+"@"+c.customer, c.password
	parameters = maps.Clone(parameters)
	extended := parameters["protocol"] == "extended"
	delete(parameters, "protocol")
	maps.Copy(settings.RuntimeParams, parameters)
	settings.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	conn, err := pgx.ConnectConfig(ctx, settings)
	if err != nil {
		return nil, err
	}
	return &session{host: host, conn: conn, extended: extended}, nil
}

// abort closes the connection without a Terminate message, as the crash of a
// client does.
func (s *session) abort() { _ = s.conn.PgConn().Conn().Close() }

// position returns the session's position as last reported by the proxy.
func (s *session) position() string { return s.conn.PgConn().ParameterStatus("gypsumyard.position") }

// An answer is the response to one request.
type answer struct {
	// rows is the text of all rows, "a|b; c|d", or "-".
	rows  string
	count int
	// state is the SQLSTATE of a failure, or broken, or empty.
	state string
	err   error
	start time.Time
	end   time.Time
}

// run sends statements and reads the complete response.
func (s *session) run(ctx context.Context, statements string) answer {
	a := answer{start: time.Now()}
	if s.extended {
		r := s.conn.PgConn().ExecParams(ctx, statements, nil, nil, nil, nil).Read()
		a.setResults([]*pgconn.Result{r}, r.Err)
	} else {
		results, err := s.conn.PgConn().Exec(ctx, statements).ReadAll()
		a.setResults(results, err)
	}
	a.end = time.Now()
	return a
}

func (a *answer) setResults(results []*pgconn.Result, err error) {
	var lines []string
	for _, r := range results {
		for _, row := range r.Rows {
			var columns []string
			for _, c := range row {
				columns = append(columns, text(c))
			}
			lines = append(lines, strings.Join(columns, "|"))
		}
	}
	a.count = len(lines)
	a.rows = "-"
	if len(lines) > 0 {
		a.rows = strings.Join(lines, "; ")
	}
	a.err = err
	a.state = stateOf(err)
}

func text(column []byte) string {
	if column == nil {
		return "null"
	}
	return string(column)
}

// stateOf returns the SQLSTATE of an error, or broken if it has none.
func stateOf(err error) string {
	var e *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &e):
		return e.Code
	}
	return broken
}

// An expectation describes the response that a script expects.
type expectation struct {
	rows    string
	hasRows bool
	states  []string
}

// parseExpectation parses [-> ROWS | fails SQLSTATE,...].
func parseExpectation(args []string) (x expectation, err error) {
	switch {
	case len(args) == 0:
		return x, nil
	case len(args) == 2 && args[0] == "->":
		return expectation{rows: args[1], hasRows: true}, nil
	case len(args) == 2 && args[0] == "fails":
		return expectation{states: strings.Split(args[1], ",")}, nil
	}
	return x, fmt.Errorf("expected answer %q is neither -> ROWS nor fails SQLSTATE", args)
}

// check compares a response with the expectation.
func (x expectation) check(a answer) error {
	if len(x.states) > 0 {
		for _, state := range x.states {
			if a.state == state || state == "ok" && a.state == "" {
				return nil
			}
		}
		return fmt.Errorf("want SQLSTATE %v, got %q (%v)", x.states, a.state, a.err)
	}
	if a.err != nil {
		return fmt.Errorf("failed with %s: %w", a.state, a.err)
	}
	if x.hasRows && a.rows != x.rows {
		return fmt.Errorf("want rows %q, got %q", x.rows, a.rows)
	}
	return nil
}

// A request holds statements that run in the background.
type request struct {
	done   chan struct{}
	answer answer
}

func (fx *fixture) startRequest(s *session, statements string) *request {
	r := &request{done: make(chan struct{})}
	fx.background.Go(func() {
		defer close(r.done)
		r.answer = s.run(context.Background(), statements)
	})
	return r
}

// wait returns the response, or an error if it does not arrive within d.
func (r *request) wait(d time.Duration) (answer, error) {
	select {
	case <-r.done:
		return r.answer, nil
	case <-time.After(d):
		return answer{}, fmt.Errorf("no answer within %v", d)
	}
}
