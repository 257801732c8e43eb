package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// abandonTimeout bounds the rollback of a transaction whose entry host is gone.
const abandonTimeout = 5 * time.Second

// errEntryGone is the cause with which requests of a broken link are cancelled.
var errEntryGone = errors.New("link to the entry host is broken")

// An inbound link is the server's side of a Short and a Bulk stream.
type inbound struct {
	service *Service
	from    string
	short   *stream
	ctx     context.Context
	cancel  context.CancelCauseFunc
	wait    sync.WaitGroup

	mu      sync.Mutex
	bulk    *stream
	last    uint64
	bytes   int
	running map[uint64]*run
	// open holds, for each session, the last request of its open transaction.
	open   map[gypsumyard.SessionID]*gypsumyard.Request
	broken bool
}

// A run is one request of an inbound link.
type run struct {
	id     uint64
	size   int
	ctx    context.Context
	cancel context.CancelCauseFunc
	// partial is the request until its last part has come.
	partial *peerpb.Request
	window  *window
}

func newInbound(s *Service, from string, short *stream) *inbound {
	in := &inbound{
		service: s,
		from:    from,
		short:   short,
		running: map[uint64]*run{},
		open:    map[gypsumyard.SessionID]*gypsumyard.Request{},
	}
	in.ctx, in.cancel = context.WithCancelCause(s.stopping)
	return in
}

// handle takes a frame of the short stream.
func (in *inbound) handle(f *peerpb.Frame) error {
	switch b := f.Body.(type) {
	case *peerpb.Frame_Request:
		return in.begin(f.Id, b.Request)
	case *peerpb.Frame_Part:
		return in.addPart(f.Id, b.Part.GetMessages())
	case *peerpb.Frame_Cancel:
		in.cancelRun(f.Id)
		return nil
	case *peerpb.Frame_Credit:
		return in.addCredit(f.Id, b.Credit.GetBytes())
	}
	return fmt.Errorf("%w: %T", errMalformed, f.Body)
}

func (in *inbound) begin(id uint64, p *peerpb.Request) error {
	if p == nil || p.Size > maxRequestBytes || len(p.Messages) > partBytes || uint64(len(p.Messages)) > p.Size {
		return fmt.Errorf("%w: request size", errMalformed)
	}
	if p.Window < shortBytes || p.Window > windowBytes {
		return fmt.Errorf("%w: window of %d bytes", errMalformed, p.Window)
	}
	if err := checkRequest(p); err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	switch {
	case in.broken:
		return errEntryGone
	case in.bulk == nil:
		return fmt.Errorf("%w: request before the bulk stream", errMalformed)
	case id <= in.last:
		return fmt.Errorf("%w: request number %d after %d", errMalformed, id, in.last)
	case len(in.running) >= maxRequests:
		return fmt.Errorf("%w: over %d requests", errMalformed, maxRequests)
	case in.bytes+int(p.Size) > requestBudget:
		return fmt.Errorf("%w: requests of over %d bytes", errMalformed, requestBudget)
	}
	in.last = id
	in.bytes += int(p.Size)
	r := &run{id: id, size: int(p.Size), partial: p, window: newWindow(int(p.Window))}
	r.ctx, r.cancel = context.WithCancelCause(in.ctx)
	in.running[id] = r
	in.startIfWhole(r)
	return nil
}

func (in *inbound) addPart(id uint64, b []byte) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	r, ok := in.running[id]
	if !ok && id <= in.last {
		return nil // A part of a request that was cancelled.
	}
	if !ok || r.partial == nil || len(b) == 0 || len(r.partial.Messages)+len(b) > r.size {
		return fmt.Errorf("%w: part of request %d", errMalformed, id)
	}
	r.partial.Messages = append(r.partial.Messages, b...)
	in.startIfWhole(r)
	return nil
}

// startIfWhole runs the request once all of it has come. Callers hold the lock.
func (in *inbound) startIfWhole(r *run) {
	if len(r.partial.Messages) < r.size {
		return
	}
	p := r.partial
	r.partial = nil
	in.wait.Go(func() { in.execute(r, p) })
}

func (in *inbound) cancelRun(id uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	r, ok := in.running[id]
	if !ok {
		return
	}
	r.cancel(context.Canceled)
	if r.partial == nil {
		return
	}
	in.removeLocked(r)
	err := gypsumyard.Errorf(gypsumyard.ClassNotRun, "request was withdrawn")
	in.short.post(finalFrame(id, gypsumyard.Result{}, err, nil))
}

func (in *inbound) addCredit(id, n uint64) error {
	in.mu.Lock()
	r, ok := in.running[id]
	late := id <= in.last
	in.mu.Unlock()
	if ok && n <= windowBytes {
		return r.window.add(int(n))
	}
	if !ok && late {
		return nil
	}
	return fmt.Errorf("%w: credit of request %d", errMalformed, id)
}

func (in *inbound) removeLocked(r *run) {
	delete(in.running, r.id)
	in.bytes -= r.size
}

// execute runs one request and sends its answer.
func (in *inbound) execute(r *run, p *peerpb.Request) {
	defer r.cancel(nil)
	in.service.executed.Inc(1)
	a := &answer{in: in, run: r}
	req, err := decodeRequest(p, in.service.clock.Now())
	var res gypsumyard.Result
	if err == nil {
		res, err = in.perform(r.ctx, p.Operation, req, a)
		in.noteTransaction(p.Operation, req, res, err)
	}
	in.mu.Lock()
	in.removeLocked(r)
	in.mu.Unlock()
	a.end(res, err)
}

func (in *inbound) perform(ctx context.Context, op peerpb.Operation, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	owner, err := in.service.owner()
	if err != nil {
		return gypsumyard.Result{}, gypsumyard.Errorf(gypsumyard.ClassNotRun, "host %s serves no databases: %w", in.service.self.Name, err)
	}
	switch op {
	case peerpb.Operation_ABANDON:
		return gypsumyard.Result{}, owner.Abandon(ctx, r)
	case peerpb.Operation_CANCEL_STATEMENT:
		return gypsumyard.Result{}, owner.CancelStatement(ctx, r)
	}
	return owner.Execute(ctx, r, sink)
}

// noteTransaction records the open transactions that came over this link. One
// that opens after the link broke is abandoned when close has waited for its
// request.
func (in *inbound) noteTransaction(op peerpb.Operation, r *gypsumyard.Request, res gypsumyard.Result, err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch {
	case op == peerpb.Operation_ABANDON:
		if o, ok := in.open[r.Session]; ok && o.Transaction == r.Transaction {
			delete(in.open, r.Session)
		}
	case op != peerpb.Operation_EXECUTE:
	case res.Transaction != "":
		t := *r
		t.Messages = nil
		t.Transaction, t.Owner = res.Transaction, res.Owner
		in.open[r.Session] = &t
	case leavesNoTransaction(err != nil, res.TxStatus):
		delete(in.open, r.Session)
	}
}

// close cancels what runs for the entry host, waits for it, and abandons the
// transactions that are still open, so that their slots become free.
func (in *inbound) close(cause error) {
	in.mu.Lock()
	in.broken = true
	bulk := in.bulk
	in.mu.Unlock()
	in.short.fail(cause)
	if bulk != nil {
		bulk.fail(cause)
	}
	in.cancel(fmt.Errorf("%w: %w", errEntryGone, cause))
	in.abandonOpen()
	in.wait.Wait()
	in.abandonOpen()
}

// abandonOpen abandons the transactions that are recorded as open.
func (in *inbound) abandonOpen() {
	in.mu.Lock()
	open := in.open
	in.open = map[gypsumyard.SessionID]*gypsumyard.Request{}
	in.mu.Unlock()
	if len(open) == 0 {
		return
	}
	owner, err := in.service.owner()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range open {
		wg.Go(func() {
			err := owner.Abandon(ctx, r)
			in.service.log.WithFields(map[string]any{
				"entry": in.from, "session": r.Session, "database": r.Database, "transaction": r.Transaction,
			}).WithError(err).Info("transaction abandoned: link to its entry host is broken")
		})
	}
	wg.Wait()
}

// watched reports whether the entry host must be heard from: it has requests
// or transactions here.
func (in *inbound) watched() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.running) > 0 || len(in.open) > 0
}
