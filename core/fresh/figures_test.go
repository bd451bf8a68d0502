package fresh

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFigures counts, in fleets of several sizes, what docs/design/platform.md
// tells of one list: calls to the store a second, the worst age of what an entry
// knows, and how long a change takes that the store told none of the calls that
// waited.
func BenchmarkFigures(b *testing.B) {
	for _, n := range []int{5, 30, 100, 300} {
		for name, r := range map[string]rules{"waits": waitsOnly(bound), "looks": withLooks(bound)} {
			for _, outage := range []bool{false, true} {
				b.Run(fmt.Sprintf("entries=%d/%s/outage=%v", n, name, outage), func(b *testing.B) {
					zones := max(1, n/10)
					for range b.N {
						calls, worst := r.count(zones, n/zones, outage)
						b.ReportMetric(calls, "calls/s")
						b.ReportMetric(worst.Seconds(), "s-age")
						b.ReportMetric(r.missed(zones, n/zones, outage).Seconds(), "s-missed")
					}
				})
			}
		}
	}
}

const (
	// counted is for how long calls are counted, and settled when the fleet has met.
	counted = 20 * time.Second
	settled = 10 * time.Second
)

// fleet returns one that has met and, if there is to be one, has seen the store
// down for two seconds until now.
func (r rules) fleet(zones, each int, outage bool) *world {
	w := newWorld(zones, each, 1, r)
	w.play(settled)
	if outage {
		w.begin(trouble{Kind: down, For: 2000})
		w.play(w.now + 2*time.Second + time.Millisecond)
	}
	return w
}

// count returns the calls a second from then on, and the worst age of what an entry
// knows once a second has passed.
func (r rules) count(zones, each int, outage bool) (calls float64, worst time.Duration) {
	w := r.fleet(zones, each, outage)
	begin, made := w.now, w.store.calls
	for w.now < begin+counted {
		w.play(w.now + checkEach)
		for _, e := range w.all {
			if c, ok := e.book.Known(int64(e.revision)); ok && w.now > begin+time.Second {
				worst = max(worst, w.now-c.At)
			}
		}
	}
	return float64(w.store.calls-made) / counted.Seconds(), worst
}

// missed returns how long after it was made a change is in force everywhere which the
// store has told none of the calls that waited.
func (r rules) missed(zones, each int, outage bool) time.Duration {
	w := r.fleet(zones, each, outage)
	w.play(w.now + time.Second)
	w.begin(trouble{Kind: forgets, For: 200})
	w.play(w.now + 100*time.Millisecond)
	w.change()
	for made := w.now; ; w.play(w.now + checkEach) {
		if took := w.now - made; w.inForce() || took > time.Minute {
			return took
		}
	}
}

// inForce reports whether all entries have the newest revision.
func (w *world) inForce() bool {
	for _, e := range w.all {
		if e.revision != w.store.revision {
			return false
		}
	}
	return true
}
