package lineowner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/gypsumyard/gypsumyard/internal/tcp"
)

const (
	// dialTimeout bounds dialing a connection including its startup exchange.
	dialTimeout = time.Second
	// readBuffer is the size of the read buffer of a connection in bytes.
	readBuffer = 4 << 10
	// maxPrepared is how many prepared statements a connection keeps.
	maxPrepared = 256
	// proxyStatementID is the ID of statements that the proxy itself issues.
	proxyStatementID = "-"
)

// errConnClosed indicates that the instance closed a connection.
var errConnClosed = errors.New("connection was closed by the instance")

// An answer is an instance's answer to one statement.
type answer struct {
	// raw holds the encoded rows and the message that ends them.
	raw []byte
	// failure is the error message, or nil.
	failure *line.Error
	// rows holds the payload of each row, for statements of the proxy itself.
	rows []string
	// state is the transaction state: 'I' outside a transaction, 'T' inside one,
	// 'E' inside a failed one.
	state byte
	// position is the instance's log position.
	position gypsumyard.Position
}

// A conn is a connection to an instance. It is used by one goroutine at a time.
type conn struct {
	net net.Conn
	in  *line.Reader
	out []byte
	// settings are the session settings in force on the connection.
	settings map[string]string
	// prepared maps each prepared statement to its name on this connection.
	prepared map[line.Prepared]string
	// inTransaction indicates that the last answer left a transaction open.
	inTransaction bool
	// dirty indicates that the session settings on the connection are unknown.
	dirty    bool
	lastUsed time.Time
	// customer is the customer that the connection serves, or empty for none.
	customer string
	// epoch is the pool's epoch when the connection was opened.
	epoch int
}

// dial opens a connection and starts a session. If the instance refuses the
// session, the error wraps a *line.Error.
func dial(ctx context.Context, i gypsumyard.ListedInstance, user string) (c *conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("dial instance %s at %s: %w", i.ID, i.Addr, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n, err := tcp.Dial(ctx, i.Addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	c = &conn{net: n, in: line.NewReader(n, readBuffer), settings: map[string]string{}, prepared: map[line.Prepared]string{}}
	if err := c.start(ctx, i, user); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// start performs the startup exchange of the session.
func (c *conn) start(ctx context.Context, i gypsumyard.ListedInstance, user string) error {
	defer c.interruptOnDone(ctx)()
	if _, err := c.net.Write(line.Append(nil, line.WordStart, i.Group, user, i.ID)); err != nil {
		return err
	}
	m, err := c.in.Read()
	if err != nil {
		return err
	}
	switch m.Word {
	case line.WordReady:
		return nil
	case line.WordError:
		return line.ParseError(m.Rest)
	}
	return fmt.Errorf("%w: %s in answer to start", line.ErrMalformed, m.Word)
}

// interruptOnDone interrupts I/O on the connection when ctx is done, until the
// returned function is called.
func (c *conn) interruptOnDone(ctx context.Context) (release func()) {
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	return func() { stop() }
}

func (c *conn) close() { _ = c.net.Close() }

// An exchange is one statement with the setup statements that must precede it.
type exchange struct {
	// setup holds statements of the proxy, which cannot fail on a working
	// connection.
	setup []string
	id    string
	text  string
	// keepRows requests the rows of a statement of the proxy.
	keepRows bool
}

// run sends the statement and reads its answer. It reports whether any byte may
// have reached the instance. After an error the connection must be closed.
func (c *conn) run(ctx context.Context, x exchange) (a answer, sent bool, err error) {
	if ctx.Err() != nil {
		return a, false, context.Cause(ctx)
	}
	defer c.interruptOnDone(ctx)()
	c.out = c.out[:0]
	for _, s := range x.setup {
		c.out = line.Append(c.out, line.WordQuery, proxyStatementID, s)
	}
	c.out = line.Append(c.out, line.WordQuery, x.id, x.text)
	n, err := c.net.Write(c.out)
	if err != nil {
		return a, n > 0, contextCause(ctx, err)
	}
	for range x.setup {
		s, err := c.readAnswer(false)
		if err != nil {
			return a, true, contextCause(ctx, err)
		}
		if s.failure != nil {
			return a, true, fmt.Errorf("set up the connection: %w", s.failure)
		}
	}
	a, err = c.readAnswer(x.keepRows)
	c.inTransaction = a.state == 'T' || a.state == 'E'
	return a, true, contextCause(ctx, err)
}

// contextCause returns the cause of ctx instead of err if ctx is done, since an
// interrupted operation fails with an unspecific error.
func contextCause(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// readAnswer reads one answer up to the message that ends it.
func (c *conn) readAnswer(keepRows bool) (a answer, err error) {
	complete := false
	for {
		m, err := c.in.Read()
		if errors.Is(err, io.EOF) {
			return a, errConnClosed
		}
		if err != nil {
			return a, err
		}
		switch m.Word {
		case line.WordRow:
			if keepRows {
				a.rows = append(a.rows, m.Rest)
			}
		case line.WordComplete:
			complete = true
		case line.WordError:
			complete = true
			a.failure = line.ParseError(m.Rest)
		case line.WordReady:
			if !complete {
				return a, fmt.Errorf("%w: answer ends without a result", line.ErrMalformed)
			}
			return a, a.parseReady(m)
		default:
			return a, fmt.Errorf("%w: %s in an answer", line.ErrMalformed, m.Word)
		}
		a.raw = line.Append(a.raw, m.Word, m.Rest)
	}
}

func (a *answer) parseReady(m line.Message) (err error) {
	f := m.Fields(2)
	if len(f) != 2 || len(f[0]) != 1 {
		return fmt.Errorf("%w: %s %s", line.ErrMalformed, m.Word, m.Rest)
	}
	a.state = f[0][0]
	a.position, err = line.ParsePosition(f[1])
	return err
}

// setupStatements returns the statements that establish the session settings and
// the prepared statement p on the connection, and the name of p.
func (c *conn) setupStatements(settings []gypsumyard.Setting, p line.Prepared) (setup []string, name string) {
	if c.needsReset(settings) {
		setup = append(setup, "RESET")
		clear(c.settings)
		clear(c.prepared)
		c.dirty = false
	}
	for _, s := range settings {
		if v, ok := c.settings[s.Name]; !ok || v != s.Value {
			setup = append(setup, "SET "+s.Name+" "+s.Value)
			c.settings[s.Name] = s.Value
		}
	}
	if p.Verb == "" {
		return setup, ""
	}
	name, ok := c.prepared[p]
	if !ok {
		name = "p" + strconv.Itoa(len(c.prepared))
		setup = append(setup, "PREPARE "+name+" "+string(p.Verb)+" "+p.Shape)
		c.prepared[p] = name
	}
	return setup, name
}

// needsReset reports whether the connection must be reset first: its settings are
// unknown, it has settings that the session lacks, or it has too many prepared
// statements.
func (c *conn) needsReset(settings []gypsumyard.Setting) bool {
	if c.dirty || len(c.prepared) >= maxPrepared {
		return true
	}
	known := 0
	for _, s := range settings {
		if _, ok := c.settings[s.Name]; ok {
			known++
		}
	}
	return known < len(c.settings)
}

// alive reports, without blocking, whether the connection is usable: the instance
// has neither closed it nor sent unsolicited data.
func (c *conn) alive() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	s, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = err == syscall.EAGAIN
		return true
	})
	return err == nil && alive
}
