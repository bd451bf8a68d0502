package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// noLimit is the limit of customers that are not known.
func noLimit(string) Limit { return Limit{} }

// admittedUnits sends each entry far more requests than the limit and returns the number of
// units admitted. Entries that can reach each other exchange totals once per interval.
func admittedUnits(entries int, canReach func(a, b int) bool, duration, interval time.Duration) (total float64) {
	limit := Limit{Rate: 1000, Burst: 1000}
	limiters := make([]*Limiter, entries)
	for i := range limiters {
		limiters[i] = New(noLimit)
		reachable := 0
		for j := range entries {
			if canReach(i, j) {
				reachable++
			}
		}
		limiters[i].SetEntries(reachable, entries)
	}
	step := 10 * time.Millisecond
	for now := time.Duration(0); now < duration; now += step {
		for _, q := range limiters {
			for range 10 {
				if _, ok := q.Take(now, "c", limit, 10); ok {
					total += 10
				}
			}
		}
		if now%interval != 0 {
			continue
		}
		for i, q := range limiters {
			q.OwnTotals(func(c string, n float64) {
				for j := range limiters {
					if i != j && canReach(i, j) {
						limiters[j].MergeTotals(now, string(rune('a'+i)), []Total{{c, n}})
					}
				}
			})
		}
	}
	return total
}

// A customer sends fifty times its limit through each of five entries. If entries counted
// separately, it would get five limits and delay the requests of other customers.
func TestCustomerGetsOneLimitOverAllEntries(t *testing.T) {
	got := admittedUnits(5, func(int, int) bool { return true }, 8*time.Second, 50*time.Millisecond)
	// The limit over eight seconds is 9000; the tolerance is a tenth more.
	if got > 9900 || got < 7500 {
		t.Errorf("%.0f units in 8 s, want about 8500", got)
	}
}

// Two of five entries are cut off from the others. Both sides continue to serve, and
// neither may use the whole limit.
func TestSumStaysWithinLimitDuringPartition(t *testing.T) {
	got := admittedUnits(5, func(a, b int) bool { return (a < 2) == (b < 2) }, 8*time.Second, 50*time.Millisecond)
	if got > 9900 || got < 7000 {
		t.Errorf("%.0f units in 8 s, want about 8500", got)
	}
}

// The endpoints are full, so one entry admits a customer's requests against the limit and
// then refuses them for lack of capacity. Another entry has received the totals. If the
// returned units were not reported to it, it would refuse the customer for work that was
// never executed, as long as the overload lasts.
func TestReturnedUnitsAreRestoredAtAllEntries(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 1000}
	full, other := New(noLimit), New(noLimit)
	full.SetEntries(2, 2)
	other.SetEntries(2, 2)
	other.Take(0, "c", limit, 1)
	sendTotals := func() {
		full.OwnTotals(func(c string, total float64) { other.MergeTotals(0, "busy", []Total{{c, total}}) })
	}
	for range 40 {
		if _, ok := full.Take(0, "c", limit, 10); !ok {
			t.Fatal("refused within the limit")
		}
		sendTotals()
		full.Return("c", 10)
		sendTotals()
	}
	if wait, ok := other.Take(0, "c", limit, 400); !ok {
		t.Errorf("refused for %v although the customer used almost nothing", wait)
	}
	if _, ok := other.Take(0, "c", limit, 400); !ok {
		t.Error("the unused half of a burst is missing")
	}
}

// A refused caller that returns after the wait must be admitted if no other request came.
func TestTakeReturnsWaitUntilAdmission(t *testing.T) {
	q := New(noLimit)
	limit := Limit{Rate: 100, Burst: 100}
	q.Take(0, "c", limit, 70)
	wait, ok := q.Take(0, "c", limit, 20)
	if ok || wait != 200*time.Millisecond+minWait {
		t.Errorf("%v %v, want to wait 230ms", wait, ok)
	}
	if _, ok := q.Take(wait, "c", limit, 20); !ok {
		t.Error("refused after the returned wait")
	}
}

// A customer at its limit sends small and large requests. The large ones must be admitted
// although the small ones could use up each unit as it becomes free.
func TestLargeRequestsAreAdmittedAtTheLimit(t *testing.T) {
	q := New(noLimit)
	limit := Limit{Rate: 1000, Burst: 1000}
	rnd := rand.New(rand.NewPCG(1, 2))
	small, large, smallTotal, largeTotal := 0.0, 0.0, 0.0, 0.0
	for now := time.Duration(0); now < 60*time.Second; now += time.Duration(rnd.IntN(int(10 * time.Millisecond))) {
		if rnd.IntN(20) > 0 {
			smallTotal++
			if _, ok := q.Take(now, "c", limit, 10); ok {
				small++
			}
			continue
		}
		largeTotal++
		if _, ok := q.Take(now, "c", limit, 400); ok {
			large++
		}
	}
	if large/largeTotal < 0.5*small/smallTotal {
		t.Errorf("%.0f of %.0f large and %.0f of %.0f small requests were admitted", large, largeTotal, small, smallTotal)
	}
}

func TestZeroRateMeansNoLimit(t *testing.T) {
	q := New(noLimit)
	for range 1000 {
		if _, ok := q.Take(0, "c", Limit{}, 1e9); !ok {
			t.Fatal("refused without a limit")
		}
	}
}

// largestWindow has a customer that has used little send far more than its limit to five entries,
// and two seconds later to eight, and returns the largest number of units admitted in 8 s. With join,
// the other three start at that time; without, they have run as long as the first ones.
func largestWindow(join bool) (largest float64) {
	const (
		first, all     = 5, 8
		begin, when    = 4 * time.Second, 6 * time.Second
		step, interval = 10 * time.Millisecond, 50 * time.Millisecond
		window         = int(8 * time.Second / step)
	)
	limit := Limit{Rate: 1000, Burst: 4000}
	limiters := make([]*Limiter, all)
	start := func(i int) { limiters[i] = New(func(string) Limit { return limit }) }
	running := func(now time.Duration) []*Limiter {
		if join && now < when {
			return limiters[:first]
		}
		return limiters
	}
	for i := range limiters {
		start(i)
	}
	var admitted []float64
	for now := time.Duration(0); now < when+12*time.Second; now += step {
		if join && now == when {
			for i := first; i < all; i++ {
				start(i)
			}
		}
		entries, total := running(now), 0.0
		for i, q := range entries {
			q.SetEntries(len(entries), len(entries))
			isUsed := now > when+4*interval || i < first && (now == 0 || now >= begin)
			for range 10 {
				if isUsed {
					if _, ok := q.Take(now, "c", limit, 10); ok {
						total += 10
					}
				}
			}
		}
		admitted = append(admitted, total)
		if now%interval != 0 {
			continue
		}
		for i, q := range entries {
			for j, peer := range entries {
				if i == j {
					continue
				}
				var totals []Total
				q.OwnTotals(func(c string, n float64) { totals = append(totals, Total{c, n}) })
				peer.MergeTotals(now, string(rune('a'+i)), totals)
				if join && now >= when && now < when+2*interval {
					q.UnitsLeft(now, func(c string, n float64) { peer.MergeUnitsLeft(now, c, n) })
				}
			}
		}
	}
	for i := range len(admitted) - window {
		sum := 0.0
		for _, n := range admitted[i : i+window] {
			sum += n
		}
		largest = max(largest, sum)
	}
	return largest
}

// Guards against entries that grant a customer, which has used up its limit, a share of its burst
// once more: entries that start, and those that have had no request of it before.
func TestNewBucketsGrantNothingTwice(t *testing.T) {
	for name, join := range map[string]bool{"entries that start": true, "first requests at entries": false} {
		// The limit over eight seconds is 12000; the tolerance is a tenth more.
		if got := largestWindow(join); got > 13200 || got < 9500 {
			t.Errorf("%s: %.0f units in 8 s, want at most 13200 and at least 9500", name, got)
		}
	}
}

// Guards against an entry that refuses a customer because of what it used long ago at others.
func TestHistoryOfPeersDoesNotCount(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 100}
	q := New(func(string) Limit { return limit })
	q.SetEntries(5, 5)
	for _, peer := range []string{"a", "b", "c", "d"} {
		q.MergeTotals(0, peer, []Total{{"c", 1e6}})
	}
	if wait, ok := q.Take(0, "c", limit, 50); !ok {
		t.Errorf("refused for %v", wait)
	}
}
