package upstream

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Only this file knows the functions by which an instance reports its state and
// is controlled.

// statusSQL returns one status row.
const statusSQL = "SELECT * FROM group_status()"

// statusName names the prepared status statement of a control connection.
const statusName = "status"

// preparedStatus reads one status row with a prepared statement. Its columns are
// described only once for each connection: the description is most of the bytes
// of a response to a simple query, and status polls are most of the traffic of
// control connections. A reset would drop the statement, so it may be used only
// on connections that are never reset.
func (c *Conn) preparedStatus(ctx context.Context, r *statusReader) error {
	known := c.statusColumns != nil
	c.buf = encodeStatus(c.buf[:0], !known)
	r.columns = append(r.columns, c.statusColumns...)
	if err := c.roundTrip(ctx, r.handle); err != nil {
		return err
	}
	if !known && r.status != nil && r.err == nil {
		c.statusColumns = slices.Clone(r.columns)
	}
	return nil
}

// encodeStatus appends the messages that run the prepared status statement, and
// those that prepare it first if prepare is true. They are too short for an
// encoding to fail.
func encodeStatus(b []byte, prepare bool) []byte {
	if prepare {
		b, _ = (&pgproto3.Parse{Name: statusName, Query: statusSQL}).Encode(b)
		b, _ = (&pgproto3.Describe{ObjectType: 'S', Name: statusName}).Encode(b)
	}
	b, _ = (&pgproto3.Bind{PreparedStatement: statusName}).Encode(b)
	b, _ = (&pgproto3.Execute{}).Encode(b)
	b, _ = (&pgproto3.Sync{}).Encode(b)
	return b
}

// stateFenced is the SQLSTATE of a control call that a later fence refuses.
const stateFenced = "55000"

func fenceSQL(term gypsumyard.Term, token gypsumyard.Token) string {
	return fmt.Sprintf("SELECT * FROM group_fence(%d, %s)", term, quoteLiteral(string(token)))
}

func promoteSQL(term gypsumyard.Term, token gypsumyard.Token) string {
	return fmt.Sprintf("SELECT * FROM group_promote(%d, %s)", term, quoteLiteral(string(token)))
}

func followSQL(term gypsumyard.Term, primary string) string {
	return fmt.Sprintf("SELECT * FROM group_follow(%d, %s)", term, quoteLiteral(primary))
}

// quoteLiteral quotes s as an SQL string constant.
func quoteLiteral(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

// statusReader collects the status row of one response.
type statusReader struct {
	columns []string
	status  *gypsumyard.InstanceStatus
	err     error
}

// handle processes one message of the response.
func (r *statusReader) handle(msg pgproto3.BackendMessage) {
	switch m := msg.(type) {
	case *pgproto3.RowDescription:
		r.columns = r.columns[:0]
		for _, f := range m.Fields {
			r.columns = append(r.columns, string(f.Name))
		}
	case *pgproto3.DataRow:
		s, err := parseStatus(r.columns, m.Values)
		if err != nil {
			r.err = err
			return
		}
		r.status = &s
	case *pgproto3.ErrorResponse:
		r.err = serverError(m)
	}
}

// result returns the status, or the error if there is none.
func (r *statusReader) result() (gypsumyard.InstanceStatus, error) {
	if r.err != nil {
		return gypsumyard.InstanceStatus{}, r.err
	}
	if r.status == nil {
		return gypsumyard.InstanceStatus{}, fmt.Errorf("the answer holds no status row")
	}
	return *r.status, nil
}

// parseStatus parses a row in text format. Unknown columns are ignored.
func parseStatus(columns []string, values [][]byte) (s gypsumyard.InstanceStatus, err error) {
	if len(columns) != len(values) {
		return s, fmt.Errorf("status row has %d values for %d columns", len(values), len(columns))
	}
	for i, name := range columns {
		if err := setColumn(&s, name, string(values[i])); err != nil {
			return s, fmt.Errorf("status column %s: %w", name, err)
		}
	}
	if s.Role == "" {
		return s, fmt.Errorf("status row lacks the role")
	}
	return s, nil
}

// setColumn sets the field that corresponds to the column, if there is one.
func setColumn(s *gypsumyard.InstanceStatus, name, value string) (err error) {
	var n int64
	switch name {
	case "role":
		s.Role = gypsumyard.Role(value)
	case "term":
		n, err = parseInt(value)
		s.Applied.Term = gypsumyard.Term(n)
	case "log_offset":
		n, err = parseInt(value)
		s.Applied.Offset = gypsumyard.Offset(n)
	case "fence":
		n, err = parseInt(value)
		s.Fence = gypsumyard.Term(n)
	case "fence_token":
		s.FenceToken = gypsumyard.Token(value)
	case "history":
		s.History, err = parseHistory(value)
	case "stream_age_ms":
		n, err = parseInt(value)
		s.StreamAge = time.Duration(n) * time.Millisecond
	case "leaving":
		s.Leaving = value == "t" || value == "true"
	case "connections":
		n, err = parseInt(value)
		s.Connections = int(n)
	}
	return err
}

// parseInt parses a number. NULL and the empty string are zero.
func parseInt(s string) (int64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseInt(s, 10, 64)
}

// parseHistory parses a list of term:start pairs, such as "1:1,3:11". The start
// is an offset.
func parseHistory(s string) (h gypsumyard.History, err error) {
	if s == "" {
		return nil, nil
	}
	for part := range strings.SplitSeq(s, ",") {
		term, start, ok := strings.Cut(part, ":")
		if !ok {
			return nil, fmt.Errorf("parse history %q: want term:start", s)
		}
		t, err := strconv.ParseUint(term, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("parse history %q: %w", s, err)
		}
		o, err := strconv.ParseUint(start, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("parse history %q: %w", s, err)
		}
		h = append(h, gypsumyard.TermStart{Term: gypsumyard.Term(t), Start: gypsumyard.Offset(o)})
	}
	return h, nil
}
