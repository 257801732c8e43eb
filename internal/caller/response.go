package caller

import (
	"bytes"
	"encoding/binary"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
)

// errMalformedResponse ends a connection on which a response ended in the
// middle of a message or contained a message with an invalid length.
var errMalformedResponse = errors.New("malformed response: truncated message or invalid message length")

// An opKind is the type of a message of an extended-query batch; it determines
// which message completes the response to it.
type opKind uint8

const (
	opParse opKind = iota
	opBind
	opDescribe
	opExecute
	opClose
)

// An op is a message of an extended-query batch whose response is outstanding.
type op struct {
	kind opKind
	// hidden marks a message that the proxy inserted: the response to it is not
	// forwarded to the client.
	hidden bool
	// onSuccess is called when the message has succeeded.
	onSuccess func()
}

// maxBufferedMessage is the maximum length of a message that is buffered as a
// whole. Longer messages are forwarded as their parts arrive.
const maxBufferedMessage = 16 * kib

// A responseFilter is the ResponseSink of one request. It forwards the messages
// to the client as their parts arrive and drops those that the client must not
// see.
type responseFilter struct {
	session *session
	// ops are the messages whose responses are outstanding, in order. Simple
	// queries have none.
	ops []op
	// dropAll drops every message: the client gets another response.
	dropAll bool
	// dropAsync drops NoticeResponse and ParameterStatus messages: those that
	// SET LOCAL causes outside a transaction do not apply to the session.
	dropAsync bool
	// tag, if not empty, replaces the command tag of CommandComplete.
	tag string
	// hiddenParams are the parameters whose ParameterStatus is dropped.
	hiddenParams map[string]bool

	// hasError indicates that the response contains an error, completedTag is
	// the command tag of the last CommandComplete.
	hasError     bool
	completedTag string
	// forwardErr is why the response could not be forwarded.
	forwardErr error

	header     [headerLen]byte
	headerRead int
	remaining  int
	dropping   bool
	buffering  bool
	buffered   []byte
}

// Write implements gypsumyard.ResponseSink. A chunk may end at any byte of a
// message.
func (f *responseFilter) Write(chunk []byte) (n int, err error) {
	if f.forwardErr != nil {
		return 0, f.forwardErr
	}
	n = len(chunk)
	for len(chunk) > 0 && f.forwardErr == nil {
		if f.headerRead < headerLen {
			chunk = f.readHeader(chunk)
		} else {
			chunk = f.readBody(chunk)
		}
	}
	if f.forwardErr == nil && len(f.session.out) >= flushThreshold {
		f.forwardErr = f.session.flush()
	}
	if f.forwardErr != nil {
		return 0, f.forwardErr
	}
	return n, nil
}

// midMessage reports whether the response so far ends within a message.
func (f *responseFilter) midMessage() bool { return f.headerRead > 0 }

func (f *responseFilter) readHeader(chunk []byte) []byte {
	n := copy(f.header[f.headerRead:], chunk)
	f.headerRead += n
	if f.headerRead < headerLen {
		return chunk[n:]
	}
	length := binary.BigEndian.Uint32(f.header[1:])
	if length < 4 {
		f.forwardErr = errMalformedResponse
		return nil
	}
	f.remaining = int(length) - 4
	kind := f.header[0]
	f.buffering = (kind == 'S' || kind == 'C') && f.remaining <= maxBufferedMessage
	f.dropping = f.dropAll || kind == 'Z' || f.dropAsync && (kind == 'N' || kind == 'S')
	if f.advance(kind) {
		f.dropping = true
	}
	switch {
	case f.buffering:
		f.buffered = f.buffered[:0]
	case !f.dropping:
		f.session.out = append(f.session.out, f.header[:]...)
	}
	if f.remaining == 0 {
		f.endMessage()
	}
	return chunk[n:]
}

func (f *responseFilter) readBody(chunk []byte) []byte {
	n := min(f.remaining, len(chunk))
	f.remaining -= n
	switch {
	case f.buffering:
		f.buffered = append(f.buffered, chunk[:n]...)
	case !f.dropping:
		f.session.out = append(f.session.out, chunk[:n]...)
		if len(f.session.out) >= flushThreshold {
			f.forwardErr = f.session.flush()
		}
	}
	if f.remaining == 0 {
		f.endMessage()
	}
	return chunk[n:]
}

func (f *responseFilter) endMessage() {
	f.headerRead = 0
	if !f.buffering {
		return
	}
	f.buffering = false
	text := f.buffered
	if i := bytes.IndexByte(text, 0); i >= 0 {
		text = text[:i]
	}
	switch {
	case f.header[0] == 'S' && f.hiddenParams[string(text)]:
		return
	case f.header[0] == 'C':
		f.completedTag = string(text)
		if f.tag != "" && !f.dropping {
			f.session.send(&pgproto3.CommandComplete{CommandTag: []byte(f.tag)})
			return
		}
	}
	if !f.dropping {
		f.session.out = append(f.session.out, f.header[:]...)
		f.session.out = append(f.session.out, f.buffered...)
	}
}

// advance matches a response message to the outstanding messages of the batch
// and reports whether it answers a hidden one.
func (f *responseFilter) advance(kind byte) (hidden bool) {
	if kind == 'E' {
		f.hasError = true
		f.ops = nil
	}
	if len(f.ops) == 0 || !f.ops[0].completedBy(kind) {
		return false
	}
	first := f.ops[0]
	f.ops = f.ops[1:]
	if first.onSuccess != nil {
		first.onSuccess()
	}
	return first.hidden
}

// completedBy reports whether a message of the given type completes the
// response to the op.
func (o op) completedBy(kind byte) bool {
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
