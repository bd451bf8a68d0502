package queue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lycheepond/core/bound"
	"lycheepond/core/ident"
)

// outcome counts the requests of one length and those that started before their
// target.
type outcome struct{ offered, onTime int }

// simulateMixedLengths runs one endpoint with eight slots at 70% of its
// capacity for an hour of simulated time. One request in twenty is a hundred
// times as long as the others. If fifo is set, requests run in order of arrival
// regardless of customer and length.
func simulateMixedLengths(fifo bool) (short, long outcome) {
	const (
		slots       = 8
		tick        = 20 * time.Millisecond
		meanSeconds = 5.95 // of 19 requests of one second and one of a hundred
	)
	q, b, rnd := New(Config{}), bound.New(bound.Config{Min: slots, Max: slots}), rand.New(rand.NewPCG(5, 5))
	type run struct {
		end  time.Duration
		long bool
	}
	var running []run
	n := 0
	for now := time.Duration(0); now < time.Hour; now += tick {
		for i := 0; i < len(running); i++ {
			if running[i].end <= now {
				running = append(running[:i], running[i+1:]...)
				i--
			}
		}
		if rnd.Float64() < 0.7*slots/meanSeconds*tick.Seconds() {
			n++
			it := Item{ID: ident.Make(1, uint64(n)), Tier: 1, Customer: fmt.Sprint(rnd.IntN(5)), Cost: second, StartBy: now + 2*second}
			if rnd.IntN(20) == 0 {
				it.Cost, it.StartBy = 100*second, now+5*time.Minute
			}
			if fifo {
				it.Customer = "all"
				it.StartBy, it.Deadline = 0, it.StartBy
				it.Arrived = now - it.Cost
			}
			if _, _, err := q.Push(now, it); err != nil {
				panic(err)
			}
		}
		for {
			r := bound.InFlight{Count: len(running)}
			for i := range running {
				if running[i].long {
					r.LongCount++
				}
			}
			it, ok := q.PopFitting(now, func(it Item) Fit {
				switch fit := b.CheckFit(now, r, bound.Work{Tier: 1, Cost: it.Cost}); {
				case fit == bound.NoSlot:
					return Stop
				case fit == bound.NoLongSlot && !fifo:
					return Skip
				}
				return Fits
			})
			if !ok {
				break
			}
			running = append(running, run{now + it.Cost, b.RecordDispatch(bound.Work{Tier: 1, Cost: it.Cost})})
			o := &short
			if it.Cost > second {
				o = &long
			}
			o.offered++
			if now <= max(it.StartBy, it.Deadline) {
				o.onTime++
			}
		}
	}
	return short, long
}

// One request in twenty is a hundred times as long as the others. In order of
// arrival, long requests would sooner or later occupy all slots, and short
// requests, which often have a user waiting at a screen, would wait until a
// long one ends.
func TestShortRequestsStartInTimeAmongLongOnes(t *testing.T) {
	short, long := simulateMixedLengths(false)
	fifoShort, fifoLong := simulateMixedLengths(true)
	percentOnTime := func(o outcome) float64 { return 100 * float64(o.onTime) / float64(o.offered) }
	t.Logf("started within target: short %.1f%%, long %.1f%%; in order of arrival %.1f%% and %.1f%%", percentOnTime(short), percentOnTime(long), percentOnTime(fifoShort), percentOnTime(fifoLong))
	if percentOnTime(short) < 99 || percentOnTime(long) < 90 {
		t.Error("too few requests started within target")
	}
}
