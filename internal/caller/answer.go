package caller

import (
	"bytes"
	"encoding/binary"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
)

// errBroken ends a connection whose answer broke off within a message.
var errBroken = errors.New("answer broke off within a message")

// An opKind is the kind of answer that a message of an extended batch gets.
type opKind uint8

const (
	opParse opKind = iota
	opBind
	opDescribe
	opExecute
	opClose
)

// An op is a message of an extended batch that awaits its answer.
type op struct {
	kind opKind
	// hidden marks a message that the caller did not send: its answer is
	// removed.
	hidden bool
	// done is called when the message has succeeded.
	done func()
}

// maxCollected bounds the messages that are read rather than passed on in
// pieces.
const maxCollected = 16 * kib

// An answer is the sink of one request. It passes the messages on to the
// caller, in pieces as they come, except for those to be removed.
type answer struct {
	session *session
	// ops await their answers. Simple queries have none.
	ops []op
	// quiet removes everything: the caller gets another answer.
	quiet bool
	// local removes notices and parameter changes: those of SET LOCAL outside
	// a transaction say nothing about the session.
	local bool
	// tag replaces that of the CommandComplete if not empty.
	tag string
	// hide removes the reports of these parameters.
	hide map[string]bool

	// refused indicates that the answer holds an error, completed is the tag of
	// the last CommandComplete.
	refused   bool
	completed string
	// failure is why the answer could not be passed on.
	failure error

	header    [headerLen]byte
	headerLen int
	rest      int
	drop      bool
	collect   bool
	collected []byte
}

// Write implements gypsumyard.ResponseSink. Messages may be split at any byte.
func (a *answer) Write(chunk []byte) (n int, err error) {
	if a.failure != nil {
		return 0, a.failure
	}
	n = len(chunk)
	for len(chunk) > 0 && a.failure == nil {
		if a.headerLen < headerLen {
			chunk = a.readHeader(chunk)
		} else {
			chunk = a.readBody(chunk)
		}
	}
	if a.failure == nil && len(a.session.out) >= flushAt {
		a.failure = a.session.flush()
	}
	if a.failure != nil {
		return 0, a.failure
	}
	return n, nil
}

// partial reports whether the answer ended within a message.
func (a *answer) partial() bool { return a.headerLen > 0 }

func (a *answer) readHeader(chunk []byte) []byte {
	n := copy(a.header[a.headerLen:], chunk)
	a.headerLen += n
	if a.headerLen < headerLen {
		return chunk[n:]
	}
	length := binary.BigEndian.Uint32(a.header[1:])
	if length < 4 {
		a.failure = errBroken
		return nil
	}
	a.rest = int(length) - 4
	kind := a.header[0]
	a.collect = (kind == 'S' || kind == 'C') && a.rest <= maxCollected
	a.drop = a.quiet || kind == 'Z' || a.local && (kind == 'N' || kind == 'S')
	if a.advance(kind) {
		a.drop = true
	}
	switch {
	case a.collect:
		a.collected = a.collected[:0]
	case !a.drop:
		a.session.out = append(a.session.out, a.header[:]...)
	}
	if a.rest == 0 {
		a.endMessage()
	}
	return chunk[n:]
}

func (a *answer) readBody(chunk []byte) []byte {
	n := min(a.rest, len(chunk))
	a.rest -= n
	switch {
	case a.collect:
		a.collected = append(a.collected, chunk[:n]...)
	case !a.drop:
		a.session.out = append(a.session.out, chunk[:n]...)
		if len(a.session.out) >= flushAt {
			a.failure = a.session.flush()
		}
	}
	if a.rest == 0 {
		a.endMessage()
	}
	return chunk[n:]
}

func (a *answer) endMessage() {
	a.headerLen = 0
	if !a.collect {
		return
	}
	a.collect = false
	text := a.collected
	if i := bytes.IndexByte(text, 0); i >= 0 {
		text = text[:i]
	}
	switch {
	case a.header[0] == 'S' && a.hide[string(text)]:
		return
	case a.header[0] == 'C':
		a.completed = string(text)
		if a.tag != "" && !a.drop {
			a.session.send(&pgproto3.CommandComplete{CommandTag: []byte(a.tag)})
			return
		}
	}
	if !a.drop {
		a.session.out = append(a.session.out, a.header[:]...)
		a.session.out = append(a.session.out, a.collected...)
	}
}

// advance follows the answers to the batch's messages and reports whether the
// message belongs to a hidden one.
func (a *answer) advance(kind byte) (hidden bool) {
	if kind == 'E' {
		a.refused = true
		a.ops = nil
	}
	if len(a.ops) == 0 || !a.ops[0].endsWith(kind) {
		return false
	}
	first := a.ops[0]
	a.ops = a.ops[1:]
	if first.done != nil {
		first.done()
	}
	return first.hidden
}

// endsWith reports whether a message of the given kind completes the op.
func (o op) endsWith(kind byte) bool {
	switch o.kind {
	case opParse:
		return kind == '1'
	case opBind:
		return kind == '2'
	case opClose:
		return kind == '3'
	case opDescribe:
		return kind == 'T' || kind == 'n'
	default:
		return kind == 'C' || kind == 'I' || kind == 's'
	}
}
