package line

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxMessage is the maximum size of a message in bytes, including its CR LF.
const MaxMessage = 1 << 20

// The words with which messages begin.
const (
	WordStart     = "START"
	WordReady     = "READY"
	WordQuery     = "QUERY"
	WordRow       = "ROW"
	WordComplete  = "COMPLETE"
	WordError     = "ERROR"
	WordTerminate = "TERMINATE"
)

// ErrMalformed indicates a message that violates the protocol.
var ErrMalformed = errors.New("malformed message")

// A Message is one line.
type Message struct {
	Word string
	// Rest holds the fields, separated by spaces.
	Rest string
}

// Fields splits the rest into at most n fields.
func (m Message) Fields(n int) []string {
	if m.Rest == "" {
		return nil
	}
	return strings.SplitN(m.Rest, " ", n)
}

// A Reader reads messages from an io.Reader.
type Reader struct {
	in *bufio.Reader
	// longLine collects a line that does not fit into the buffer of in.
	longLine []byte
}

// NewReader returns a Reader with a buffer of the given size in bytes.
func NewReader(r io.Reader, buffer int) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, buffer)}
}

// Buffered returns the number of bytes that were received but not yet read.
func (r *Reader) Buffered() int { return r.in.Buffered() }

// Read returns the next message. At the end of the input it fails with io.EOF
// between two messages and with io.ErrUnexpectedEOF within one: a truncated
// line is never returned.
func (r *Reader) Read() (Message, error) {
	raw, err := r.readLine()
	if err != nil {
		return Message{}, err
	}
	text, ok := bytes.CutSuffix(raw, []byte("\r\n"))
	if !ok || bytes.ContainsAny(text, "\r\x00") {
		// The peer might split the message at a stray line end, which would
		// allow a caller to smuggle in a second message.
		return Message{}, fmt.Errorf("%w: stray line end", ErrMalformed)
	}
	word, rest, _ := strings.Cut(string(text), " ")
	return Message{word, rest}, nil
}

// readLine returns the next line including its line end. The bytes are valid
// until the next call.
func (r *Reader) readLine() ([]byte, error) {
	b, err := r.in.ReadSlice('\n')
	if err == nil {
		return b, nil
	}
	r.longLine = append(r.longLine[:0], b...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(r.longLine) > MaxMessage {
			return nil, fmt.Errorf("%w: over %d bytes", ErrMalformed, MaxMessage)
		}
		b, err = r.in.ReadSlice('\n')
		r.longLine = append(r.longLine, b...)
	}
	switch {
	case err == io.EOF && len(r.longLine) > 0:
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	case len(r.longLine) > MaxMessage:
		return nil, fmt.Errorf("%w: over %d bytes", ErrMalformed, MaxMessage)
	}
	return r.longLine, nil
}

// Append appends an encoded message to b and returns the extended buffer.
func Append(b []byte, word string, fields ...string) []byte {
	b = append(b, word...)
	for _, f := range fields {
		b = append(b, ' ')
		b = append(b, f...)
	}
	return append(b, "\r\n"...)
}
