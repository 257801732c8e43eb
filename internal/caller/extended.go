package caller

import (
	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
	"github.com/jackc/pgx/v5/pgproto3"
)

// A message is a decoded message of an extended-query batch, with the prepared
// statement that it refers to, if that is known.
type message struct {
	kind byte
	// object is 'S' if name is that of a statement, 'P' for a portal.
	object byte
	name   string
	portal string
	parse  *pgproto3.Parse
	bind   *pgproto3.Bind
	// passthrough is the decoded message if it can be sent upstream unchanged.
	passthrough pgproto3.FrontendMessage
	target      *preparedStatement
}

// decodeMessage decodes a Parse, Bind, Describe, Execute or Close message.
func decodeMessage(f frame) (m message, err error) {
	m = message{kind: f.kind}
	switch f.kind {
	case 'P':
		m.parse = &pgproto3.Parse{}
		err = m.parse.Decode(f.body())
		m.object, m.name = 'S', m.parse.Name
	case 'B':
		m.bind = &pgproto3.Bind{}
		err = m.bind.Decode(f.body())
		m.object, m.name, m.portal = 'S', m.bind.PreparedStatement, m.bind.DestinationPortal
	case 'D':
		d := &pgproto3.Describe{}
		err = d.Decode(f.body())
		m.object, m.name, m.passthrough = d.ObjectType, d.Name, d
	case 'C':
		c := &pgproto3.Close{}
		err = c.Decode(f.body())
		m.object, m.name, m.passthrough = c.ObjectType, c.Name, c
	case 'E':
		e := &pgproto3.Execute{}
		err = e.Decode(f.body())
		m.object, m.name, m.passthrough = 'P', e.Portal, e
	}
	if err == nil && m.object != 'S' && m.object != 'P' {
		err = gypsumyard.Errorf(gypsumyard.ClassProtocol, "invalid object type %q", m.object)
	}
	if err != nil {
		return m, gypsumyard.Errorf(gypsumyard.ClassProtocol, "malformed message of type %q: %v", f.kind, err)
	}
	return m, nil
}

// addToBatch buffers a message until the batch's Sync or Flush.
func (x *session) addToBatch(f frame) error {
	if !x.frames.charge(messageOverhead) {
		return errInputOverflow
	}
	if x.frames.held > x.server.limits.BatchBytes {
		return stateErrorf(stateLimitExceeded, "extended batch of over %d bytes", x.server.limits.BatchBytes)
	}
	m, err := decodeMessage(f)
	if err != nil {
		return err
	}
	x.batch = append(x.batch, m)
	return nil
}

// handleSync runs the batch.
func (x *session) handleSync() error {
	batch := x.batch
	x.batch = nil
	x.skipToSync = false
	if len(batch) > 0 {
		if err := x.authorizeRequest(); err != nil {
			return err
		}
		if _, err := x.runBatch(batch); err != nil {
			return err
		}
	}
	return x.sendReady()
}

// handleFlush runs the messages of the batch received so far. Outside a
// transaction it rejects batches with Bind or Execute messages, because the
// implicit transaction of a batch lasts until its Sync.
func (x *session) handleFlush() error {
	if len(x.batch) == 0 {
		return nil
	}
	batch := x.batch
	x.batch = nil
	if err := x.authorizeRequest(); err != nil {
		return err
	}
	for i := range batch {
		if (batch[i].kind == 'B' || batch[i].kind == 'E') && !x.tx.open() {
			x.skipToSync = true
			e := gypsumyard.Errorf(gypsumyard.ClassNotSupported, "Flush after Bind or Execute is supported within transactions only")
			if err := x.reject(e); err != nil {
				return err
			}
			return x.flush()
		}
	}
	ok, err := x.runBatch(batch)
	if err != nil {
		return err
	}
	x.skipToSync = !ok
	return x.flush()
}

func (x *session) runBatch(batch []message) (ok bool, err error) {
	defer x.prepared.releaseReserved()
	return x.runUnits(x.splitBatch(batch))
}

// A batchSplitter splits an extended-query batch into units. It tracks the
// prepared statements and portals that exist when each message is executed.
type batchSplitter struct {
	session *session
	byName  map[string]*preparedStatement
	portals map[string]*preparedStatement
	units   []unit
}

// splitBatch splits a batch into units and reserves the memory for its prepared
// statements.
func (x *session) splitBatch(batch []message) []unit {
	s := &batchSplitter{session: x, byName: map[string]*preparedStatement{}, portals: map[string]*preparedStatement{}}
	for i := range batch {
		m := &batch[i]
		if e := s.resolve(m); e != nil {
			s.units = append(s.units, unit{failure: e})
			break
		}
		s.add(m)
	}
	return s.units
}

func (s *batchSplitter) lookUp(name string) *preparedStatement {
	if known, ok := s.byName[name]; ok {
		return known
	}
	return s.session.prepared.get(name)
}

// resolve sets the statement that the message refers to. It returns the error
// with which the batch fails at this message, or nil.
func (s *batchSplitter) resolve(m *message) *gypsumyard.Error {
	switch {
	case m.kind == 'P':
		return s.resolveParse(m)
	case m.kind == 'C' && m.object == 'S':
		s.byName[m.name] = nil
	case m.kind == 'C':
		delete(s.portals, m.name)
	case m.object == 'S':
		m.target = s.lookUp(m.name)
		if m.target == nil {
			return stateErrorf(stateUnknownStatement, "prepared statement %q does not exist", m.name)
		}
		if m.kind == 'B' {
			s.portals[m.portal] = m.target
		}
	default:
		m.target = s.portals[m.name]
		if m.target == nil && !s.mayHaveOpenPortal() {
			return stateErrorf(stateUnknownPortal, "portal %q does not exist", m.name)
		}
	}
	return nil
}

// mayHaveOpenPortal reports whether an earlier batch of the same transaction
// may have left a portal open.
func (s *batchSplitter) mayHaveOpenPortal() bool { return s.session.tx.open() }

func (s *batchSplitter) resolveParse(m *message) *gypsumyard.Error {
	if m.name != "" && s.lookUp(m.name) != nil {
		return stateErrorf(stateDuplicateStatement, "prepared statement %q already exists", m.name)
	}
	statements := sqltext.Split(m.parse.Query)
	if len(statements) > 1 {
		return stateErrorf(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	p := &preparedStatement{name: m.name, query: m.parse.Query, paramOIDs: m.parse.ParameterOIDs, statement: statements[0]}
	if !s.session.prepared.reserve(p) {
		return stateErrorf(stateLimitExceeded, "too many prepared statements in one session")
	}
	s.byName[m.name] = p
	m.target = p
	return nil
}

// add appends the message to the last unit, or to a new unit if the last one
// does not accept it.
func (s *batchSplitter) add(m *message) {
	if len(s.units) == 0 || !s.units[len(s.units)-1].accepts(m) {
		s.units = append(s.units, unit{class: gypsumyard.StatementRead})
	}
	u := &s.units[len(s.units)-1]
	u.messages = append(u.messages, *m)
	if m.target != nil && (len(u.statements) == 0 || u.statements[len(u.statements)-1] != &m.target.statement) {
		u.statements = append(u.statements, &m.target.statement)
	}
	if m.kind != 'E' {
		return
	}
	u.executes = true
	switch {
	case m.target == nil:
		u.class = gypsumyard.StatementWrite
	case m.target.statement.Class != gypsumyard.StatementRead:
		u.class = m.target.statement.Class
	}
}

// accepts reports whether the message can be part of the unit. A message that
// refers to no known statement can if it is a Close or the unit is plain, one
// for a plain statement if the unit is plain, and any other only if it is for
// the unit's single statement. A unit that has no statements yet accepts a
// message for a statement only if it begins with a Close.
func (u *unit) accepts(m *message) bool {
	if m.target == nil {
		return m.kind == 'C' || u.kind() == sqltext.KindPlain
	}
	if len(u.statements) == 0 {
		return u.messages[0].kind == 'C'
	}
	if m.target.statement.Kind == sqltext.KindPlain {
		return u.kind() == sqltext.KindPlain
	}
	return u.statement() == &m.target.statement
}

// rewrite encodes the messages of a unit as a batch of its own. Statements are
// parsed as the unnamed statement before they are used, and a Sync ends the
// batch.
func (x *session) rewrite(messages []message) (out []byte, ops []op, err error) {
	w := rewriter{session: x}
	for i := range messages {
		if err := w.add(&messages[i]); err != nil {
			return nil, nil, err
		}
		if len(w.out) > x.server.limits.BatchBytes {
			return nil, nil, stateErrorf(stateLimitExceeded, "extended batch of over %d bytes with its prepared statements", x.server.limits.BatchBytes)
		}
	}
	out, err = (&pgproto3.Sync{}).Encode(w.out)
	return out, w.ops, err
}

// A rewriter encodes the messages of a unit for the upstream.
type rewriter struct {
	session *session
	out     []byte
	ops     []op
	// unnamed is the statement that is the unnamed statement of the upstream
	// connection at this point of the batch, or nil.
	unnamed *preparedStatement
}

func (w *rewriter) add(m *message) (err error) {
	x := w.session
	switch {
	case m.kind == 'P':
		return w.parse(m.target, op{kind: opParse, onSuccess: func() { x.prepared.put(m.target) }})
	case m.kind == 'B':
		if err := w.ensureParsed(m.target); err != nil {
			return err
		}
		w.ops = append(w.ops, op{kind: opBind})
		b := *m.bind
		b.PreparedStatement = ""
		w.out, err = b.Encode(w.out)
		return err
	case m.kind == 'D' && m.object == 'S':
		if err := w.ensureParsed(m.target); err != nil {
			return err
		}
		w.ops = append(w.ops, op{kind: opDescribe})
		w.out, err = (&pgproto3.Describe{ObjectType: 'S'}).Encode(w.out)
		return err
	case m.kind == 'D':
		w.ops = append(w.ops, op{kind: opDescribe})
	case m.kind == 'E':
		w.ops = append(w.ops, op{kind: opExecute})
	case m.object == 'S':
		if m.name == "" {
			w.unnamed = nil
		}
		w.ops = append(w.ops, op{kind: opClose, onSuccess: func() { x.prepared.remove(m.name) }})
	default:
		w.ops = append(w.ops, op{kind: opClose})
	}
	w.out, err = m.passthrough.Encode(w.out)
	return err
}

// ensureParsed makes p the unnamed statement of the upstream connection.
func (w *rewriter) ensureParsed(p *preparedStatement) error {
	if w.unnamed == p {
		return nil
	}
	return w.parse(p, op{kind: opParse, hidden: true})
}

func (w *rewriter) parse(p *preparedStatement, o op) (err error) {
	w.unnamed = p
	w.ops = append(w.ops, o)
	w.out, err = (&pgproto3.Parse{Query: p.upstreamQuery(), ParameterOIDs: p.paramOIDs}).Encode(w.out)
	return err
}
