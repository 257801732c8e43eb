package scenario

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// dialTimeout limits the opening of a connection.
const dialTimeout = 5 * time.Second

// rejectTimeout is how long a host may take to close a connection that violates
// the protocol.
const rejectTimeout = 15 * time.Second

// frame returns a protocol message whose length field may be wrong.
func frame(kind byte, length uint32, body []byte) []byte {
	b := []byte{kind}
	b = binary.BigEndian.AppendUint32(b, length)
	return append(b, body...)
}

func startup(length, version uint32, body string) []byte {
	b := binary.BigEndian.AppendUint32(nil, length)
	b = binary.BigEndian.AppendUint32(b, version)
	return append(b, body...)
}

const protocol3 = 3 << 16

// preAuthInputs are inputs of callers that have not authenticated. The host must
// close the connection after each of them.
var preAuthInputs = map[string][]byte{
	"http":               []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
	"zero-length":        startup(0, protocol3, ""),
	"negative-length":    startup(0xffffffff, protocol3, "user"),
	"huge-length":        startup(1<<30, protocol3, "user\x00"),
	"wrong-version":      startup(9, 7<<16, "\x00"),
	"no-terminator":      startup(8+8, protocol3, "user\x00abc"),
	"no-user":            startup(9, protocol3, "\x00"),
	"query-as-startup":   frame('Q', 13, []byte("SELECT 1\x00")),
	"many-requests-ssl":  bytes.Repeat(startup(8, 80877103, ""), 1000),
	"unknown-cancel":     append(startup(16, 80877102, ""), make([]byte, 8)...),
	"random":             bytes.Repeat([]byte{0xde, 0xad, 0xbe, 0xef}, 4096),
	"query-before-login": append(startup(8+31, protocol3, "user\x00valuer@valuers\x00database\x00"), frame('Q', 13, []byte("SELECT 1\x00"))...),
}

// postAuthInputs are inputs of callers that have authenticated.
var postAuthInputs = map[string][]byte{
	"unknown-message":   frame(0xff, 4, nil),
	"length-too-small":  frame('Q', 0, nil),
	"negative-length":   frame('Q', 0xffffffff, []byte("x")),
	"huge-query":        frame('Q', 1<<30, bytes.Repeat([]byte("x"), 1<<20)),
	"no-terminator":     frame('Q', 12, []byte("SELECT 1")),
	"bind-overflow":     append(frame('B', 4+12, []byte("\x00\x00\xff\xff\x00\x00\xff\xff\xff\xff\xff\xff")), frame('S', 4, nil)...),
	"parse-truncated":   append(frame('P', 6, []byte("\x00S")), frame('S', 4, nil)...),
	"password-again":    frame('p', 9, []byte("again")),
	"copy-data":         append(frame('d', 5, []byte("x")), frame('c', 4, nil)...),
	"function-call":     frame('F', 14, make([]byte, 10)),
	"deep-nesting":      query("SELECT " + string(bytes.Repeat([]byte("("), 100_000))),
	"unclosed-comment":  query("SELECT /* /* /* 1"),
	"invalid-utf8":      query("SELECT '\xff\xfe\xfd'"),
	"proxy-control":     query("SELECT * FROM group_fence(99, 'x')"),
	"promote-injection": query("SELECT 1; SELECT * FROM group_promote(99, 'x')"),
}

func query(text string) []byte {
	body := append([]byte(text), 0)
	return frame('Q', uint32(4+len(body)), body)
}

// cmdHostile: HOST LOGIN@CUSTOMER DATABASE. Sends all malformed inputs, each on
// a separate connection.
func cmdHostile(ctx context.Context, _ *testscript.TestScript, fx *fixture, args []string) error {
	h, err := fx.settings(args[0])
	if err != nil {
		return err
	}
	for name, input := range preAuthInputs {
		conn, err := net.DialTimeout("tcp", h.Listen.Callers.String(), dialTimeout)
		if err != nil {
			return err
		}
		if err := sendMalformed(conn, input); err != nil {
			return fmt.Errorf("before login, %s: %w", name, err)
		}
	}
	for name, input := range postAuthInputs {
		s, err := fx.connect(ctx, args[0], args[1], args[2], nil)
		if err != nil {
			return fmt.Errorf("connect for %s: %w", name, err)
		}
		raw, err := s.conn.PgConn().Hijack()
		if err != nil {
			return err
		}
		// A failed statement leaves the connection open, so send Terminate.
		if err := sendMalformed(raw.Conn, append(input, frame('X', 4, nil)...)); err != nil {
			return fmt.Errorf("after login, %s: %w", name, err)
		}
	}
	return nil
}

// sendMalformed sends the input and reads until the host has closed the
// connection.
func sendMalformed(conn net.Conn, input []byte) error {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(rejectTimeout))
	go func() {
		_, _ = conn.Write(input) // The host may close early.
	}()
	_, err := io.Copy(io.Discard, conn)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		return fmt.Errorf("the host did not close the connection within %v", rejectTimeout)
	}
	return nil
}

// cmdSilentCallers: HOST N. Opens N connections that send nothing.
func cmdSilentCallers(_ context.Context, ts *testscript.TestScript, fx *fixture, args []string) error {
	h, err := fx.settings(args[0])
	if err != nil {
		return err
	}
	var n int
	if _, err := fmt.Sscan(args[1], &n); err != nil {
		return err
	}
	for range n {
		conn, err := net.DialTimeout("tcp", h.Listen.Callers.String(), dialTimeout)
		if err != nil {
			return err
		}
		ts.Defer(func() { conn.Close() })
	}
	return nil
}
