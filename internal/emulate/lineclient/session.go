package lineclient

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"
)

const (
	// startTimeout bounds the start of a session.
	startTimeout = 2 * time.Second
	// responseTimeout bounds one statement and its response.
	responseTimeout = 4 * time.Second
)

// A Session is one connection of a caller. It is not safe for concurrent use.
type Session struct {
	name   string
	net    net.Conn
	in     *bufio.Reader
	lastID int
}

// Dial starts a session for the route. The session's name is the prefix of the
// IDs of its statements, so it must be unique for them to be unique.
func Dial(to netip.AddrPort, route, name string) (*Session, error) {
	return DialWithKey(to, route, name, name)
}

// DialWithKey is Dial for a caller that identifies itself by a key.
func DialWithKey(to netip.AddrPort, route, name, key string) (s *Session, err error) {
	n, err := net.DialTimeout("tcp", to.String(), startTimeout)
	if err != nil {
		return nil, fmt.Errorf("lineclient: %w", err)
	}
	defer func() {
		if err != nil {
			_ = n.Close()
			err = fmt.Errorf("lineclient: start session %s: %w", name, err)
		}
	}()
	s = &Session{name: name, net: n, in: bufio.NewReader(n)}
	if err := n.SetDeadline(time.Now().Add(startTimeout)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(n, "START %s %s\r\n", route, key); err != nil {
		return nil, err
	}
	l, err := s.in.ReadString('\n')
	if err == nil && !strings.HasPrefix(l, "READY") {
		err = fmt.Errorf("unexpected response %q", l)
	}
	return s, err
}

// Close closes the connection.
func (s *Session) Close() { _ = s.net.Close() }

// A Reply is the response to one statement.
type Reply struct {
	Rows []string
	// Code is the error code, empty for success.
	Code string
	// State is the state of the session after the statement.
	State string
}

// Query sends a statement and reads the response. It reports false if it received
// no complete response.
func (s *Session) Query(text string) (r Reply, ok bool) {
	s.lastID++
	if err := s.net.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return r, false
	}
	if _, err := fmt.Fprintf(s.net, "QUERY %s-%d %s\r\n", s.name, s.lastID, text); err != nil {
		return r, false
	}
	for {
		l, err := s.in.ReadString('\n')
		if err != nil {
			return r, false
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(l, "\r\n"), " ")
		switch word {
		case "ROW":
			r.Rows = append(r.Rows, rest)
		case "ERROR":
			r.Code, _, _ = strings.Cut(rest, " ")
		case "READY":
			r.State, _, _ = strings.Cut(rest, " ")
			return r, true
		}
	}
}

// NotRun reports whether an error code guarantees that the statement had no
// effect.
func NotRun(code string) bool {
	switch code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY", "DENIED":
		return true
	}
	return false
}
