package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime returns what this process has used, in and out of the kernel.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory is what the process holds after a collection.
type memory struct {
	heap, stack, routines float64
}

// collections is how often the collector runs before memory is read: pooled
// objects are freed by the second run.
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

// perSecond measures the processor time that the process uses while f runs, in
// microseconds a second of wall time.
func perSecond(f func() error) (float64, error) {
	begin, used := time.Now(), processorTime()
	err := f()
	return micros(processorTime()-used) / time.Since(begin).Seconds(), err
}
