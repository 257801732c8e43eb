package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the CPU time of this process, in user and kernel mode.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory holds the memory in use by the process after a garbage collection, and
// its number of goroutines.
type memory struct {
	heap, stack, routines float64
}

// collections is how often the garbage collector runs before memory is read.
// Pooled objects are freed only by the second run.
const collections = 3

func readMemory() memory {
	for range collections {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return memory{float64(m.HeapAlloc), float64(m.StackInuse), float64(runtime.NumGoroutine())}
}

func (m memory) since(o memory) memory {
	return memory{m.heap - o.heap, m.stack - o.stack, m.routines - o.routines}
}

// allocated returns the bytes allocated since the start of the process.
func allocated() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.TotalAlloc)
}

// micros returns d in microseconds.
func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// cpuPerSecond measures the CPU time that the process uses while f runs, in
// microseconds per second of wall time.
func cpuPerSecond(f func() error) (float64, error) {
	begin, used := time.Now(), cpuTime()
	err := f()
	return micros(cpuTime()-used) / time.Since(begin).Seconds(), err
}
