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

// A faultConn is a client connection on which the instance's network faults and
// the emulated network delay take effect. It reads ahead, so that the session
// notices while a statement runs that the client has disconnected.
type faultConn struct {
	instance *Instance
	raw      net.Conn
	ctx      context.Context
	cancel   context.CancelCauseFunc
	chunks   chan chunk
	pending  []byte
	hung     chan struct{}
	once     sync.Once
	// ended is closed when the client or the method close has closed the
	// connection.
	ended chan struct{}
}

type chunk struct {
	data []byte
	due  time.Time
}

const (
	chunkBytes         = 8 << 10
	maxReadAheadChunks = 32
	finalWriteTimeout  = 200 * time.Millisecond
)

func newFaultConn(in *Instance, raw net.Conn) *faultConn {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &faultConn{
		instance: in,
		raw:      raw,
		ctx:      ctx,
		cancel:   cancel,
		chunks:   make(chan chunk, maxReadAheadChunks),
		hung:     make(chan struct{}),
		ended:    make(chan struct{}),
	}
}

// receive reads ahead until the connection ends. It discards data that arrives
// after the end of the session.
func (k *faultConn) receive() {
	defer close(k.ended)
	for {
		buf := make([]byte, chunkBytes)
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

// Read returns received data after the emulated network delay.
func (k *faultConn) Read(p []byte) (int, error) {
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
	if err := k.awaitService(); err != nil {
		return 0, err
	}
	n := copy(p, k.pending)
	k.pending = k.pending[n:]
	return n, nil
}

func (k *faultConn) delay(due time.Time) error {
	if d := due.Sub(k.instance.clock.Now()); d > 0 {
		return k.instance.clock.Sleep(k.ctx, d)
	}
	return nil
}

// Write sends data. It blocks while a fault prevents sending.
func (k *faultConn) Write(p []byte) (int, error) {
	if err := k.awaitService(); err != nil {
		return 0, err
	}
	return k.raw.Write(p)
}

// awaitService waits until the instance serves clients. On a hung connection it
// waits until the connection ends.
func (k *faultConn) awaitService() error {
	select {
	case <-k.hung:
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
	case <-k.hung:
		return k.awaitService()
	default:
		return nil
	}
}

// hang makes the connection never respond again.
func (k *faultConn) hang() { k.once.Do(func() { close(k.hung) }) }

func (k *faultConn) isHung() bool {
	select {
	case <-k.hung:
		return true
	default:
		return false
	}
}

// awaitVisible is called at the end of a session. It delays the end while a fault
// would hide it from the client, since neither an error message nor a close
// passes a partition or a hung connection.
func (k *faultConn) awaitVisible() {
	for {
		gate := k.instance.currentGate()
		if k.isHung() {
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

// writeFinal sends the last message to a client before its connection is closed.
// Unlike Write it works after the connection's context was canceled.
func (k *faultConn) writeFinal(data []byte) {
	k.awaitVisible()
	_ = k.raw.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
	_, _ = k.raw.Write(data)
}

// close closes the connection. If the instance was killed, it sends a reset.
func (k *faultConn) close(cause error) {
	k.cancel(cause)
	if tcp, ok := k.raw.(*net.TCPConn); ok && cause == errKilled {
		_ = tcp.SetLinger(0)
	}
	_ = k.raw.Close()
}
