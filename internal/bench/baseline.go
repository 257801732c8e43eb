package bench

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/host"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
	"github.com/uber-go/tally/v4"
)

// baselineTimeout limits the wait for a response of an instance.
const baselineTimeout = 10 * time.Second

// baselineOptions returns the options that turn each host into a naive proxy
// for comparison: it has an equal share of the connections to the first instance
// of each database, serves requests in order of arrival, acknowledges what that
// instance has committed, and never promotes a replica.
func baselineOptions(hosts int) []host.Option {
	return []host.Option{host.WithDispatch(func(*host.Host) kernel.Service {
		return &baseline{hosts: hosts, pools: map[string]*upstream.Pool{}, transactions: map[string]*baselineTransaction{}, done: make(chan struct{})}
	})}
}

// A baseline is the executor of the naive proxy.
type baseline struct {
	hosts        int
	lists        gypsumyard.Lists
	mu           sync.Mutex
	pools        map[string]*upstream.Pool
	transactions map[string]*baselineTransaction
	done         chan struct{}
}

// A baselineTransaction is an open transaction with its connection.
type baselineTransaction struct {
	conn *upstream.Conn
	pool *upstream.Pool
}

// Name returns "dispatch": the baseline replaces that service.
func (b *baseline) Name() string { return "dispatch" }

// Needs returns the services that must be started before.
func (b *baseline) Needs() []string { return []string{"lists"} }

// Start looks up the lists.
func (b *baseline) Start(_ context.Context, k *kernel.Kernel) (err error) {
	b.lists, err = kernel.Lookup[gypsumyard.Lists](k, "lists")
	return err
}

// Stop closes the connections.
func (b *baseline) Stop(context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pools {
		p.Close()
	}
	close(b.done)
	return nil
}

// Done returns a channel that is closed by Stop.
func (b *baseline) Done() <-chan struct{} { return b.done }

func (b *baseline) pool(database string) (*upstream.Pool, error) {
	d, ok := b.lists.Database(database)
	if !ok {
		return nil, gypsumyard.Errorf(gypsumyard.ClassNotRun, "unknown database %q", database)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.pools[database]
	if !ok {
		slice := max(1, d.Connections/b.hosts)
		p = upstream.NewPool(clock.System(), upstream.AddressOf(d, d.Instances[0]), slice, tally.NoopScope)
		b.pools[database] = p
	}
	return p, nil
}

// Execute runs the request on the first instance of its database.
func (b *baseline) Execute(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	batch, err := upstream.ParseBatch(r.Messages)
	if err != nil {
		return gypsumyard.Result{}, gypsumyard.Errorf(gypsumyard.ClassProtocol, "%w", err)
	}
	t, begun, err := b.begin(ctx, r)
	if err != nil {
		return gypsumyard.Result{}, gypsumyard.Errorf(gypsumyard.ClassNotRun, "%w", err)
	}
	out, err := t.conn.Run(ctx, &upstream.Exchange{
		Batch: batch, Reset: begun, Settings: r.Settings, FirstResponseTimeout: baselineTimeout, ReadTimeout: baselineTimeout,
	}, sink)
	if err != nil {
		b.forget(r.Transaction)
		t.pool.Discard(t.conn)
		class := gypsumyard.ClassUnknown
		if !out.Sent {
			class = gypsumyard.ClassNotRun
		}
		return gypsumyard.Result{}, gypsumyard.Errorf(class, "%w", err)
	}
	if _, err := sink.Write(out.Response); err != nil {
		return gypsumyard.Result{}, gypsumyard.Errorf(gypsumyard.ClassUnknown, "%w", err)
	}
	return b.endExchange(r, t, out.TxStatus), nil
}

// begin returns the connection of the open transaction, or a free one.
func (b *baseline) begin(ctx context.Context, r *gypsumyard.Request) (t *baselineTransaction, begun bool, err error) {
	if r.Transaction != "" {
		b.mu.Lock()
		defer b.mu.Unlock()
		if t, ok := b.transactions[r.Transaction]; ok {
			return t, false, nil
		}
		return nil, false, errors.New("no such transaction")
	}
	p, err := b.pool(r.Database)
	if err != nil {
		return nil, false, err
	}
	conn, err := p.Get(ctx, false)
	if err != nil {
		return nil, false, err
	}
	return &baselineTransaction{conn: conn, pool: p}, true, nil
}

// endExchange keeps the connection if a transaction is open and returns it to
// the pool otherwise.
func (b *baseline) endExchange(r *gypsumyard.Request, t *baselineTransaction, status byte) gypsumyard.Result {
	result := gypsumyard.Result{TxStatus: status}
	if status == 'I' {
		b.forget(r.Transaction)
		t.pool.Put(t.conn)
		return result
	}
	result.Transaction = r.Transaction
	if result.Transaction == "" {
		result.Transaction = rand.Text()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.transactions[result.Transaction] = t
	return result
}

func (b *baseline) forget(transaction string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.transactions, transaction)
}

// Abandon closes the connection of an open transaction.
func (b *baseline) Abandon(_ context.Context, r *gypsumyard.Request) error {
	b.mu.Lock()
	t, ok := b.transactions[r.Transaction]
	b.mu.Unlock()
	if ok {
		b.forget(r.Transaction)
		t.pool.Discard(t.conn)
	}
	return nil
}

// CancelStatement does nothing: the baseline does not support cancellation.
func (b *baseline) CancelStatement(context.Context, *gypsumyard.Request) error { return nil }
