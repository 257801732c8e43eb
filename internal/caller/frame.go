package caller

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/gypsumyard/gypsumyard"
)

const (
	headerLen = 5
	// maxStartup is the longest startup packet, as in PostgreSQL.
	maxStartup = 10000
	// readPiece is how much memory a declared length gets before its bytes
	// have arrived.
	readPiece = 64 * kib
)

// A frame is one message of the caller with its header.
type frame struct {
	kind byte
	data []byte
}

func (f frame) body() []byte { return f.data[headerLen:] }

// A frameReader cuts the input into messages. The bytes of the messages count
// against the budget until they are released.
type frameReader struct {
	in     io.Reader
	budget *budget
	held   int
}

func (r *frameReader) release() {
	r.budget.give(r.held)
	r.held = 0
}

// charge counts n further bytes that belong to the messages held.
func (r *frameReader) charge(n int) bool {
	if !r.budget.take(n) {
		return false
	}
	r.held += n
	return true
}

// read returns the next message of at most limit bytes.
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

// readStartup returns the body of a startup packet.
func (r *frameReader) readStartup() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n < 8 || n > maxStartup {
		return nil, gypsumyard.Errorf(gypsumyard.ClassProtocol, "invalid length of startup packet: %d", n)
	}
	return r.readBody(nil, int(n)-4)
}

// readBody appends n bytes to a copy of prefix.
func (r *frameReader) readBody(prefix []byte, n int) ([]byte, error) {
	data := make([]byte, len(prefix), len(prefix)+min(n, readPiece))
	copy(data, prefix)
	for n > 0 {
		piece := min(n, readPiece)
		if !r.charge(piece) {
			return nil, errOverflow
		}
		start := len(data)
		data = append(data, make([]byte, piece)...)
		if _, err := io.ReadFull(r.in, data[start:]); err != nil {
			return nil, fmt.Errorf("read message: %w", err)
		}
		n -= piece
	}
	return data, nil
}
