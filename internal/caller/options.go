package caller

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Limits bounds the resources that clients may use. A zero field keeps its
// default.
type Limits struct {
	// ConnectionBuffer is the maximum number of bytes received on a connection
	// that its session has not read yet.
	ConnectionBuffer int
	// TotalBuffer bounds the memory for input that has been received but not
	// yet answered, and for prepared statements, over all connections.
	TotalBuffer int
	// CustomerBuffer is the part of TotalBuffer that one customer may use.
	CustomerBuffer int
	// MessageBytes is the maximum length of a message.
	MessageBytes int
	// BatchBytes is the maximum size of an extended-query batch, counting
	// messageOverhead for each message.
	BatchBytes int
	// Statements and StatementBytes bound the prepared statements of a session.
	Statements     int
	StatementBytes int
	// Settings bounds the number of parameters that a session sets.
	Settings int
	// Connections bounds the client connections of this host, authenticated or
	// not.
	Connections int
	// StartupTimeout is the time within which a connection must authenticate.
	StartupTimeout time.Duration
	// WriteTimeout is how long a client may leave the response unread.
	WriteTimeout time.Duration
	// DrainIdleTimeout is how long a transaction may stay idle while the host
	// drains.
	DrainIdleTimeout time.Duration
}

const (
	kib = 1 << 10
	mib = 1 << 20

	// messageOverhead is the memory in bytes counted for a decoded message in
	// addition to its length.
	messageOverhead = 256
	// startupBuffer is the input buffer limit of a connection that is not
	// authenticated yet.
	startupBuffer = 16 * kib
)

func defaultLimits() Limits {
	return Limits{
		ConnectionBuffer: mib,
		TotalBuffer:      512 * mib,
		CustomerBuffer:   128 * mib,
		MessageBytes:     16 * mib,
		BatchBytes:       64 * mib,
		Statements:       1000,
		StatementBytes:   4 * mib,
		Settings:         100,
		Connections:      20000,
		StartupTimeout:   10 * time.Second,
		WriteTimeout:     30 * time.Second,
		DrainIdleTimeout: 30 * time.Second,
	}
}

// override copies the fields of l that are set.
func (d *Limits) override(l Limits) {
	pairs := []struct {
		to   *int
		from int
	}{
		{&d.ConnectionBuffer, l.ConnectionBuffer},
		{&d.TotalBuffer, l.TotalBuffer},
		{&d.CustomerBuffer, l.CustomerBuffer},
		{&d.MessageBytes, l.MessageBytes},
		{&d.BatchBytes, l.BatchBytes},
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
		{&d.StartupTimeout, &l.StartupTimeout}, {&d.WriteTimeout, &l.WriteTimeout}, {&d.DrainIdleTimeout, &l.DrainIdleTimeout},
	} {
		if *p.from > 0 {
			*p.to = *p.from
		}
	}
}

// An Option configures a Server.
type Option func(*Server)

// WithClock sets the clock. The default is the system clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *Server) { s.clock = c } }

// WithLogger sets the logger. The default is logrus's standard logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Server) { s.log = l } }

// WithMetrics sets the scope of the metrics. By default no
// metrics are recorded.
func WithMetrics(m tally.Scope) Option { return func(s *Server) { s.scope = m } }

// WithLimits overrides the limits whose fields are not zero.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits.override(l) } }

// WithMockSecret sets the key from which the SCRAM salts of unknown logins are
// derived. Hosts that share the key send the same salt for a login; by default
// each process uses a random key.
func WithMockSecret(secret []byte) Option { return func(s *Server) { s.mockSecret = secret } }

// WithCancelForwarder sets how cancel requests are forwarded to other hosts.
// Without a forwarder, a cancel request has an effect only if it is sent to the
// host of the session.
func WithCancelForwarder(f CancelForwarder) Option { return func(s *Server) { s.forwarder = f } }
