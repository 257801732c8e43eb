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

// A fakeService is a kernel service that does nothing.
type fakeService string

func (p fakeService) Name() string                                { return string(p) }
func (p fakeService) Needs() []string                             { return nil }
func (p fakeService) Start(context.Context, *kernel.Kernel) error { return nil }
func (p fakeService) Stop(context.Context) error                  { return nil }
func (p fakeService) Done() <-chan struct{}                       { return closedChan }

var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// fixedLists implements [gypsumyard.Lists] with one customer and the given
// databases.
type fixedLists struct {
	fakeService
	customer  gypsumyard.Customer
	plan      gypsumyard.Plan
	databases []gypsumyard.Database
	byName    map[string]gypsumyard.Database
}

func newFixedLists(verifier string, databases ...gypsumyard.Database) *fixedLists {
	l := &fixedLists{fakeService: "lists", databases: databases, byName: map[string]gypsumyard.Database{}}
	l.plan = gypsumyard.Plan{Name: planName, Share: 1, Limit: 1, MaxQueue: 1000, MaxSessions: 1 << 20}
	l.customer = gypsumyard.Customer{Name: customerName, Plan: planName, Logins: []gypsumyard.Login{{Name: loginName, Verifier: verifier}}}
	for _, d := range databases {
		l.byName[d.Name] = d
		l.customer.Databases = append(l.customer.Databases, d.Name)
	}
	return l
}

func (l *fixedLists) Ready() <-chan struct{} { return closedChan }
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

// singleHost is a membership of one host, which owns all databases.
type singleHost struct{ fakeService }

func (singleHost) Self() gypsumyard.Host                  { return gypsumyard.Host{Name: hostName} }
func (singleHost) Hosts() []gypsumyard.Host               { return []gypsumyard.Host{{Name: hostName}} }
func (h singleHost) Owner(string) (gypsumyard.Host, bool) { return h.Self(), true }
func (singleHost) Changes() <-chan struct{}               { return nil }

// fixedExecutor responds to every request with the same row.
type fixedExecutor struct{ fakeService }

func (fixedExecutor) Execute(_ context.Context, _ *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	_, err := sink.Write(oneRow)
	return gypsumyard.Result{TxStatus: 'I', Instance: "a"}, err
}
func (fixedExecutor) Abandon(context.Context, *gypsumyard.Request) error         { return nil }
func (fixedExecutor) CancelStatement(context.Context, *gypsumyard.Request) error { return nil }

func discardLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.ErrorLevel)
	return l
}

// encode returns the wire encoding of the messages.
func encode(messages ...pgproto3.BackendMessage) (b []byte) {
	for _, m := range messages {
		b, _ = m.Encode(b) // Fails only for messages over 1 GB.
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

// The responses of the fakes. The row is as long as that of a valuation look-up.
var (
	oneRow = encode(textRow(
		[]string{"rug", "kind", "knots_per_dm2", "dye_note", "value_cents"},
		[]string{"rug-004711", "Baluch", "1450", "madder, walnut husk, indigo over weld", "182500"})...)
	readyForQuery = encode(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	rowAnswer     = append(append([]byte{}, oneRow...), readyForQuery...)
)

// lookupSQL is the statement that clients send.
const lookupSQL = "SELECT rug, kind, knots_per_dm2, dye_note, value_cents FROM valuations WHERE rug = 'rug-004711'"

func queryBytes(sql string) []byte {
	b, _ := (&pgproto3.Query{String: sql}).Encode(nil)
	return b
}
