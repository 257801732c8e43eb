package tcp

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	// attemptTimeout bounds one attempt to connect. The kernel repeats a lost
	// request to connect after a second only.
	attemptTimeout = 200 * time.Millisecond
	// The keep-alive probes find a dead peer on an idle connection within
	// about 11 s.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// userTimeout bounds how long sent data may stay unacknowledged by the
	// peer's host.
	userTimeout = 5 * time.Second
	// tcpUserTimeout is the number of the Linux socket option.
	tcpUserTimeout = 0x12
)

// Dial opens a connection. It makes further attempts while the host does not
// answer, until the timeout, and returns a refusal at once.
func Dial(ctx context.Context, to netip.AddrPort, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d := dialer()
	return repeat(ctx, func() (net.Conn, error) { return d.DialContext(ctx, "tcp", to.String()) })
}

// repeat makes attempts until one succeeds or fails before its time is over, or
// ctx ends. An attempt may fail at once with the error of a timeout, when the
// kernel knows that the host is out of reach.
func repeat(ctx context.Context, attempt func() (net.Conn, error)) (net.Conn, error) {
	for {
		began := time.Now()
		c, err := attempt()
		if err == nil || ctx.Err() != nil || time.Since(began) < attemptTimeout {
			return c, err
		}
	}
}

func dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: attemptTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets the option TCP_USER_TIMEOUT of a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}
