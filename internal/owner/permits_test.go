package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a customer whose idle transactions prevent other customers
// from beginning one, and against priority requests that wait behind others.
func TestPermits(t *testing.T) {
	is := is.New(t)
	var p permits
	p.setLimit(6, 2)
	short := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	a, err := p.acquire(short(), "loom", 0.5, false)
	is.NoErr(err)
	_, err = p.acquire(short(), "loom", 0.5, false)
	is.NoErr(err)
	_, err = p.acquire(short(), "loom", 0.5, false)
	is.Equal(err, context.DeadlineExceeded)
	for range 2 {
		_, err = p.acquire(short(), "rink", 0.5, false)
		is.NoErr(err)
	}
	is.True(!p.available())
	order := make(chan string, 2)
	wait := func(customer string, priority bool) {
		before := len(p.waiters)
		go func() {
			if _, err := p.acquire(t.Context(), customer, 1, priority); err == nil {
				order <- customer
			}
		}()
		for waiting := before; waiting == before; time.Sleep(time.Millisecond) {
			p.mu.Lock()
			waiting = len(p.waiters)
			p.mu.Unlock()
		}
	}
	wait("club", false)
	wait("flood", true)
	a.release()
	is.Equal(<-order, "flood")
}
