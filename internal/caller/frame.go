package caller

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/gypsumyard/gypsumyard"
)

const (
	headerLen = 5
	// maxStartupLen is the maximum length of a startup packet in bytes, as in
	// PostgreSQL.
	maxStartupLen = 10000
	// maxReadChunk is how much memory is allocated ahead of the arrival of a
	// message's bytes, whatever length the message declares.
	maxReadChunk = 64 * kib
)

// A frame is one message of the client with its header.
type frame struct {
	kind byte
	data []byte
}

func (f frame) body() []byte { return f.data[headerLen:] }

// A frameReader splits the input into messages. The bytes of the messages count
// against the budget until they are released.
type frameReader struct {
	in     io.Reader
	budget *budget
	held   int
}

func (r *frameReader) release() {
	r.budget.release(r.held)
	r.held = 0
}

// charge reserves n more bytes of the budget for the messages held. It reports
// whether the budget allows it.
func (r *frameReader) charge(n int) bool {
	if !r.budget.reserve(n) {
		return false
	}
	r.held += n
	return true
}

// read returns the next message. It fails if the message is longer than limit
// bytes.
func (r *frameReader) read(limit int) (frame, error) {
	var header [headerLen]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return frame{}, err
	}
	n := int64(binary.BigEndian.Uint32(header[1:]))
	if n < 4 {
		return frame{}, gypsumyard.Errorf(gypsumyard.ClassProtocol, "invalid message length %d", n)
	}
	if n > int64(limit) {
		return frame{}, gypsumyard.Errorf(gypsumyard.ClassProtocol, "message of %d bytes is over the limit of %d", n, limit)
	}
	data, err := r.readBody(header[:], int(n)-4)
	return frame{kind: header[0], data: data}, err
}

// readStartup reads a startup packet and returns its body.
func (r *frameReader) readStartup() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n < 8 || n > maxStartupLen {
		return nil, gypsumyard.Errorf(gypsumyard.ClassProtocol, "invalid length of startup packet: %d", n)
	}
	return r.readBody(nil, int(n)-4)
}

// readBody reads n bytes and returns them appended to a copy of prefix.
func (r *frameReader) readBody(prefix []byte, n int) ([]byte, error) {
	data := make([]byte, len(prefix), len(prefix)+min(n, maxReadChunk))
	copy(data, prefix)
	for n > 0 {
		chunk := min(n, maxReadChunk)
		if !r.charge(chunk) {
			return nil, errInputOverflow
		}
		start := len(data)
		data = append(data, make([]byte, chunk)...)
		if _, err := io.ReadFull(r.in, data[start:]); err != nil {
			return nil, fmt.Errorf("read message: %w", err)
		}
		n -= chunk
	}
	return data, nil
}
