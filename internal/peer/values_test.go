package peer

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/matryer/is"
)

// randomValue returns a value whose parts all differ.
func randomValue(size int) []byte {
	r := rand.NewChaCha8([32]byte{1})
	value := make([]byte, size)
	_, _ = r.Read(value) // It never fails.
	return value
}

func announce(o gypsumyard.Object, sum uint32) *peerpb.Object {
	p := encodeObject(o)
	p.Value, p.Size, p.Sum = nil, uint64(len(o.Value)), sum
	return p
}

// Guards against a transfer that begins anew after a part was lost, or at another host,
// and against one that does not go on while a newer value replaces the one that it is of.
func TestTransferGoesOnWhereItStopped(t *testing.T) {
	is := is.New(t)
	o := gypsumyard.Object{Name: "config/main", Version: gypsumyard.NewVersion(2, 7), Value: randomValue(5*partBytes + 100)}
	b, hostB := startHost(t, "b")
	c, hostC := startHost(t, "c")
	a, _ := startHost(t, "a")
	p := announce(o, b.held.hold(o))
	v := a.partial.take(p)
	for range 2 {
		is.NoErr(a.fetchPart(t.Context(), hostB, v))
	}
	a.partial.keep(v)
	_, err := a.fetchValue(t.Context(), hostC, p, gypsumyard.Progress{})
	is.True(err != nil) // Host c does not hold it.

	later := o
	later.Version, later.Value = gypsumyard.NewVersion(2, 8), randomValue(100)
	is.True(c.held.hold(later) != c.held.hold(o))
	v = a.partial.take(p)
	is.Equal(len(v.data), 2*partBytes)
	a.partial.keep(v)
	got, err := a.fetchValue(t.Context(), hostC, p, gypsumyard.Progress{})
	is.NoErr(err)
	is.True(bytes.Equal(got, o.Value))
	is.Equal(len(a.partial.take(p).data), 0) // Nothing is left of a transfer that has ended.
}

// Guards against a value that is put together from parts of two values.
func TestPartsOfOtherValuesAreNotUsed(t *testing.T) {
	is := is.New(t)
	o := gypsumyard.Object{Name: "config/main", Version: gypsumyard.NewVersion(2, 7), Value: randomValue(3 * partBytes)}
	b, host := startHost(t, "b")
	a, _ := startHost(t, "a")
	p := announce(o, b.held.hold(o))
	v := a.partial.take(p)
	is.NoErr(a.fetchPart(t.Context(), host, v))
	a.partial.keep(v)
	for _, change := range []func(*peerpb.Object){
		func(p *peerpb.Object) { p.Revision++ },
		func(p *peerpb.Object) { p.Era++ },
		func(p *peerpb.Object) { p.Size++ },
		func(p *peerpb.Object) { p.Sum++ },
	} {
		other := announce(o, p.Sum)
		change(other)
		is.Equal(len(a.partial.take(other).data), 0)
		a.partial.keep(v)
	}
	wrong := announce(o, p.Sum+1)
	_, err := a.fetchValue(t.Context(), host, wrong, gypsumyard.Progress{})
	is.True(errors.Is(err, errMalformed))
	wrong = announce(o, p.Sum)
	wrong.Size = maxValueBytes + 1
	_, err = a.fetchValue(t.Context(), host, wrong, gypsumyard.Progress{})
	is.True(errors.Is(err, errMalformed))
	got, err := a.fetchValue(t.Context(), host, p, gypsumyard.Progress{})
	is.NoErr(err)
	is.True(bytes.Equal(got, o.Value))
}

// Guards against values that are held for ever, or that are dropped while hosts fetch
// them.
func TestHeldValuesExpire(t *testing.T) {
	is := is.New(t)
	now := clock.NewFake(time.Unix(0, 0))
	h := newHeldValues(now)
	value := func(n uint64, size int) gypsumyard.Object {
		return gypsumyard.Object{Name: "config/main", Version: gypsumyard.NewVersion(0, n), Value: make([]byte, size)}
	}
	held := func(n uint64) bool {
		_, err := h.part(valueID{"config/main", gypsumyard.NewVersion(0, n)}, 0)
		return err == nil
	}
	h.hold(value(1, 100))
	h.hold(value(2, 100))
	for range 3 {
		now.Advance(heldValueTimeout - 1)
		h.expire()
		is.True(held(1)) // It is in use.
	}
	is.True(!held(2))
	now.Advance(heldValueTimeout + 1)
	h.expire()
	is.Equal(len(h.values), 0)

	for n := range uint64(4) {
		h.hold(value(n, maxHeldBytes/2))
		now.Advance(1)
	}
	is.True(!held(0) && !held(1) && held(2) && held(3))
	_, err := h.part(valueID{"config/main", gypsumyard.NewVersion(0, 3)}, maxHeldBytes)
	is.True(errors.Is(err, errNotHeld))
}
