package linegroup

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
)

// maxReadAhead is the number of messages that a session reads ahead. It sees the end
// of its connection unless the client has sent more.
const maxReadAhead = 64

// A session is one connection to an instance.
type session struct {
	instance *Instance
	net      net.Conn
	// messages holds the received messages. It is closed at the end of the
	// connection, as is ended.
	messages chan line.Message
	ended    chan struct{}
	// served is closed when the session has ended.
	served chan struct{}
	// user is the user name in the START message.
	user     string
	state    byte
	readOnly bool
	term     gypsumyard.Term
	items    map[string]string
	values   map[string]string
	prepared map[string]line.Prepared
}

func newSession(i *Instance, n net.Conn) *session {
	return &session{
		instance: i, net: n, messages: make(chan line.Message, maxReadAhead), ended: make(chan struct{}),
		served: make(chan struct{}), state: 'I',
		values: map[string]string{}, prepared: map[string]line.Prepared{},
	}
}

// receive reads ahead until the connection or the session ends, so that a waiting
// commit notices that its client has left.
func (s *session) receive() {
	defer s.instance.update(func() {}) // Wakes a waiting commit.
	defer close(s.ended)
	defer close(s.messages)
	in := line.NewReader(s.net, 4096)
	for {
		m, err := in.Read()
		if err != nil {
			return
		}
		select {
		case s.messages <- m:
		case <-s.served:
			return
		}
	}
}

func (s *session) serve() {
	go s.receive()
	defer close(s.served)
	defer s.net.Close()
	m, ok := <-s.messages
	if !ok || m.Word != line.WordStart || s.unresponsive() {
		s.awaitClose()
		return
	}
	if code := s.rejection(m.Fields(3)); code != "" {
		_, _ = s.net.Write(line.Append(nil, line.WordError, code, s.instance.id))
		return
	}
	s.user = m.Fields(3)[1]
	if !s.write(line.Append(nil, line.WordReady, "I", s.position())) {
		return
	}
	for {
		m, ok := <-s.messages
		f := m.Fields(2)
		if !ok || m.Word != line.WordQuery || len(f) != 2 {
			return
		}
		if s.unresponsive() {
			s.awaitClose()
			return
		}
		out := s.query(f[0], f[1])
		if out == nil || !s.write(append(out, line.Append(nil, line.WordReady, string(s.state), s.position())...)) {
			return
		}
	}
}

// awaitClose waits until the client closes the connection.
func (s *session) awaitClose() {
	for range s.messages {
		continue
	}
}

func (s *session) unresponsive() (on bool) {
	s.instance.update(func() { on = s.instance.unresponsive })
	return on
}

func (s *session) rejection(f []string) (code string) {
	i := s.instance
	i.update(func() {
		switch {
		case i.rejectCode != "":
			code = i.rejectCode
		case len(f) < 2 || f[0] != i.group.name || len(f) == 3 && f[2] != i.id:
			code = string(line.CodeWrongNode)
		case len(i.sessions) > i.group.connections:
			code = string(line.CodeTooMany)
		}
	})
	return code
}

func (s *session) write(b []byte) bool {
	_, err := s.net.Write(b)
	return err == nil
}

func (s *session) position() (p string) {
	s.instance.update(func() { p = line.FormatPosition(s.instance.positionAt(s.instance.applied)) })
	return p
}

func (s *session) fail(code line.Code) []byte {
	if s.state == 'T' {
		s.state = 'E'
	}
	return line.Append(nil, line.WordError, string(code), s.instance.id)
}

func complete() []byte { return line.Append(nil, line.WordComplete, "-") }

// query runs one statement and returns the response up to, but not including, the
// ready message. It returns nil if the response is to be dropped.
func (s *session) query(id, text string) []byte {
	i := s.instance
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "STATUS", "PAUSE", "DEMOTE", "RESUME":
		return s.command(verb, rest)
	case "RESET":
		clear(s.values)
		clear(s.prepared)
		return complete()
	}
	after := gypsumyard.Position{}
	if verb == "AFTER" {
		p, statement, _ := strings.Cut(rest, " ")
		after, _ = line.ParsePosition(p)
		text = statement
	}
	st, err := line.Parse(text)
	if err != nil {
		return s.fail(line.CodeMalformed)
	}
	busy := false
	i.update(func() { busy = i.busy })
	switch {
	case s.state == 'E' && st.Verb != line.Rollback && st.Verb != line.Commit:
		return s.fail(line.CodeMalformed)
	case busy:
		return s.fail(line.CodeBusy)
	case !after.IsZero() && !s.hasApplied(after):
		return s.fail(line.CodeLagging)
	}
	return s.statement(id, text, st)
}

func (s *session) hasApplied(p gypsumyard.Position) (ok bool) {
	i := s.instance
	i.update(func() {
		n := int(p.Offset)
		ok = n <= i.applied && (n == 0 || i.log[n-1].Position == p)
	})
	return ok
}

func (s *session) statement(id, text string, st line.Statement) []byte {
	switch st.Verb {
	case line.Begin:
		return s.begin(st)
	case line.Rollback:
		s.state, s.items = 'I', nil
		return complete()
	case line.Set:
		s.values[st.Name] = st.Value
		return complete()
	case line.Prepare:
		s.prepared[st.Name] = st.Prepared
		return complete()
	case line.Deallocate:
		delete(s.prepared, st.Name)
		return complete()
	case line.Execute:
		p, ok := s.prepared[st.Name]
		if !ok {
			return s.fail(line.CodeUnknown)
		}
		st.Verb = p.Verb
	}
	s.occupySlot(text)
	return s.run(id, text, st)
}

// occupySlot waits for a slot of the instance and occupies it for the statement's
// service time.
func (s *session) occupySlot(text string) {
	slowness := 1
	s.instance.update(func() { slowness = max(s.instance.slowness, 1) })
	s.instance.slots <- struct{}{}
	time.Sleep(time.Duration(slowness) * s.instance.group.serviceTime(text))
	<-s.instance.slots
}

func (s *session) begin(st line.Statement) (out []byte) {
	i := s.instance
	i.update(func() {
		if !st.ReadOnly && i.role != gypsumyard.RolePrimary {
			out = s.fail(line.CodeReadOnly)
			return
		}
		s.state, s.readOnly, s.term, s.items = 'T', st.ReadOnly, i.term, map[string]string{}
		out = complete()
	})
	return out
}

// run carries out a read, a write or a commit.
func (s *session) run(id, text string, st line.Statement) (out []byte) {
	i := s.instance
	dropped, mayWrite, failed := false, false, false
	i.update(func() {
		mayWrite = i.role == gypsumyard.RolePrimary && (s.state == 'I' || s.readOnly || i.term == s.term)
		e := Execution{i.id, id, text, i.positionAt(i.applied), s.user}
		i.group.executions = append(i.group.executions, e)
		for _, observe := range i.group.observers {
			observe(e)
		}
		if dropped = i.dropResponses > 0; dropped {
			i.dropResponses--
		}
		if st.Verb == line.Read && i.failEvery > 0 {
			i.reads++
			failed = i.reads%i.failEvery == 0
		}
	})
	readWrite := s.state == 'T' && !s.readOnly
	switch {
	case failed:
		return s.fail(line.CodeFailed)
	case st.Verb == line.Commit:
		out = s.commit(readWrite, mayWrite)
	case readWrite && !mayWrite, st.Verb == line.Write && (!mayWrite || s.readOnly && s.state == 'T'):
		return s.fail(line.CodeReadOnly)
	case st.Verb == line.Write:
		out = s.put(text)
	default:
		out = s.read(text)
	}
	if dropped {
		return nil
	}
	return out
}

func (s *session) commit(readWrite, mayWrite bool) []byte {
	items := s.items
	s.state, s.items = 'I', nil
	switch {
	case !readWrite || len(items) == 0:
		return s.encodeResult(nil)
	case !mayWrite:
		return s.fail(line.CodeReadOnly)
	}
	return s.commitItems(items)
}

// put writes an item. Outside a transaction the write is a transaction of its own.
func (s *session) put(text string) []byte {
	f := strings.Fields(text)
	item, data := f[1], f[len(f)-1]
	if f[0] == string(line.Execute) {
		item = f[2]
	}
	if s.state == 'T' {
		s.items[item] = data
		return s.encodeResult(nil)
	}
	return s.commitItems(map[string]string{item: data})
}

func (s *session) commitItems(items map[string]string) []byte {
	if _, ok := s.instance.group.commit(s.instance, items, s.ended); !ok {
		return s.fail(line.CodeTimeout)
	}
	return s.encodeResult(nil)
}

func (s *session) read(text string) []byte {
	f := strings.Fields(text)
	item := f[len(f)-1]
	data, found := "", false
	s.instance.update(func() {
		for _, r := range s.instance.log[:s.instance.applied] {
			if v, ok := r.Items[item]; ok {
				data, found = v, true
			}
		}
	})
	if v, ok := s.items[item]; ok {
		data, found = v, true
	}
	if !found {
		return s.encodeResult(nil)
	}
	return s.encodeResult([]string{data})
}

// encodeResult returns the messages of a successful response: the rows and the
// message that completes them.
func (s *session) encodeResult(rows []string) (out []byte) {
	for _, r := range rows {
		out = line.Append(out, line.WordRow, r)
	}
	return line.Append(out, line.WordComplete, "digest-of-"+s.instance.id)
}

// command carries out the control commands of a proxy. PAUSE fences a replica for
// a term, DEMOTE makes a primary a replica, RESUME lifts the fence.
func (s *session) command(verb, rest string) (out []byte) {
	i := s.instance
	n, _ := strconv.ParseUint(rest, 10, 64)
	term := gypsumyard.Term(n)
	i.update(func() {
		switch {
		case verb == "PAUSE" && i.role == gypsumyard.RoleReplica && term > i.term:
			i.fencedTerm = max(i.fencedTerm, term)
		case verb == "DEMOTE" && i.role == gypsumyard.RolePrimary && term > i.term:
			i.role = gypsumyard.RoleReplica
			if p := i.group.primaryLocked(); p != nil && !i.isolated {
				i.follow(p)
			}
		case verb == "RESUME":
			i.fencedTerm = 0
		}
		row := fmt.Sprintf("%s %d %s %d 0 0 %d", i.role, i.term, line.FormatPosition(i.received()), i.fencedTerm, len(i.sessions))
		out = append(line.Append(nil, line.WordRow, row), complete()...)
	})
	return out
}
