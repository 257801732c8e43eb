package caller

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/gypsumyard/gypsumyard"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Request codes of startup packets.
const (
	codeCancel = 80877102
	codeSSL    = 80877103
	codeGSS    = 80877104
)

const (
	protocolMajor = 3
	// maxNegotiations is the maximum number of SSLRequest and GSSENCRequest
	// packets of one connection.
	maxNegotiations = 2
)

// receiveStartup declines encryption requests and returns the startup message.
// After a CancelRequest it returns errTerminate.
func (x *session) receiveStartup() (*pgproto3.StartupMessage, error) {
	for range maxNegotiations + 1 {
		body, err := x.frames.readStartup()
		if err != nil {
			return nil, err
		}
		x.frames.release()
		switch code := binary.BigEndian.Uint32(body); code {
		case codeSSL, codeGSS:
			x.out = append(x.out, 'N')
			if err := x.flush(); err != nil {
				return nil, err
			}
		case codeCancel:
			if len(body) > 8 {
				x.server.cancelStatement(binary.BigEndian.Uint32(body[4:]), body[8:])
			}
			return nil, errTerminate
		default:
			return decodeStartup(code, body[4:])
		}
	}
	return nil, gypsumyard.Errorf(gypsumyard.ClassProtocol, "too many requests for encryption")
}

// decodeStartup decodes a startup message of any minor version of protocol 3.
func decodeStartup(version uint32, body []byte) (*pgproto3.StartupMessage, error) {
	if version>>16 != protocolMajor {
		return nil, gypsumyard.Errorf(gypsumyard.ClassNotSupported, "protocol version %d.%d is not supported", version>>16, version&0xffff)
	}
	m := &pgproto3.StartupMessage{ProtocolVersion: version, Parameters: map[string]string{}}
	malformed := gypsumyard.Errorf(gypsumyard.ClassProtocol, "malformed startup message")
	for {
		if len(body) == 0 {
			return nil, malformed
		}
		if body[0] == 0 {
			break
		}
		name, rest, ok := cutCString(body)
		if !ok {
			return nil, malformed
		}
		value, rest, ok := cutCString(rest)
		if !ok {
			return nil, malformed
		}
		m.Parameters[name] = value
		body = rest
	}
	if len(body) != 1 {
		return nil, malformed
	}
	return m, nil
}

// cutCString splits b after a string that is terminated by a zero byte.
func cutCString(b []byte) (text string, rest []byte, ok bool) {
	before, rest, ok := bytes.Cut(b, []byte{0})
	return string(before), rest, ok
}

// negotiate sends the supported protocol version to a client that requests
// another minor version or protocol options.
func (x *session) negotiate(m *pgproto3.StartupMessage) {
	var unknown []string
	for name := range m.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	if m.ProtocolVersion == pgproto3.ProtocolVersion30 && len(unknown) == 0 {
		return
	}
	slices.Sort(unknown)
	// PostgreSQL sends the whole version number here, not only the minor one.
	x.send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: pgproto3.ProtocolVersion30, UnrecognizedOptions: unknown})
}

// handshake runs the startup phase: it receives the startup message,
// authenticates the client and applies the parameters.
func (x *session) handshake() error {
	m, err := x.receiveStartup()
	if err != nil {
		return err
	}
	if err := x.server.checkReady(); err != nil {
		return err
	}
	x.negotiate(m)
	user := m.Parameters["user"]
	if user == "" {
		return gypsumyard.Errorf(gypsumyard.ClassAuth, "no user name given in the startup message")
	}
	if err := x.authenticate(user); err != nil {
		return err
	}
	x.database = m.Parameters["database"]
	if x.database == "" {
		x.database = user
	}
	if err := x.authorize(); err != nil {
		return err
	}
	return x.applyStartupParams(m.Parameters)
}

// checkReady returns an error if the host is draining or the lists are not
// known yet.
func (s *Server) checkReady() error {
	select {
	case <-s.draining:
		return gypsumyard.Errorf(gypsumyard.ClassShutdown, "the host is shutting down")
	default:
	}
	select {
	case <-s.lists.Ready():
		return nil
	default:
		return &gypsumyard.Error{Class: gypsumyard.ClassNotRun, State: "57P03", Message: "the host does not know the plan lists yet"}
	}
}

// authorize checks that the login exists and that its customer has access to
// the database. It runs before each request outside a transaction, so that a
// change of the lists takes effect on open sessions.
func (x *session) authorize() error {
	customer, ok := x.server.lists.Customer(x.customer)
	if !ok {
		return gypsumyard.Errorf(gypsumyard.ClassAuth, "customer %q does not exist", x.customer)
	}
	if _, ok := customer.Login(x.login.Name); !ok {
		return gypsumyard.Errorf(gypsumyard.ClassAuth, "login %q of customer %q does not exist", x.login.Name, x.customer)
	}
	_, exists := x.server.lists.Database(x.database)
	if !exists || !slices.Contains(customer.Databases, x.database) {
		return &gypsumyard.Error{
			Class:   gypsumyard.ClassAuth,
			State:   "3D000",
			Message: fmt.Sprintf("database %q does not exist or is not granted to customer %q", x.database, x.customer),
		}
	}
	return nil
}

// openSession counts the session towards the session limit of the customer's
// plan. It returns the budget that the customer's sessions share.
func (s *Server) openSession(customerName string) (*budget, error) {
	customer, _ := s.lists.Customer(customerName)
	plan, ok := s.lists.Plan(customer.Plan)
	if !ok {
		return nil, gypsumyard.Errorf(gypsumyard.ClassPlan, "plan %q of customer %q does not exist", customer.Plan, customerName)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := s.customers[customerName]
	if usage == nil {
		usage = &customerUsage{budget: budget{limit: int64(s.limits.CustomerBuffer), parent: &s.budget}}
	}
	if usage.sessions >= plan.MaxSessions {
		return nil, gypsumyard.Errorf(gypsumyard.ClassLoad, "too many sessions: plan %q allows %d on one host", plan.Name, plan.MaxSessions)
	}
	s.customers[customerName] = usage
	usage.sessions++
	s.sessionCount++
	s.metrics.opened.Inc(1)
	s.metrics.sessions.Update(float64(s.sessionCount))
	return &usage.budget, nil
}

func (s *Server) closeSession(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := s.customers[customer]
	usage.sessions--
	if usage.sessions == 0 {
		delete(s.customers, customer)
	}
	s.sessionCount--
	s.metrics.sessions.Update(float64(s.sessionCount))
}

// sendGreeting sends AuthenticationOk, the initial parameter values and the
// cancel key.
func (x *session) sendGreeting() {
	x.send(&pgproto3.AuthenticationOk{})
	for _, p := range []pgproto3.ParameterStatus{
		{Name: "server_version", Value: serverVersion},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "is_superuser", Value: "off"},
		{Name: "session_authorization", Value: x.login.Name + "@" + x.customer},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: "in_hot_standby", Value: "off"},
		{Name: paramSession, Value: string(x.id)},
	} {
		x.send(&p)
	}
	for _, name := range slices.Sorted(maps.Keys(reportedParameters)) {
		x.reportParameter(name)
	}
	if x.positionKnown {
		x.reportPosition()
	}
	secret := binary.BigEndian.AppendUint32(nil, x.key.secret)
	x.send(&pgproto3.BackendKeyData{ProcessID: x.key.processID, SecretKey: secret})
}
