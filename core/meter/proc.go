package meter

import (
	"runtime"
	"runtime/metrics"
	"syscall"
)

// Process adds gauges of what the process itself uses.
func (s *Set) Process() {
	s.GaugeFunc("process_cpu_ms", cpuMS)
	s.GaugeFunc("process_heap_bytes", heapBytes)
	s.GaugeFunc("process_goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
}

// cpuMS is the processor time used so far, user and system.
func cpuMS() int64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / 1e6
}

func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}
