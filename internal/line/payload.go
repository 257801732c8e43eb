package line

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A Payload is a statement together with the parameters with which an owner
// executes it. It is encoded as the Messages of a [gypsumyard.Request] of the
// line protocol.
type Payload struct {
	Consistency   gypsumyard.Consistency
	RoutePriority int
	// Objective is the latency objective of the route, or zero if it has none.
	Objective time.Duration
	// ID and Text are the request ID and the statement as sent by the caller.
	ID   string
	Text string
	// Prepared is the prepared statement to which the name in an EXECUTE
	// refers.
	Prepared Prepared
	// KeyHolder is the customer that holds the session's key, or empty for an anonymous
	// session. Key is the hash of that key.
	KeyHolder string
	Key       gypsumyard.KeyHash
	// StateNumber is the number of the desired state by which the session's host has
	// checked the key.
	StateNumber int64
}

// Marshal encodes the payload. The fields of a session with a key come last: hosts that
// do not know them ignore what follows the others.
func (p *Payload) Marshal() []byte {
	size := 64 + len(p.ID) + len(p.Text) + len(p.Prepared.Shape)
	if !p.Key.IsZero() {
		size += len(p.Key) + len(p.KeyHolder) + binary.MaxVarintLen64
	}
	out := make([]byte, 0, size)
	for _, n := range []int64{int64(p.RoutePriority), int64(p.Objective)} {
		out = binary.AppendVarint(out, n)
	}
	for _, s := range []string{string(p.Consistency), p.ID, p.Text, string(p.Prepared.Verb), p.Prepared.Shape} {
		out = binary.AppendUvarint(out, uint64(len(s)))
		out = append(out, s...)
	}
	if p.Key.IsZero() {
		return out
	}
	out = binary.AppendVarint(out, p.StateNumber)
	out = append(out, p.Key[:]...)
	return append(out, p.KeyHolder...)
}

// UnmarshalPayload decodes a payload that was encoded by Marshal.
func UnmarshalPayload(in []byte) (p Payload, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode batch: %w", err)
		}
	}()
	var priority, objective int64
	for _, n := range []*int64{&priority, &objective} {
		v, size := binary.Varint(in)
		if size <= 0 {
			return p, ErrMalformed
		}
		*n = v
		in = in[size:]
	}
	p.RoutePriority, p.Objective = int(priority), time.Duration(objective)
	var consistency, verb string
	for _, s := range []*string{&consistency, &p.ID, &p.Text, &verb, &p.Prepared.Shape} {
		n, size := binary.Uvarint(in)
		if size <= 0 || n > uint64(len(in)-size) {
			return p, ErrMalformed
		}
		*s = string(in[size : size+int(n)])
		in = in[size+int(n):]
	}
	p.Consistency, p.Prepared.Verb = gypsumyard.Consistency(consistency), Verb(verb)
	if len(in) == 0 {
		return p, nil
	}
	return p, p.unmarshalKey(in)
}

// unmarshalKey decodes the fields of a session with a key.
func (p *Payload) unmarshalKey(in []byte) error {
	number, size := binary.Varint(in)
	if size <= 0 || len(in)-size < len(p.Key) {
		return ErrMalformed
	}
	p.StateNumber = number
	in = in[size:]
	n := copy(p.Key[:], in)
	p.KeyHolder = string(in[n:])
	return nil
}
