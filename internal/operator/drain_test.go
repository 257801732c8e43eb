package operator

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a drain call that gets no response because the host has no
// requests in flight and stops before it has responded. This fault once
// failed TestScript/processes in CI, beside other load.
func TestDrainOfIdleHostIsAnswered(t *testing.T) {
	is := is.New(t)
	var s *Service
	stopped := make(chan error, 1)
	s = New(netip.AddrPort{}, WithDrain(func() {
		go func() { stopped <- s.Stop(context.Background()) }()
		time.Sleep(50 * time.Millisecond) // The host stops before the response is written.
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s.server = &http.Server{Handler: s.routes()}
	go func() { _ = s.server.Serve(l) }() // It ends with Stop.
	resp, err := http.Post("http://"+l.Addr().String()+"/drain", "application/json", nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusAccepted)
	is.NoErr(resp.Body.Close())
	is.NoErr(<-stopped)
}
