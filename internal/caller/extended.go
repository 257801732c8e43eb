package caller

import (
	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
	"github.com/jackc/pgx/v5/pgproto3"
)

// A message is one of an extended batch, decoded, with the prepared statement
// that it concerns, if that is known.
type message struct {
	kind byte
	// name is the statement or the portal, object tells which: 'S' or 'P'.
	object byte
	name   string
	portal string
	parse  *pgproto3.Parse
	bind   *pgproto3.Bind
	// plain is the decoded message if it is passed on unchanged.
	plain  pgproto3.FrontendMessage
	target *prepared
}

// decodeMessage reads a Parse, Bind, Describe, Execute or Close.
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
		m.object, m.name, m.plain = d.ObjectType, d.Name, d
	case 'C':
		c := &pgproto3.Close{}
		err = c.Decode(f.body())
		m.object, m.name, m.plain = c.ObjectType, c.Name, c
	case 'E':
		e := &pgproto3.Execute{}
		err = e.Decode(f.body())
		m.object, m.name, m.plain = 'P', e.Portal, e
	}
	if err == nil && m.object != 'S' && m.object != 'P' {
		err = gypsumyard.Errorf(gypsumyard.ClassProtocol, "invalid object type %q", m.object)
	}
	if err != nil {
		return m, gypsumyard.Errorf(gypsumyard.ClassProtocol, "malformed message of type %q: %v", f.kind, err)
	}
	return m, nil
}

// addToBatch keeps a message until the batch's Sync.
func (x *session) addToBatch(f frame) error {
	if !x.frames.charge(messageOverhead) {
		return errOverflow
	}
	if x.frames.held > x.server.limits.BatchBytes {
		return refusal(stateTooMuch, "extended batch of over %d bytes", x.server.limits.BatchBytes)
	}
	m, err := decodeMessage(f)
	if err != nil {
		return err
	}
	x.batch = append(x.batch, m)
	return nil
}

// sync runs the batch.
func (x *session) sync() error {
	batch := x.batch
	x.batch = nil
	x.skipping = false
	if len(batch) > 0 {
		if err := x.admitRequest(); err != nil {
			return err
		}
		if _, err := x.runUnits(x.plan(batch)); err != nil {
			return err
		}
	}
	return x.ready()
}

// flushBatch runs what the batch holds so far. Outside a transaction that is
// possible only while nothing is bound or run: the implicit transaction of a
// batch lasts until its Sync.
func (x *session) flushBatch() error {
	if len(x.batch) == 0 {
		return nil
	}
	batch := x.batch
	x.batch = nil
	if err := x.admitRequest(); err != nil {
		return err
	}
	for i := range batch {
		if (batch[i].kind == 'B' || batch[i].kind == 'E') && !x.tx.open() {
			x.skipping = true
			e := gypsumyard.Errorf(gypsumyard.ClassNotSupported, "Flush after Bind or Execute is supported within transactions only")
			if err := x.refuse(e); err != nil {
				return err
			}
			return x.flush()
		}
	}
	ok, err := x.runUnits(x.plan(batch))
	if err != nil {
		return err
	}
	x.skipping = !ok
	return x.flush()
}

// A planner cuts a batch into units. It follows the prepared statements and
// portals as they will be when each message is reached.
type planner struct {
	session *session
	names   map[string]*prepared
	portals map[string]*prepared
	units   []unit
	count   int
	bytes   int
}

func (x *session) plan(batch []message) []unit {
	p := &planner{session: x, names: map[string]*prepared{}, portals: map[string]*prepared{}}
	for i := range batch {
		m := &batch[i]
		if e := p.resolve(m); e != nil {
			p.units = append(p.units, unit{failure: e})
			break
		}
		p.add(m)
	}
	return p.units
}

func (p *planner) lookUp(name string) *prepared {
	if s, ok := p.names[name]; ok {
		return s
	}
	return p.session.prepared.get(name)
}

// resolve finds the message's statement. It returns the error with which the
// batch fails at this message, if it does.
func (p *planner) resolve(m *message) *gypsumyard.Error {
	switch {
	case m.kind == 'P':
		return p.resolveParse(m)
	case m.kind == 'C' && m.object == 'S':
		p.names[m.name] = nil
	case m.kind == 'C':
		delete(p.portals, m.name)
	case m.object == 'S':
		m.target = p.lookUp(m.name)
		if m.target == nil {
			return refusal(stateUnknownStatement, "prepared statement %q does not exist", m.name)
		}
		if m.kind == 'B' {
			p.portals[m.portal] = m.target
		}
	default:
		m.target = p.portals[m.name]
		if m.target == nil && !p.mayHavePortal() {
			return refusal(stateUnknownPortal, "portal %q does not exist", m.name)
		}
	}
	return nil
}

// mayHavePortal reports whether an earlier batch of the transaction can have
// left a portal open.
func (p *planner) mayHavePortal() bool { return p.session.tx.open() }

func (p *planner) resolveParse(m *message) *gypsumyard.Error {
	if m.name != "" && p.lookUp(m.name) != nil {
		return refusal(stateDuplicateStatement, "prepared statement %q already exists", m.name)
	}
	statements := sqltext.Split(m.parse.Query)
	if len(statements) > 1 {
		return refusal(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	s := &prepared{name: m.name, query: m.parse.Query, types: m.parse.ParameterOIDs, statement: statements[0]}
	if !p.session.prepared.fits(s, p.count, p.bytes) {
		return refusal(stateTooMuch, "too many prepared statements in one session")
	}
	p.count++
	p.bytes += s.size()
	p.names[m.name] = s
	m.target = s
	return nil
}

// add appends the message to the last unit, or to a new one if it concerns
// another kind of statement.
func (p *planner) add(m *message) {
	if len(p.units) == 0 || !p.units[len(p.units)-1].takes(m) {
		p.units = append(p.units, unit{class: gypsumyard.StatementRead})
	}
	u := &p.units[len(p.units)-1]
	u.messages = append(u.messages, *m)
	if m.target != nil && (len(u.statements) == 0 || u.statements[len(u.statements)-1] != &m.target.statement) {
		u.statements = append(u.statements, &m.target.statement)
	}
	if m.kind != 'E' {
		return
	}
	u.runs = true
	switch {
	case m.target == nil:
		u.class = gypsumyard.StatementWrite
	case m.target.statement.Class != gypsumyard.StatementRead:
		u.class = m.target.statement.Class
	}
}

// takes reports whether the message can be part of the unit: it concerns no
// statement, or plain ones like the unit, or the unit's only one.
func (u *unit) takes(m *message) bool {
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

// rewrite returns the messages of a unit as a batch of its own: statements are
// parsed unnamed in front of their use, and a Sync follows.
func (x *session) rewrite(messages []message) (out []byte, ops []op, err error) {
	w := rewriter{session: x}
	for i := range messages {
		if err := w.add(&messages[i]); err != nil {
			return nil, nil, err
		}
		if len(w.out) > x.server.limits.BatchBytes {
			return nil, nil, refusal(stateTooMuch, "extended batch of over %d bytes with its prepared statements", x.server.limits.BatchBytes)
		}
	}
	out, err = (&pgproto3.Sync{}).Encode(w.out)
	return out, w.ops, err
}

type rewriter struct {
	session *session
	out     []byte
	ops     []op
	// unnamed is what the unnamed statement of the upstream connection holds
	// at this point of the batch.
	unnamed *prepared
}

func (w *rewriter) add(m *message) (err error) {
	x := w.session
	switch {
	case m.kind == 'P':
		return w.parse(m.target, op{kind: opParse, done: func() { x.prepared.put(m.target) }})
	case m.kind == 'B':
		if err := w.need(m.target); err != nil {
			return err
		}
		w.ops = append(w.ops, op{kind: opBind})
		b := *m.bind
		b.PreparedStatement = ""
		w.out, err = b.Encode(w.out)
		return err
	case m.kind == 'D' && m.object == 'S':
		if err := w.need(m.target); err != nil {
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
		w.ops = append(w.ops, op{kind: opClose, done: func() { x.prepared.remove(m.name) }})
	default:
		w.ops = append(w.ops, op{kind: opClose})
	}
	w.out, err = m.plain.Encode(w.out)
	return err
}

// need makes p the unnamed statement of the upstream connection.
func (w *rewriter) need(p *prepared) error {
	if w.unnamed == p {
		return nil
	}
	return w.parse(p, op{kind: opParse, hidden: true})
}

func (w *rewriter) parse(p *prepared, o op) (err error) {
	w.unnamed = p
	w.ops = append(w.ops, o)
	w.out, err = (&pgproto3.Parse{Query: p.upstreamText(), ParameterOIDs: p.types}).Encode(w.out)
	return err
}
