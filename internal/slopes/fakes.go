package slopes

import (
	"context"
	"io"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"
)

const (
	customerName = "loom"
	loginName    = "valuer"
	password     = "knots"
	planName     = "field"
	hostName     = "host-1"
)

// A part is a kernel service that does nothing.
type part string

func (p part) Name() string                                { return string(p) }
func (p part) Needs() []string                             { return nil }
func (p part) Start(context.Context, *kernel.Kernel) error { return nil }
func (p part) Stop(context.Context) error                  { return nil }
func (p part) Done() <-chan struct{}                       { return closed }

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// fixedLists is a Lists with one customer and the given databases.
type fixedLists struct {
	part
	customer  gypsumyard.Customer
	plan      gypsumyard.Plan
	databases []gypsumyard.Database
	byName    map[string]gypsumyard.Database
}

func newLists(verifier string, databases ...gypsumyard.Database) *fixedLists {
	l := &fixedLists{part: "lists", databases: databases, byName: map[string]gypsumyard.Database{}}
	l.plan = gypsumyard.Plan{Name: planName, Share: 1, Limit: 1, MaxQueue: 1000, MaxSessions: 1 << 20}
	l.customer = gypsumyard.Customer{Name: customerName, Plan: planName, Logins: []gypsumyard.Login{{Name: loginName, Verifier: verifier}}}
	for _, d := range databases {
		l.byName[d.Name] = d
		l.customer.Databases = append(l.customer.Databases, d.Name)
	}
	return l
}

func (l *fixedLists) Ready() <-chan struct{} { return closed }
func (l *fixedLists) Customer(name string) (gypsumyard.Customer, bool) {
	return l.customer, name == l.customer.Name
}
func (l *fixedLists) Plan(name string) (gypsumyard.Plan, bool) { return l.plan, name == l.plan.Name }
func (l *fixedLists) Database(name string) (gypsumyard.Database, bool) {
	d, ok := l.byName[name]
	return d, ok
}
func (l *fixedLists) Databases() []gypsumyard.Database        { return l.databases }
func (l *fixedLists) Versions() map[string]gypsumyard.Version { return nil }
func (l *fixedLists) Changes() <-chan struct{}                { return nil }

// oneHost is a Membership of one host, which owns everything.
type oneHost struct{ part }

func (oneHost) Self() gypsumyard.Host                  { return gypsumyard.Host{Name: hostName} }
func (oneHost) Hosts() []gypsumyard.Host               { return []gypsumyard.Host{{Name: hostName}} }
func (h oneHost) Owner(string) (gypsumyard.Host, bool) { return h.Self(), true }
func (oneHost) Changes() <-chan struct{}               { return nil }

// fixedExecutor answers every request with the same row.
type fixedExecutor struct{ part }

func (fixedExecutor) Execute(_ context.Context, _ *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	_, err := sink.Write(oneRow)
	return gypsumyard.Result{TxStatus: 'I', Instance: "a"}, err
}
func (fixedExecutor) Abandon(context.Context, *gypsumyard.Request) error         { return nil }
func (fixedExecutor) CancelStatement(context.Context, *gypsumyard.Request) error { return nil }

func quiet() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.ErrorLevel)
	return l
}

// encode returns the messages as bytes.
func encode(messages ...pgproto3.BackendMessage) (b []byte) {
	for _, m := range messages {
		b, _ = m.Encode(b) // Only messages over 1 GB fail.
	}
	return b
}

func textRow(columns, values []string) []pgproto3.BackendMessage {
	d := &pgproto3.RowDescription{}
	r := &pgproto3.DataRow{}
	for i, c := range columns {
		const textOID = 25
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(c), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1})
		r.Values = append(r.Values, []byte(values[i]))
	}
	return []pgproto3.BackendMessage{d, r, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}}
}

// The answers of the stand-ins. A row is as long as a valuation look-up's.
var (
	oneRow = encode(textRow(
		[]string{"rug", "kind", "knots_per_dm2", "dye_note", "value_cents"},
		[]string{"rug-004711", "Baluch", "1450", "madder, walnut husk, indigo over weld", "182500"})...)
	ready     = encode(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	rowAnswer = append(append([]byte{}, oneRow...), ready...)
)

// lookup is the statement that clients send.
const lookup = "SELECT rug, kind, knots_per_dm2, dye_note, value_cents FROM valuations WHERE rug = 'rug-004711'"

func queryBytes(sql string) []byte {
	b, _ := (&pgproto3.Query{String: sql}).Encode(nil)
	return b
}
