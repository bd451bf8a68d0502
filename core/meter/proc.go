package meter

import (
	"runtime"
	"runtime/metrics"
	"syscall"
)

// RegisterProcess adds gauges of the process's own resource usage.
func (s *Set) RegisterProcess() {
	s.GaugeFunc("process_cpu_ms", cpuMS)
	s.GaugeFunc("process_heap_bytes", heapBytes)
	s.GaugeFunc("process_goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
}

// cpuMS returns the user and system processor time used so far in milliseconds, or
// zero if it cannot be read.
func cpuMS() int64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / 1e6
}

// heapBytes returns the bytes of live heap objects, or zero if they cannot be read.
func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}
