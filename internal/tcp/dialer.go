package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
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

// Dialer returns a dialer with the given timeout for opening a connection.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
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
