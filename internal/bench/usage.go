package bench

import (
	"runtime"
	"syscall"
	"time"
)

// usage holds the resource usage of the process.
type usage struct {
	at  time.Time
	cpu time.Duration
	// heap is the number of bytes in use.
	heap uint64
}

func readUsage() usage {
	var r syscall.Rusage
	var m runtime.MemStats
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	runtime.ReadMemStats(&m)
	return usage{
		at:   time.Now(),
		cpu:  time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		heap: m.HeapInuse,
	}
}

// since returns the usage with the processor time used since an earlier reading.
func (u usage) since(earlier usage) usage {
	u.cpu -= earlier.cpu
	return u
}
