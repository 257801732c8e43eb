package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a pool whose Close blocks because an instance never closes the
// connection of a cancel request.
func TestCancelEndsWithContext(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.ReadFull(c, make([]byte, 16))
		cancel()
		_, _ = io.Copy(io.Discard, c)
	}()
	began := time.Now()
	a := Address{Addr: l.Addr().(*net.TCPAddr).AddrPort()}
	is.NoErr(cancelStatement(ctx, a, 1, []byte{1, 2, 3, 4}))
	is.True(time.Since(began) < dialTimeout/2)
}
