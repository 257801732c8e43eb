package site_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/site"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// Guards against a cancel request that has no effect because the load balancer
// sent it to a different host than the one that serves the session.
func TestCancelThroughAnotherHost(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	s, err := site.Start(ctx, site.Kimberley())
	is.NoErr(err)
	defer func() { _ = s.Close(context.Background()) }()
	conn, err := pgx.Connect(ctx, s.URL(s.Hosts()[0], "batch", "estate-lawyers", "certificates"))
	is.NoErr(err)
	defer conn.Close(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(20)")
		done <- err
	}()
	// The statement may not have started when the first cancel requests arrive.
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			var e *pgconn.PgError
			is.True(errors.As(err, &e))
			is.Equal(e.Code, "57014")
			return
		case <-ticker.C:
			sendCancel(t, s, conn.PgConn())
		}
	}
}

// sendCancel sends a cancel request for the connection to a host other than
// the one that serves it.
func sendCancel(t *testing.T, s *site.Site, c *pgconn.PgConn) {
	t.Helper()
	n, err := net.Dial("tcp", s.Hosts()[1].Settings().Listen.Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	key := make([]byte, 4)
	copy(key, c.SecretKey())
	message, err := (&pgproto3.CancelRequest{ProcessID: c.PID(), SecretKey: key}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := n.Write(message); err != nil {
		t.Fatal(err)
	}
	// The host closes the connection when it has handled the request.
	_ = n.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, _ = n.Read(make([]byte, 1))
}
