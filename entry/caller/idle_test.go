package caller

import (
	"strconv"
	"testing"
	"time"

	"lycheepond/core/wire"
)

// BenchmarkIdleLinks keeps as many idle links as an entry has in a fleet of the
// target size, and reports the processor time of both ends of each link.
func BenchmarkIdleLinks(b *testing.B) {
	const links = 115
	var stubs []*stub
	for i := range links {
		stubs = append(stubs, newStub(b, "agent-"+strconv.Itoa(i), func(*stub, *wire.Link, wire.Message) {}))
	}
	newTestEntry(b, entryOptions{}, stubs...)
	time.Sleep(time.Second)
	b.ResetTimer()
	before := cpuTime()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N)/links, "cpu-us/link-s")
}
