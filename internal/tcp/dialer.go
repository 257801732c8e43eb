package tcp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	// attemptInterval is the time between the starts of two attempts to
	// connect. The kernel retransmits a lost SYN only after a second.
	attemptInterval = 200 * time.Millisecond
	// The keep-alive probes detect a dead peer on an idle connection within
	// about 11 s.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// userTimeout bounds how long sent data may remain unacknowledged by the
	// TCP stack of the peer.
	userTimeout = 5 * time.Second
	// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 0x12
)

// Dial opens a connection. While there is no answer it starts further attempts
// in parallel, until the timeout. It returns the first result, so that a
// refused connection is reported at once.
func Dial(ctx context.Context, to netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	d := dialer()
	return dialOverlapping(ctx, timeout, func(ctx context.Context) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", to.String())
	})
}

// result is the outcome of one attempt.
type result struct {
	conn net.Conn
	err  error
}

// dialOverlapping starts an attempt every attemptInterval, without waiting for
// the earlier ones, and returns the first result. Connections of later results
// are closed.
func dialOverlapping(ctx context.Context, timeout time.Duration, attempt func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan result)
	try := func() {
		c, err := attempt(ctx)
		select {
		case results <- result{c, err}:
		case <-ctx.Done():
			if c != nil {
				_ = c.Close() // Another attempt was faster, or the dial timed out.
			}
		}
	}
	t := time.NewTicker(attemptInterval)
	defer t.Stop()
	go try()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-ctx.Done():
			return nil, fmt.Errorf("no answer: %w", context.Cause(ctx))
		case <-t.C:
			go try()
		}
	}
}

func dialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}
