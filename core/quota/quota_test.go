package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// run lets every entry be asked for far more than the limit, and tells totals
// between those that hear each other every tell.
func run(entries int, hears func(a, b int) bool, d, tell time.Duration) (total float64) {
	limit := Limit{Rate: 1000, Burst: 1000}
	books := make([]*Book, entries)
	for i := range books {
		books[i] = New()
		heard := 0
		for j := range entries {
			if hears(i, j) {
				heard++
			}
		}
		books[i].Reach(heard, entries)
	}
	step := 10 * time.Millisecond
	for now := time.Duration(0); now < d; now += step {
		for _, b := range books {
			for range 10 {
				if _, ok := b.Take(now, "c", limit, 10); ok {
					total += 10
				}
			}
		}
		if now%tell != 0 {
			continue
		}
		for i, b := range books {
			b.Totals(func(c string, n float64) {
				for j := range books {
					if i != j && hears(i, j) {
						books[j].Told(string(rune('a'+i)), c, n)
					}
				}
			})
		}
	}
	return total
}

// One customer sends fifty times its limit through each of five entries. If
// entries counted for themselves it would get five limits, and the others'
// requests would wait behind it.
func TestHotCustomerGetsOneLimitOverAllEntries(t *testing.T) {
	got := run(5, func(int, int) bool { return true }, 8*time.Second, 50*time.Millisecond)
	// The limit over eight seconds is 9000; a tenth more is the tolerance.
	if got > 9900 || got < 7500 {
		t.Errorf("%.0f units in 8 s, want about 8500", got)
	}
}

// Two entries of five are cut off from the others. Both sides go on serving,
// and neither may give the whole limit.
func TestPartedEntriesKeepTheSumWithinTheLimit(t *testing.T) {
	got := run(5, func(a, b int) bool { return (a < 2) == (b < 2) }, 8*time.Second, 50*time.Millisecond)
	if got > 9900 || got < 7000 {
		t.Errorf("%.0f units in 8 s, want about 8500", got)
	}
}

// The endpoints are full, so one entry admits a customer's requests against the
// limit and then refuses them for want of room. Another entry has heard of them.
// If it were not told that they never ran, the customer would be refused there
// for work that nobody did, as long as the overload lasts.
func TestWorkThatNeverRanIsTakenBackEverywhere(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 1000}
	busy, other := New(), New()
	busy.Reach(2, 2)
	other.Reach(2, 2)
	other.Take(0, "c", limit, 1)
	tell := func() { busy.Totals(func(c string, total float64) { other.Told("busy", c, total) }) }
	for range 40 {
		if _, ok := busy.Take(0, "c", limit, 10); !ok {
			t.Fatal("refused within the limit")
		}
		tell()
		busy.Return("c", 10)
		tell()
	}
	if wait, ok := other.Take(0, "c", limit, 400); !ok {
		t.Errorf("refused for %v though the customer used next to nothing", wait)
	}
	if _, ok := other.Take(0, "c", limit, 400); !ok {
		t.Error("the unused half of a burst is gone")
	}
}

func TestTakeTellsWhenToComeBack(t *testing.T) {
	b := New()
	limit := Limit{Rate: 100, Burst: 100}
	b.Take(0, "c", limit, 70)
	wait, ok := b.Take(0, "c", limit, 20)
	if ok || wait != 200*time.Millisecond+shortestWait {
		t.Errorf("%v %v, want to wait 230ms", wait, ok)
	}
	if _, ok := b.Take(wait, "c", limit, 20); !ok {
		t.Error("refused after the time that was told")
	}
}

// A customer at its limit sends small and large requests. The small ones take
// each unit as it comes; the large ones must get their turn all the same.
func TestLargeRequestsOfACustomerAtItsLimitRun(t *testing.T) {
	b := New()
	limit := Limit{Rate: 1000, Burst: 1000}
	rnd := rand.New(rand.NewPCG(1, 2))
	small, large, smallAsked, largeAsked := 0.0, 0.0, 0.0, 0.0
	for now := time.Duration(0); now < 60*time.Second; now += time.Duration(rnd.IntN(int(10 * time.Millisecond))) {
		if rnd.IntN(20) > 0 {
			smallAsked++
			if _, ok := b.Take(now, "c", limit, 10); ok {
				small++
			}
			continue
		}
		largeAsked++
		if _, ok := b.Take(now, "c", limit, 400); ok {
			large++
		}
	}
	if large/largeAsked < 0.5*small/smallAsked {
		t.Errorf("%.0f of %.0f large and %.0f of %.0f small requests ran", large, largeAsked, small, smallAsked)
	}
}

func TestNoLimit(t *testing.T) {
	b := New()
	for range 1000 {
		if _, ok := b.Take(0, "c", Limit{}, 1e9); !ok {
			t.Fatal("refused without a limit")
		}
	}
}
