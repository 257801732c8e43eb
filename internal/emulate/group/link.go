package group

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

var (
	errClosed     = errors.New("connection closed")
	errKilled     = errors.New("instance killed")
	errTerminated = errors.New("terminating connection due to administrator command")
)

// A link is a client's connection with the instance's network faults in
// between. Data is read ahead, so that the client's disconnection is noticed
// while a statement runs.
type link struct {
	instance *Instance
	raw      net.Conn
	ctx      context.Context
	cancel   context.CancelCauseFunc
	chunks   chan chunk
	pending  []byte
	silence  chan struct{}
	once     sync.Once
	// ended is closed when the client, or close, has closed the connection.
	ended chan struct{}
}

type chunk struct {
	data []byte
	due  time.Time
}

const (
	chunkSize  = 8 << 10
	readAhead  = 32
	finalWrite = 200 * time.Millisecond
)

func newLink(in *Instance, raw net.Conn) *link {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &link{
		instance: in,
		raw:      raw,
		ctx:      ctx,
		cancel:   cancel,
		chunks:   make(chan chunk, readAhead),
		silence:  make(chan struct{}),
		ended:    make(chan struct{}),
	}
}

// receive reads ahead until the connection ends. What comes after the end of
// the session is dropped.
func (k *link) receive() {
	defer close(k.ended)
	for {
		buf := make([]byte, chunkSize)
		n, err := k.raw.Read(buf)
		if n > 0 {
			c := chunk{data: buf[:n], due: k.instance.clock.Now().Add(k.instance.group.config.roundTrip)}
			select {
			case k.chunks <- c:
			case <-k.ctx.Done():
			}
		}
		if err != nil {
			k.cancel(errClosed)
			return
		}
	}
}

// Read returns data that has arrived, after the emulated network delay.
func (k *link) Read(p []byte) (int, error) {
	if len(k.pending) == 0 {
		select {
		case c := <-k.chunks:
			if err := k.delay(c.due); err != nil {
				return 0, err
			}
			k.pending = c.data
		case <-k.ctx.Done():
			return 0, context.Cause(k.ctx)
		}
	}
	if err := k.pass(); err != nil {
		return 0, err
	}
	n := copy(p, k.pending)
	k.pending = k.pending[n:]
	return n, nil
}

func (k *link) delay(due time.Time) error {
	if d := due.Sub(k.instance.clock.Now()); d > 0 {
		return k.instance.clock.Sleep(k.ctx, d)
	}
	return nil
}

// Write sends data unless a fault holds it up.
func (k *link) Write(p []byte) (int, error) {
	if err := k.pass(); err != nil {
		return 0, err
	}
	return k.raw.Write(p)
}

// pass waits while the instance does not serve clients, and to the end of the
// connection if it is silenced.
func (k *link) pass() error {
	select {
	case <-k.silence:
		<-k.ctx.Done()
		return context.Cause(k.ctx)
	default:
	}
	if k.ctx.Err() != nil {
		return context.Cause(k.ctx)
	}
	if err := k.instance.awaitGate(k.ctx); err != nil {
		return err
	}
	select {
	case <-k.silence:
		return k.pass()
	default:
		return nil
	}
}

// silenceForever makes the connection never answer again.
func (k *link) silenceForever() { k.once.Do(func() { close(k.silence) }) }

func (k *link) silenced() bool {
	select {
	case <-k.silence:
		return true
	default:
		return false
	}
}

// linger waits, at the end of a session, while a fault hides the end from the
// client: nothing of it passes a partition or a silenced connection.
func (k *link) linger() {
	for {
		gate := k.instance.shutGate()
		if k.silenced() {
			gate = make(chan struct{})
		}
		if gate == nil {
			return
		}
		select {
		case <-gate:
		case <-k.ended:
			return
		}
	}
}

// finish sends last words to a client whose connection is being terminated.
func (k *link) finish(data []byte) {
	k.linger()
	_ = k.raw.SetWriteDeadline(time.Now().Add(finalWrite))
	_, _ = k.raw.Write(data)
}

// close ends the connection. A killed instance resets it.
func (k *link) close(cause error) {
	k.cancel(cause)
	if tcp, ok := k.raw.(*net.TCPConn); ok && cause == errKilled {
		_ = tcp.SetLinger(0)
	}
	_ = k.raw.Close()
}
