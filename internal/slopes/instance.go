package slopes

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/gypsumyard/gypsumyard"
	"github.com/jackc/pgx/v5/pgproto3"
)

// A fakeInstance is a fake upstream that responds with fixed bytes, so that its
// own cost is close to that of an echo server.
type fakeInstance struct {
	listener net.Listener
	status   []byte
	// columns and row are the parts of status, for the extended protocol.
	columns, row []byte
	wait         sync.WaitGroup
	// bytes counts the bytes of both directions, messages the writes of
	// responses.
	bytes, messages atomic.Int64
	mu              sync.Mutex
	conns           []net.Conn
}

var statusColumns = []string{"role", "term", "log_offset", "fence", "fence_token", "history", "stream_age_ms", "leaving", "connections"}

func startFakeInstance(role gypsumyard.Role) (*fakeInstance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &fakeInstance{listener: l}
	answer := textRow(statusColumns, []string{string(role), "1", "4711", "1", "token-01", "1:1", "0", "f", "7"})
	i.columns, i.row = encode(answer[0]), encode(answer[1:]...)
	i.status = encode(append(answer, &pgproto3.ReadyForQuery{TxStatus: 'I'})...)
	i.wait.Go(i.accept)
	return i, nil
}

func (i *fakeInstance) addr() netip.AddrPort { return i.listener.Addr().(*net.TCPAddr).AddrPort() }

func (i *fakeInstance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		i.conns = append(i.conns, c)
		i.mu.Unlock()
		i.wait.Go(func() { _ = i.serve(c) })
	}
}

func (i *fakeInstance) close() {
	_ = i.listener.Close()
	i.mu.Lock()
	closeAll(i.conns)
	i.mu.Unlock()
	i.wait.Wait()
}

var startupResponse = encode(&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}, &pgproto3.ReadyForQuery{TxStatus: 'I'})

// serve responds with one write to all queries that are buffered after a read.
func (i *fakeInstance) serve(c net.Conn) error {
	defer c.Close()
	r := bufio.NewReader(c)
	if err := skipStartup(r); err != nil {
		return err
	}
	if _, err := c.Write(startupResponse); err != nil {
		return err
	}
	var out, body []byte
	for {
		out = out[:0]
		for {
			kind, err := i.readMessage(r, &body)
			if err != nil {
				return err
			}
			out = append(out, i.responseTo(kind, body)...)
			if r.Buffered() == 0 {
				break
			}
		}
		i.bytes.Add(int64(len(out)))
		i.messages.Add(1)
		if _, err := c.Write(out); err != nil {
			return err
		}
	}
}

func skipStartup(r *bufio.Reader) error {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	_, err := r.Discard(int(binary.BigEndian.Uint32(length[:])) - len(length))
	return err
}

func (i *fakeInstance) readMessage(r *bufio.Reader, body *[]byte) (kind byte, err error) {
	var header [5]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	n := int(binary.BigEndian.Uint32(header[1:])) - 4
	*body = append((*body)[:0], make([]byte, n)...)
	i.bytes.Add(int64(len(header) + n))
	_, err = io.ReadFull(r, *body)
	return header[0], err
}

// The responses to messages of the extended protocol.
var (
	parsed    = encode(&pgproto3.ParseComplete{})
	described = encode(&pgproto3.ParameterDescription{})
	bound     = encode(&pgproto3.BindComplete{})
)

// responseTo returns the response to a message. It supports simple queries and,
// for status queries only, the extended protocol.
func (i *fakeInstance) responseTo(kind byte, body []byte) []byte {
	switch kind {
	case 'P':
		return parsed
	case 'D':
		return slices.Concat(described, i.columns)
	case 'B':
		return bound
	case 'E':
		return i.row
	case 'S':
		return readyForQuery
	}
	if bytes.Contains(body, []byte("group_status")) {
		return i.status
	}
	return rowAnswer
}
