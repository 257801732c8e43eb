package caller

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Limits bound what callers may use. A zero field keeps its default.
type Limits struct {
	// ConnectionBuffer is how many bytes a connection may send ahead of what
	// its session has read.
	ConnectionBuffer int
	// TotalBuffer bounds the bytes received and not yet answered of all
	// connections together, and their prepared statements.
	TotalBuffer int
	// CustomerBuffer is the part of TotalBuffer that one customer may take.
	CustomerBuffer int
	// Message is the longest message.
	Message int
	// Batch is the longest extended batch, counting messageOverhead for each
	// message.
	Batch int
	// Statements and StatementBytes bound the prepared statements of a session.
	Statements     int
	StatementBytes int
	// Settings bounds the parameters that a session sets.
	Settings int
	// Connections bounds the connections of this host, authenticated or not.
	Connections int
	// Startup is the time until a connection must be authenticated.
	Startup time.Duration
	// Write is how long a caller may leave the answer unread.
	Write time.Duration
	// DrainIdle is how long a transaction may stay idle while the host drains.
	DrainIdle time.Duration
}

const (
	kib = 1 << 10
	mib = 1 << 20

	// messageOverhead is what a decoded message takes beyond its bytes.
	messageOverhead = 256
	// startupBuffer is the ConnectionBuffer of a caller that is not known yet.
	startupBuffer = 16 * kib
)

func defaultLimits() Limits {
	return Limits{
		ConnectionBuffer: mib,
		TotalBuffer:      512 * mib,
		CustomerBuffer:   128 * mib,
		Message:          16 * mib,
		Batch:            64 * mib,
		Statements:       1000,
		StatementBytes:   4 * mib,
		Settings:         100,
		Connections:      20000,
		Startup:          10 * time.Second,
		Write:            30 * time.Second,
		DrainIdle:        30 * time.Second,
	}
}

// fill takes over the fields of l that are set.
func (d *Limits) fill(l Limits) {
	pairs := []struct {
		to   *int
		from int
	}{
		{&d.ConnectionBuffer, l.ConnectionBuffer},
		{&d.TotalBuffer, l.TotalBuffer},
		{&d.CustomerBuffer, l.CustomerBuffer},
		{&d.Message, l.Message},
		{&d.Batch, l.Batch},
		{&d.Statements, l.Statements},
		{&d.StatementBytes, l.StatementBytes},
		{&d.Settings, l.Settings},
		{&d.Connections, l.Connections},
	}
	for _, p := range pairs {
		if p.from > 0 {
			*p.to = p.from
		}
	}
	for _, p := range []struct{ to, from *time.Duration }{
		{&d.Startup, &l.Startup}, {&d.Write, &l.Write}, {&d.DrainIdle, &l.DrainIdle},
	} {
		if *p.from > 0 {
			*p.to = *p.from
		}
	}
}

// An Option changes a Server under construction.
type Option func(*Server)

// WithClock sets the clock. The default is the system clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *Server) { s.clock = c } }

// WithLogger sets the logger. The default is logrus's standard logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Server) { s.log = l } }

// WithMetrics sets the scope of the metrics. The default drops them.
func WithMetrics(m tally.Scope) Option { return func(s *Server) { s.scope = m } }

// WithLimits changes the limits whose fields are not zero.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits.fill(l) } }

// WithMockSecret sets the key from which the salts of unknown logins are made.
// Hosts that share it answer alike; the default is random for each process.
func WithMockSecret(secret []byte) Option { return func(s *Server) { s.mockSecret = secret } }

// WithCancelForwarder sets the way of cancel keys to other hosts. Without one,
// a cancel request has an effect only at the host of the session.
func WithCancelForwarder(f CancelForwarder) Option { return func(s *Server) { s.forwarder = f } }
