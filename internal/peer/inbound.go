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

// abandonTimeout bounds the rollback of transactions whose entry host is gone or
// whose caller has given up.
const abandonTimeout = 5 * time.Second

const (
	// answerTimeout bounds how long Stop waits until the requests of other hosts are
	// answered, answerCheckInterval is how often it looks.
	answerTimeout       = 150 * time.Millisecond
	answerCheckInterval = 2 * time.Millisecond
)

// errEntryLinkBroken is the cause with which the requests of a broken link are
// canceled.
var errEntryLinkBroken = errors.New("link to the entry host is broken")

// An inboundLink is the server's side of a Short and a Bulk stream.
type inboundLink struct {
	service *Service
	from    string
	short   *stream
	ctx     context.Context
	cancel  context.CancelCauseFunc
	wait    sync.WaitGroup

	mu           sync.Mutex
	bulk         *stream
	lastID       uint64
	requestBytes int
	requests     map[uint64]*inboundRequest
	// openTransactions holds, for each session with an open transaction, the
	// last request in it.
	openTransactions map[gypsumyard.SessionID]*gypsumyard.Request
	broken           bool
	// unanswered is how many requests run or have a final message that is not queued.
	unanswered int
}

// An inboundRequest is one request of an inbound link.
type inboundRequest struct {
	id     uint64
	size   int
	ctx    context.Context
	cancel context.CancelCauseFunc
	// partial is the incomplete request. It is nil once the last part has been
	// received.
	partial *peerpb.Request
	window  *sendWindow
}

func newInboundLink(s *Service, from string, short *stream) *inboundLink {
	in := &inboundLink{
		service:          s,
		from:             from,
		short:            short,
		requests:         map[uint64]*inboundRequest{},
		openTransactions: map[gypsumyard.SessionID]*gypsumyard.Request{},
	}
	in.ctx, in.cancel = context.WithCancelCause(s.stopping)
	return in
}

// handle processes a frame of the short stream.
func (in *inboundLink) handle(f *peerpb.Frame) error {
	switch b := f.Body.(type) {
	case *peerpb.Frame_Request:
		return in.startRequest(f.Id, b.Request)
	case *peerpb.Frame_Part:
		return in.addPart(f.Id, b.Part.GetMessages())
	case *peerpb.Frame_Cancel:
		in.cancelRequest(f.Id)
		return nil
	case *peerpb.Frame_Credit:
		return in.addCredit(f.Id, b.Credit.GetBytes())
	}
	return fmt.Errorf("%w: %T", errMalformed, f.Body)
}

func (in *inboundLink) startRequest(id uint64, p *peerpb.Request) error {
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
		return errEntryLinkBroken
	case in.bulk == nil:
		return fmt.Errorf("%w: request before the bulk stream", errMalformed)
	case id <= in.lastID:
		return fmt.Errorf("%w: request number %d after %d", errMalformed, id, in.lastID)
	case len(in.requests) >= maxRequests:
		return fmt.Errorf("%w: over %d requests", errMalformed, maxRequests)
	case in.requestBytes+int(p.Size) > requestBudget:
		return fmt.Errorf("%w: requests of over %d bytes", errMalformed, requestBudget)
	}
	in.lastID = id
	in.requestBytes += int(p.Size)
	r := &inboundRequest{id: id, size: int(p.Size), partial: p, window: newSendWindow(int(p.Window))}
	r.ctx, r.cancel = context.WithCancelCause(in.ctx)
	in.requests[id] = r
	in.startIfComplete(r)
	return nil
}

func (in *inboundLink) addPart(id uint64, b []byte) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	r, ok := in.requests[id]
	if !ok && id <= in.lastID {
		return nil // A late part of a request that was canceled.
	}
	if !ok || r.partial == nil || len(b) == 0 || len(r.partial.Messages)+len(b) > r.size {
		return fmt.Errorf("%w: part of request %d", errMalformed, id)
	}
	r.partial.Messages = append(r.partial.Messages, b...)
	in.startIfComplete(r)
	return nil
}

// startIfComplete runs the request if its last part has been received. The caller
// must hold in.mu.
func (in *inboundLink) startIfComplete(r *inboundRequest) {
	if len(r.partial.Messages) < r.size {
		return
	}
	p := r.partial
	r.partial = nil
	in.unanswered++
	in.wait.Go(func() { in.execute(r, p) })
}

func (in *inboundLink) cancelRequest(id uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	r, ok := in.requests[id]
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

func (in *inboundLink) addCredit(id, n uint64) error {
	in.mu.Lock()
	r, ok := in.requests[id]
	late := id <= in.lastID
	in.mu.Unlock()
	if ok && n <= windowBytes {
		return r.window.add(int(n))
	}
	if !ok && late {
		return nil
	}
	return fmt.Errorf("%w: credit of request %d", errMalformed, id)
}

// removeLocked forgets the request. The caller must hold in.mu.
func (in *inboundLink) removeLocked(r *inboundRequest) {
	delete(in.requests, r.id)
	in.requestBytes -= r.size
}

// execute runs one request and sends its answer.
func (in *inboundLink) execute(r *inboundRequest, p *peerpb.Request) {
	defer r.cancel(nil)
	in.service.executed.Inc(1)
	sink := &responseSink{in: in, request: r}
	req, err := decodeRequest(p, in.service.clock.Now())
	var res gypsumyard.Result
	if err == nil {
		res, err = in.runOperation(r.ctx, p.Operation, req, sink)
		in.trackTransaction(p.Operation, req, res, err)
	}
	in.mu.Lock()
	in.removeLocked(r)
	in.mu.Unlock()
	sink.sendFinal(res, err)
	in.mu.Lock()
	in.unanswered--
	in.mu.Unlock()
}

// awaitAnswers waits until no request of the link runs and all answers have been sent,
// or ctx is done.
func (in *inboundLink) awaitAnswers(ctx context.Context) {
	for in.runsRequests() {
		if in.service.clock.Sleep(ctx, answerCheckInterval) != nil {
			return
		}
	}
	in.mu.Lock()
	bulk := in.bulk
	in.mu.Unlock()
	in.short.awaitSent(ctx)
	if bulk != nil {
		bulk.awaitSent(ctx)
	}
}

func (in *inboundLink) runsRequests() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return !in.broken && in.unanswered > 0
}

func (in *inboundLink) runOperation(ctx context.Context, op peerpb.Operation, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (res gypsumyard.Result, err error) {
	defer in.service.recoverPanic(&err)
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

// trackTransaction records the open transactions of this link's requests. A
// transaction that is opened after the link broke is abandoned by close after it
// has waited for the request.
func (in *inboundLink) trackTransaction(op peerpb.Operation, r *gypsumyard.Request, res gypsumyard.Result, err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch {
	case op == peerpb.Operation_ABANDON:
		if o, ok := in.openTransactions[r.Session]; ok && o.Transaction == r.Transaction {
			delete(in.openTransactions, r.Session)
		}
	case op != peerpb.Operation_EXECUTE:
	case res.Transaction != "":
		t := *r
		t.Messages = nil
		t.Transaction, t.Owner = res.Transaction, res.Owner
		in.openTransactions[r.Session] = &t
	case leavesNoTransaction(err != nil, res.TxStatus):
		delete(in.openTransactions, r.Session)
	}
}

// close cancels the running requests of the entry host and waits for them. It
// abandons the transactions that are still open, so that their slots are released.
func (in *inboundLink) close(cause error) {
	in.mu.Lock()
	in.broken = true
	bulk := in.bulk
	in.mu.Unlock()
	in.short.fail(cause)
	if bulk != nil {
		bulk.fail(cause)
	}
	in.cancel(fmt.Errorf("%w: %w", errEntryLinkBroken, cause))
	in.abandonOpenTransactions()
	in.wait.Wait()
	in.abandonOpenTransactions()
}

// abandonOpenTransactions abandons the transactions that are recorded as open.
func (in *inboundLink) abandonOpenTransactions() {
	in.mu.Lock()
	open := in.openTransactions
	in.openTransactions = map[gypsumyard.SessionID]*gypsumyard.Request{}
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

// needsKeepalive reports whether the entry host is expected to send pings, because
// it has running requests or open transactions here.
func (in *inboundLink) needsKeepalive() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.requests) > 0 || len(in.openTransactions) > 0
}
