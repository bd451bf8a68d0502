package fresh

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFigures measures, for fleets of several sizes, the figures in
// docs/design/platform.md for one list: calls to the store per second, the largest age of
// an entry's knowledge, and the time until a change that the store reported to none of the
// waiting calls is in use at all entries.
func BenchmarkFigures(b *testing.B) {
	for _, n := range []int{5, 30, 100, 300} {
		for name, s := range map[string]strategy{"waits": waitingOnly(maxAge), "checks": withChecks(maxAge)} {
			for _, outage := range []bool{false, true} {
				b.Run(fmt.Sprintf("entries=%d/%s/outage=%v", n, name, outage), func(b *testing.B) {
					zones := max(1, n/10)
					for range b.N {
						calls, maxKnowledgeAge := s.measureCalls(zones, n/zones, outage)
						b.ReportMetric(calls, "calls/s")
						b.ReportMetric(maxKnowledgeAge.Seconds(), "s-age")
						b.ReportMetric(s.measureMissedChange(zones, n/zones, outage).Seconds(), "s-missed")
					}
				})
			}
		}
	}
}

const (
	// countTime is the time over which calls are counted, and settleTime the time after
	// which all entries have links.
	countTime  = 20 * time.Second
	settleTime = 10 * time.Second
)

// settledWorld returns a world whose entries have links. If outage is set, the store has
// just been down for two seconds.
func (s strategy) settledWorld(zones, entriesPerZone int, outage bool) *world {
	w := newWorld(zones, entriesPerZone, 1, s)
	w.runUntil(settleTime)
	if outage {
		w.startFault(fault{Kind: faultDown, DurationMS: 2000})
		w.runUntil(w.now + 2*time.Second + time.Millisecond)
	}
	return w
}

// measureCalls returns the number of calls per second in a settled world, and the largest
// age of an entry's knowledge after the first second.
func (s strategy) measureCalls(zones, entriesPerZone int, outage bool) (calls float64, maxKnowledgeAge time.Duration) {
	w := s.settledWorld(zones, entriesPerZone, outage)
	begin, callsBefore := w.now, w.store.callCount
	for w.now < begin+countTime {
		w.runUntil(w.now + propertyInterval)
		for _, e := range w.entries {
			if c, ok := e.tracker.LatestClaim(int64(e.revision)); ok && w.now > begin+time.Second {
				maxKnowledgeAge = max(maxKnowledgeAge, w.now-c.At)
			}
		}
	}
	return float64(w.store.callCount-callsBefore) / countTime.Seconds(), maxKnowledgeAge
}

// measureMissedChange returns the time until a change that the store reported to none of
// the waiting calls is in use at all entries.
func (s strategy) measureMissedChange(zones, entriesPerZone int, outage bool) time.Duration {
	w := s.settledWorld(zones, entriesPerZone, outage)
	w.runUntil(w.now + time.Second)
	w.startFault(fault{Kind: faultForgetsCalls, DurationMS: 200})
	w.runUntil(w.now + 100*time.Millisecond)
	w.makeChange()
	for changedAt := w.now; ; w.runUntil(w.now + propertyInterval) {
		if took := w.now - changedAt; w.allUpToDate() || took > time.Minute {
			return took
		}
	}
}

// allUpToDate reports whether all entries have the newest revision.
func (w *world) allUpToDate() bool {
	for _, e := range w.entries {
		if e.revision != w.store.revision {
			return false
		}
	}
	return true
}
