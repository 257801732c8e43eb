package loopback

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a port that another process takes while an emulated instance that had it
// is down: its restart then fails.
func TestProcessesShareNoPorts(t *testing.T) {
	is := is.New(t)
	var first, second allocator // Those of two processes.
	defer first.release()
	defer second.release()
	taken := map[string]bool{}
	for range 3 * blockSize {
		l, err := first.listen()
		is.NoErr(err)
		taken[l.Addr().String()] = true
		is.NoErr(l.Close())
	}
	is.Equal(len(taken), 3*blockSize)
	for range 3 * blockSize {
		l, err := second.listen()
		is.NoErr(err)
		is.True(!taken[l.Addr().String()])
		is.NoErr(l.Close())
	}
}

// Guards against a process that gets no port once it has used all of its own.
func TestPortsAreUsedAgain(t *testing.T) {
	is := is.New(t)
	var a allocator
	defer a.release()
	for range maxBlocks*blockSize + 10 {
		l, err := a.listen()
		is.NoErr(err)
		is.NoErr(l.Close())
	}
	is.Equal(len(a.guards), maxBlocks)
}

// Guards against a process that gets no port because all of its own are in use.
func TestPortsInUse(t *testing.T) {
	is := is.New(t)
	var a allocator
	defer a.release()
	for range maxBlocks*blockSize + 10 {
		l, err := a.listen()
		is.NoErr(err)
		defer l.Close()
	}
	is.Equal(len(a.guards), maxBlocks+1)
}

// release closes the guards.
func (a *allocator) release() {
	for _, l := range a.guards {
		_ = l.Close() // The end of a test.
	}
}
