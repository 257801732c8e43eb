package tcp

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	timeout = 2 * time.Second
	// retransmission is the time after which the kernel retransmits a SYN.
	retransmission = time.Second
)

// fullListener returns a listening socket with a full accept queue. The kernel
// drops further SYNs, so that they are lost like those sent to a host without
// power.
func fullListener(t *testing.T) (fd int, at netip.AddrPort) {
	t.Helper()
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	is.NoErr(err)
	at = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(name.(*syscall.SockaddrInet4).Port))
	for range 10 {
		n, err := net.DialTimeout("tcp", at.String(), 50*time.Millisecond)
		if err != nil {
			return fd, at
		}
		t.Cleanup(func() { _ = n.Close() })
	}
	t.Fatal("the queue of connections does not fill up")
	return fd, at
}

// Guards against a dial that waits a second for the kernel to retransmit a lost
// SYN although the host is reachable again before that.
func TestDialRepeatsLostRequests(t *testing.T) {
	is := is.New(t)
	fd, at := fullListener(t)
	const dark = 150 * time.Millisecond
	time.AfterFunc(dark, func() {
		for range 2 {
			_, _, _ = syscall.Accept(fd)
		}
	})
	began := time.Now()
	n, err := Dial(t.Context(), at, timeout)
	is.NoErr(err)
	defer n.Close()
	is.True(time.Since(began) < retransmission)
}

// Guards against a dial that exceeds its timeout or the deadline of its
// context.
func TestDialEnds(t *testing.T) {
	is := is.New(t)
	_, at := fullListener(t)
	began := time.Now()
	_, err := Dial(t.Context(), at, 3*attemptInterval/2)
	is.True(err != nil)
	is.True(time.Since(began) < 2*attemptInterval)

	ctx, cancel := context.WithTimeout(t.Context(), attemptInterval/2)
	defer cancel()
	began = time.Now()
	_, err = Dial(ctx, at, timeout)
	is.True(err != nil)
	is.True(time.Since(began) < attemptInterval)
}

// Guards against repeating attempts that were refused.
func TestDialReturnsRefusalAtOnce(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	at := netip.MustParseAddrPort(l.Addr().String())
	is.NoErr(l.Close())
	began := time.Now()
	_, err = Dial(t.Context(), at, timeout)
	is.True(err != nil)
	is.True(time.Since(began) < attemptInterval)
}

// Guards against attempts in a tight loop if the kernel reports at once that a
// host is unreachable.
func TestEarlyTimeoutIsNotRepeated(t *testing.T) {
	is := is.New(t)
	attempts := 0
	_, err := dialOverlapping(t.Context(), timeout, func(context.Context) (net.Conn, error) {
		attempts++
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
	})
	is.True(err != nil)
	is.Equal(attempts, 1)
}

// Guards against canceling an attempt before a distant host can answer, and
// against leaking the connections of slower attempts.
func TestDistantHostIsReached(t *testing.T) {
	is := is.New(t)
	const roundTrip = 3 * attemptInterval / 2
	var opened, closed atomic.Int32
	c, err := dialOverlapping(t.Context(), timeout, func(ctx context.Context) (net.Conn, error) {
		select {
		case <-time.After(roundTrip):
			opened.Add(1)
			return &counted{closed: &closed}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	is.NoErr(err)
	is.True(c != nil)
	time.Sleep(roundTrip)
	is.Equal(opened.Load()-closed.Load(), int32(1))
}

// counted is a connection that counts how often it is closed.
type counted struct {
	net.Conn
	closed *atomic.Int32
}

func (c *counted) Close() error {
	c.closed.Add(1)
	return nil
}
