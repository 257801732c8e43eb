package peer

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// Values of more than partBytes are fetched in parts, one after the other. What has
// arrived is kept when a part does not, so that a transfer gets on over any link, and
// heartbeats on the same connection wait for one part at most.

const (
	// partTimeout bounds the wait for one part of a value.
	partTimeout = time.Second
	// maxValueBytes bounds the length of a value that is fetched in parts. A host accepts
	// no longer response from the store either.
	maxValueBytes = 32 << 20
	// heldValueTimeout is how long after its last use a value is held for hosts that
	// fetch it, also when a newer one has replaced it: hosts could otherwise not end a
	// transfer that takes longer than the time between two changes.
	heldValueTimeout = 5 * time.Second
	// maxHeldBytes bounds the size of the values that are held.
	maxHeldBytes = 64 << 20
)

// errNotHeld indicates that a host does not hold the value of that version any more.
var errNotHeld = errors.New("value is not held")

// castagnoli is the table of the checksum of values.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// A valueID identifies the value of one version of an object.
type valueID struct {
	name    string
	version gypsumyard.Version
}

// heldValues are the values that other hosts may fetch in parts.
type heldValues struct {
	clock gypsumyard.Clock

	mu     sync.Mutex
	values map[valueID]*heldValue
}

// A heldValue is a value with its checksum.
type heldValue struct {
	data     []byte
	sum      uint32
	lastUsed time.Time
}

func newHeldValues(c gypsumyard.Clock) *heldValues {
	return &heldValues{clock: c, values: map[valueID]*heldValue{}}
}

// hold holds the value of the object and returns its checksum.
func (h *heldValues) hold(o gypsumyard.Object) uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := valueID{o.Name, o.Version}
	v, ok := h.values[id]
	if !ok {
		v = &heldValue{data: o.Value, sum: crc32.Checksum(o.Value, castagnoli)}
		h.values[id] = v
	}
	v.lastUsed = h.clock.Now()
	h.evict()
	return v.sum
}

// part returns up to partBytes of a value from the offset on.
func (h *heldValues) part(id valueID, offset uint64) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.values[id]
	if !ok || offset >= uint64(len(v.data)) {
		return nil, fmt.Errorf("%w: %s of version %v from byte %d on", errNotHeld, id.name, id.version, offset)
	}
	v.lastUsed = h.clock.Now()
	rest := v.data[offset:]
	return rest[:min(len(rest), partBytes)], nil
}

// expire drops the values that have not been used for heldValueTimeout.
func (h *heldValues) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evict()
}

// evict drops the values that have not been used for heldValueTimeout, and those that
// have been unused for longest while all are larger than maxHeldBytes. The caller must
// hold h.mu.
func (h *heldValues) evict() {
	size := 0
	for id, v := range h.values {
		if h.clock.Since(v.lastUsed) > heldValueTimeout {
			delete(h.values, id)
			continue
		}
		size += len(v.data)
	}
	for size > maxHeldBytes && len(h.values) > 1 {
		id, v := h.leastRecentlyUsed()
		delete(h.values, id)
		size -= len(v.data)
	}
}

func (h *heldValues) leastRecentlyUsed() (id valueID, v *heldValue) {
	for i, w := range h.values {
		if v == nil || w.lastUsed.Before(v.lastUsed) {
			id, v = i, w
		}
	}
	return id, v
}

// A partialValue is the part of a value that has arrived.
type partialValue struct {
	id   valueID
	size uint64
	sum  uint32
	data []byte
}

// partialValues keeps the parts of values whose transfer has failed, one value for each
// object.
type partialValues struct {
	mu     sync.Mutex
	values map[string]*partialValue
}

func newPartialValues() *partialValues {
	return &partialValues{values: map[string]*partialValue{}}
}

// take returns what has arrived of the value that p announces, which is nothing if the
// parts that are kept are of another value. Nothing is kept for the object then.
func (k *partialValues) take(p *peerpb.Object) *partialValue {
	v := &partialValue{id: valueID{p.GetName(), decodeVersion(p.GetEra(), p.GetRevision())}, size: p.GetSize(), sum: p.GetSum()}
	k.mu.Lock()
	defer k.mu.Unlock()
	if kept := k.values[v.id.name]; kept != nil && kept.id == v.id && kept.size == v.size && kept.sum == v.sum {
		v = kept
	}
	delete(k.values, v.id.name)
	return v
}

// keep keeps what has arrived.
func (k *partialValues) keep(v *partialValue) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.values[v.id.name] = v
}

// receiveObjects returns the objects of the replies to a query, with the values that were
// left out. An object that this host holds already comes without its value: the other
// host sends it until it knows that its copies are complete up to its version.
func (s *Service) receiveObjects(ctx context.Context, from gypsumyard.Host, replies []*peerpb.Reply) (list []gypsumyard.Object, err error) {
	var progress gypsumyard.Progress
	var missing []*peerpb.Object
	for _, r := range replies {
		if r.Object.GetSize() > 0 && !s.hasCopy(r.Object) {
			missing = append(missing, r.Object)
			progress.Size += int64(min(r.Object.GetSize(), maxValueBytes))
		}
	}
	for _, r := range replies {
		if r.Object == nil {
			continue
		}
		o := decodeObject(r.Object)
		if slices.Contains(missing, r.Object) {
			if o.Value, err = s.fetchValue(ctx, from, r.Object, progress); err != nil {
				return nil, err
			}
			progress.Arrived += int64(len(o.Value))
		}
		list = append(list, o)
	}
	return list, nil
}

// hasCopy reports whether this host has a copy of the version of the object.
func (s *Service) hasCopy(p *peerpb.Object) bool {
	lists, err := kernel.Lookup[gypsumyard.ObjectReplica](s.kernel, "lists")
	return err == nil && lists.Holds(p.GetName(), decodeVersion(p.GetEra(), p.GetRevision()))
}

// fetchValue returns the value that p announces, from the host that has announced it.
// before is the progress of the whole transfer before this value.
func (s *Service) fetchValue(ctx context.Context, from gypsumyard.Host, p *peerpb.Object, before gypsumyard.Progress) (data []byte, err error) {
	if p.GetSize() > maxValueBytes {
		return nil, fmt.Errorf("%w: value of %d bytes", errMalformed, p.GetSize())
	}
	v := s.partial.take(p)
	if v.data == nil {
		v.data = make([]byte, 0, v.size)
	}
	for {
		gypsumyard.ReportProgress(ctx, gypsumyard.Progress{Arrived: before.Arrived + int64(len(v.data)), Size: before.Size})
		if uint64(len(v.data)) == v.size {
			break
		}
		if err := s.fetchPart(ctx, from, v); err != nil {
			s.partial.keep(v)
			return nil, fmt.Errorf("fetch %s, %d of %d bytes have arrived: %w", v.id.name, len(v.data), v.size, err)
		}
	}
	if crc32.Checksum(v.data, castagnoli) != v.sum {
		return nil, fmt.Errorf("%w: checksum of %s does not match", errMalformed, v.id.name)
	}
	return v.data, nil
}

// fetchPart adds the next part to the value.
func (s *Service) fetchPart(ctx context.Context, from gypsumyard.Host, v *partialValue) error {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	q := &peerpb.ValueQuery{Name: v.id.name, Revision: v.id.version.Revision(), Era: uint32(v.id.version.Era()), Offset: uint64(len(v.data))}
	replies, err := s.call(ctx, from, &peerpb.Call{Body: &peerpb.Call_Value{Value: q}})
	if err != nil {
		return err
	}
	part := replies[len(replies)-1].GetPart()
	if len(part) == 0 || uint64(len(v.data)+len(part)) > v.size {
		return fmt.Errorf("%w: part of %d bytes", errMalformed, len(part))
	}
	v.data = append(v.data, part...)
	return nil
}
