package caller

import (
	"strconv"
	"testing"
	"time"

	"lycheepond/core/wire"
)

// BenchmarkIdle keeps as many idle links as an entry has at the target's size
// and counts the processor time of both ends of each link.
func BenchmarkIdle(b *testing.B) {
	const links = 115
	var stubs []*stub
	for i := range links {
		stubs = append(stubs, newStub(b, "agent-"+strconv.Itoa(i), func(*stub, *wire.Link, wire.Message) {}))
	}
	newFront(b, frontOptions{}, stubs...)
	time.Sleep(time.Second)
	b.ResetTimer()
	before := cpu()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64((cpu()-before).Microseconds())/float64(b.N)/links, "cpu-us/link-s")
}
