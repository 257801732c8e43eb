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
	// startTimeout bounds the start of a session, answerTimeout an answer.
	startTimeout  = 2 * time.Second
	answerTimeout = 4 * time.Second
)

// A Session is one connection of a caller. One goroutine uses it at a time.
type Session struct {
	name string
	net  net.Conn
	in   *bufio.Reader
	next int
}

// Dial starts a session for the route. Names of sessions make the ids of
// statements unique.
func Dial(to netip.AddrPort, route, name string) (s *Session, err error) {
	n, err := net.DialTimeout("tcp", to.String(), startTimeout)
	if err != nil {
		return nil, fmt.Errorf("lineclient: %w", err)
	}
	defer func() {
		if err != nil {
			_ = n.Close()
			err = fmt.Errorf("lineclient: start of %s: %w", name, err)
		}
	}()
	s = &Session{name: name, net: n, in: bufio.NewReader(n)}
	if err := n.SetDeadline(time.Now().Add(startTimeout)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(n, "START %s %s\r\n", route, name); err != nil {
		return nil, err
	}
	l, err := s.in.ReadString('\n')
	if err == nil && !strings.HasPrefix(l, "READY") {
		err = fmt.Errorf("answer %q", l)
	}
	return s, err
}

// Close ends the session.
func (s *Session) Close() { _ = s.net.Close() }

// A Reply is the answer to one statement.
type Reply struct {
	Rows []string
	// Code is that of the error, empty for success.
	Code string
	// State is that of the session after the statement.
	State string
}

// Query sends a statement and reads its answer. It returns false if no whole
// answer came.
func (s *Session) Query(text string) (r Reply, ok bool) {
	s.next++
	if err := s.net.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return r, false
	}
	if _, err := fmt.Fprintf(s.net, "QUERY %s-%d %s\r\n", s.name, s.next, text); err != nil {
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

// NotRun reports whether the code of an error promises that nothing of the
// statement is kept.
func NotRun(code string) bool {
	switch code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY":
		return true
	}
	return false
}
