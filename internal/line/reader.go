package line

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxMessage is the size of the longest message in bytes, its end included.
const MaxMessage = 1 << 20

// Words of messages.
const (
	WordStart     = "START"
	WordReady     = "READY"
	WordQuery     = "QUERY"
	WordRow       = "ROW"
	WordComplete  = "COMPLETE"
	WordError     = "ERROR"
	WordTerminate = "TERMINATE"
)

// ErrMalformed indicates a message that breaks the protocol.
var ErrMalformed = errors.New("malformed message")

// A Message is one line.
type Message struct {
	Word string
	// Rest holds the fields, still separated by blanks.
	Rest string
}

// Fields splits the rest into at most n fields.
func (m Message) Fields(n int) []string {
	if m.Rest == "" {
		return nil
	}
	return strings.SplitN(m.Rest, " ", n)
}

// A Reader reads messages.
type Reader struct {
	in   *bufio.Reader
	long []byte
}

// NewReader returns a Reader with a buffer of the given size in bytes.
func NewReader(r io.Reader, buffer int) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, buffer)}
}

// Buffered returns how many bytes were received and not yet read.
func (r *Reader) Buffered() int { return r.in.Buffered() }

// Read returns the next message. It fails with io.EOF between two messages and
// with io.ErrUnexpectedEOF inside one; a line that was cut short is never
// returned.
func (r *Reader) Read() (Message, error) {
	raw, err := r.raw()
	if err != nil {
		return Message{}, err
	}
	text, ok := bytes.CutSuffix(raw, []byte("\r\n"))
	if !ok || bytes.ContainsAny(text, "\r\x00") {
		// A stray line end would be read differently by the other side.
		return Message{}, fmt.Errorf("%w: stray line end", ErrMalformed)
	}
	word, rest, _ := strings.Cut(string(text), " ")
	return Message{word, rest}, nil
}

// raw returns the next line with its end. The bytes are valid until the next
// call.
func (r *Reader) raw() ([]byte, error) {
	b, err := r.in.ReadSlice('\n')
	if err == nil {
		return b, nil
	}
	r.long = append(r.long[:0], b...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(r.long) > MaxMessage {
			return nil, fmt.Errorf("%w: over %d bytes", ErrMalformed, MaxMessage)
		}
		b, err = r.in.ReadSlice('\n')
		r.long = append(r.long, b...)
	}
	switch {
	case err == io.EOF && len(r.long) > 0:
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	case len(r.long) > MaxMessage:
		return nil, fmt.Errorf("%w: over %d bytes", ErrMalformed, MaxMessage)
	}
	return r.long, nil
}

// Append adds a message to b.
func Append(b []byte, word string, fields ...string) []byte {
	b = append(b, word...)
	for _, f := range fields {
		b = append(b, ' ')
		b = append(b, f...)
	}
	return append(b, "\r\n"...)
}
