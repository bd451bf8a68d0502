package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheepond/core/ident"
	"lycheepond/core/spec"
)

const second = time.Second

func item(n int, tier uint8, customer string, cost, due time.Duration) Item {
	return Item{ID: ident.Make(1, uint64(n)), Tier: tier, Customer: customer, Cost: cost, StartBy: due}
}

func fill(t *testing.T, q *Queue, items ...Item) {
	t.Helper()
	for _, it := range items {
		if _, _, err := q.Push(0, it); err != nil {
			t.Fatal(err)
		}
	}
}

func drain(q *Queue, now time.Duration) []uint64 {
	var order []uint64
	for {
		it, ok := q.Pop(now)
		if !ok {
			return order
		}
		order = append(order, uint64(it.ID[ident.Size-1]))
	}
}

// Pop must return items in order of tier, then of the customers' fair shares,
// then of lateness, urgency and arrival.
func TestPopOrder(t *testing.T) {
	for _, tc := range []struct {
		name  string
		now   time.Duration
		items []Item
		want  string
	}{
		{"higher tier first", 0, []Item{item(1, 3, "a", 1, 1), item(2, 0, "a", second, 0)}, "[2 1]"},
		{"fair share before urgency", 0, []Item{item(1, 1, "a", second, 5*second), item(2, 1, "a", second, 6*second), item(3, 1, "b", second, 60*second)}, "[1 3 2]"},
		{"most urgent first", 0, []Item{item(1, 1, "a", second, 9*second), item(2, 1, "a", second, 2*second)}, "[2 1]"},
		{"short before long", 0, []Item{item(1, 1, "a", 100*second, 20*second), item(2, 1, "a", second, 100*second)}, "[2 1]"},
		{"late items after items on time", 5 * second, []Item{item(1, 1, "a", second, second), item(2, 1, "a", second, 9*second)}, "[2 1]"},
		{"customers with only late items last", 5 * second, []Item{item(1, 1, "a", second, second), item(2, 1, "b", second, 9*second)}, "[2 1]"},
		{"order of arrival without targets", 0, []Item{item(1, 1, "a", second, 0), item(2, 1, "a", second, 0)}, "[1 2]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := New(Config{})
			fill(t, q, tc.items...)
			if got := fmt.Sprint(drain(q, tc.now)); got != tc.want {
				t.Fatalf("order %v, want %v", got, tc.want)
			}
		})
	}
}

// A full queue must make room for a new item only at the expense of lower tiers
// or of a customer that fills it.
func TestFullQueueEvicts(t *testing.T) {
	for _, tc := range []struct {
		name    string
		waiting []Item
		it      Item
		want    int
		err     error
	}{
		{"lowest tier first", []Item{item(1, 2, "a", second, 0), item(2, 3, "a", second, 0)}, item(3, 1, "b", second, 0), 2, nil},
		{"from the customer with the largest backlog", []Item{item(1, 3, "a", second, 0), item(2, 3, "b", 2*second, 0)}, item(3, 1, "c", second, 0), 2, nil},
		{"nothing to evict in the same tier", []Item{item(1, 1, "a", second, 0), item(2, 1, "b", second, 0)}, item(3, 1, "c", second, 0), 0, ErrFull},
		{"same tier from a customer that fills the queue", []Item{item(1, 1, "a", 3*second, 0), item(2, 1, "a", 3*second, 0)}, item(3, 1, "c", second, 0), 2, nil},
		{"never a higher tier", []Item{item(1, 0, "a", second, 0), item(2, 0, "a", second, 0)}, item(3, 1, "c", 1, 0), 0, ErrFull},
		{"duplicate ID", []Item{item(1, 0, "a", second, 0)}, item(1, 0, "a", second, 0), 0, ErrDuplicate},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := New(Config{MaxItems: 2})
			fill(t, q, tc.waiting...)
			evicted, didEvict, err := q.Push(0, tc.it)
			if err != tc.err || didEvict != (tc.want != 0) || int(evicted.ID[ident.Size-1]) != tc.want {
				t.Fatalf("evicted %v %v, error %v", evicted.ID, didEvict, err)
			}
		})
	}
}

// One customer's work costs ten times its estimate. Without the correction by
// ChargeActual that customer would get ten times its share until the estimates
// have caught up, and the other customer's requests would wait.
func TestActualCostIsCharged(t *testing.T) {
	q := New(Config{})
	served := map[string]time.Duration{}
	for n := range 400 {
		fill(t, q, item(2*n, 1, "under", second, 0), item(2*n+1, 1, "right", second, 0))
	}
	for range 200 {
		it, _ := q.Pop(0)
		actual := it.Cost
		if it.Customer == "under" {
			actual *= 10
		}
		served[it.Customer] += actual
		q.ChargeActual(it.Customer, it.Tier, it.Cost, actual)
	}
	if a, b := served["under"], served["right"]; a > b+20*second || b > a+20*second {
		t.Fatalf("served %v to the underestimated customer and %v to the other", a, b)
	}
}

// One customer sends a hundred times as much as each of the nineteen others. As
// long as the others have requests waiting, each of them must get a twentieth
// of the endpoint.
func TestHotCustomerGetsFairShare(t *testing.T) {
	q := New(Config{})
	for n := range 2000 {
		fill(t, q, item(n, 1, "hot", second, second))
	}
	for n := range 19 * 20 {
		fill(t, q, item(5000+n, 1, fmt.Sprint("c", n%19), second, 30*second))
	}
	hot := 0
	for range 400 {
		if it, _ := q.Pop(0); it.Customer == "hot" {
			hot++
		}
	}
	if hot > 21 {
		t.Fatalf("the hot customer got %d of 400 pops", hot)
	}
}

// Some items are already late while new items that can still meet their targets
// keep arriving, either from the same customer or each from a new customer. The
// late items must still run.
func TestLateWorkIsNotStarved(t *testing.T) {
	for _, newcomers := range []bool{false, true} {
		q := New(Config{})
		now := 10 * second
		for n := range 5 {
			fill(t, q, item(n, 1, "a", second, second))
		}
		left := 5
		for n := 100; left > 0; n++ {
			if n > 100+6*latePopEvery {
				t.Fatalf("new customers %v: %d late items are starved", newcomers, left)
			}
			customer := "a"
			if newcomers {
				customer = fmt.Sprint("c", n)
			}
			it := item(n, 1, customer, second, now+second)
			if _, _, err := q.Push(now, it); err != nil {
				t.Fatal(err)
			}
			if got, _ := q.Pop(now); got.StartBy == second {
				left--
			}
		}
	}
}

// A long item can't run because the slots for long work are taken (Skip) or
// because memory is short (SkipLimited). Short items must run before it, but
// only maxSkips of them when memory is short.
func TestSkippedItemsAreOvertaken(t *testing.T) {
	for _, tc := range []struct {
		fit  Fit
		want int
	}{{Skip, 100}, {SkipLimited, maxSkips}, {Stop, 0}} {
		q := New(Config{})
		fill(t, q, item(1, 0, "a", 100*second, 0))
		for n := range 100 {
			fill(t, q, item(10+n, 1, "b", second, 0))
		}
		taken := 0
		for {
			_, ok := q.PopFitting(0, func(it Item) Fit {
				if it.Cost > second {
					return tc.fit
				}
				return Fits
			})
			if !ok {
				break
			}
			taken++
		}
		if taken != tc.want || q.Len() != 101-taken {
			t.Fatalf("%d items taken with fit %d, want %d; %d left", taken, tc.fit, tc.want, q.Len())
		}
	}
}

// More long items of a high tier wait for slots than PopFitting examines in a
// tier. Short items of a lower tier must still get the remaining slots.
func TestPopFittingReachesLowerTiers(t *testing.T) {
	q := New(Config{})
	for n := range 3 * maxExamined {
		fill(t, q, item(n, 1, "a", 100*second, 0))
	}
	fill(t, q, item(1000, 2, "b", second, 0))
	it, ok := q.PopFitting(0, func(it Item) Fit {
		if it.Cost > second {
			return Skip
		}
		return Fits
	})
	if !ok || it.Tier != 2 || q.Len() != 3*maxExamined {
		t.Fatalf("got %+v, %d left", it, q.Len())
	}
}

// For any sequence of calls, no item is lost or returned twice, Pop returns an
// item of the highest waiting tier, and Len, Cost and TierMask agree with the
// items.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{MaxItems: 20})
		queued := map[ident.ID]Item{}
		checkRemoved := func(items ...Item) {
			for _, it := range items {
				if _, ok := queued[it.ID]; !ok {
					t.Fatalf("%v was removed but is not queued", it.ID)
				}
				delete(queued, it.ID)
			}
		}
		now, n := time.Duration(0), 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				it := item(n, uint8(rapid.IntRange(0, spec.Tiers-1).Draw(t, "tier")), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					time.Duration(rapid.IntRange(0, 100).Draw(t, "cost"))*second, time.Duration(rapid.IntRange(0, 50).Draw(t, "due"))*second)
				it.Deadline = it.StartBy * 2
				evicted, didEvict, err := q.Push(now, it)
				if didEvict {
					if evicted.Tier < it.Tier {
						t.Fatal("an item of a higher tier was evicted")
					}
					checkRemoved(evicted)
				}
				if err == nil {
					it.Arrived = now
					queued[it.ID] = it
				}
			},
			"pop": func(t *rapid.T) {
				want, _ := q.Peek(now)
				it, ok := q.Pop(now)
				if it.ID != want.ID || ok != (len(queued) > 0) {
					t.Fatalf("Pop returned %v, Peek returned %v", it, want)
				}
				for _, other := range queued {
					if other.Tier < it.Tier {
						t.Fatal("an item of a higher tier waits")
					}
				}
				if ok {
					checkRemoved(it)
				}
			},
			"next": func(t *rapid.T) {
				limit := time.Duration(rapid.IntRange(0, 100).Draw(t, "limit")) * second
				it, ok := q.PopFitting(now, func(it Item) Fit {
					if it.Cost > limit {
						return Skip
					}
					return Fits
				})
				if ok {
					checkRemoved(it)
				}
			},
			"done": func(t *rapid.T) {
				q.ChargeActual(rapid.SampledFrom([]string{"a", "b", "x"}).Draw(t, "customer"), 1, second, time.Duration(rapid.IntRange(0, 9).Draw(t, "actual"))*second)
			},
			"later":  func(*rapid.T) { now += second },
			"expire": func(*rapid.T) { checkRemoved(q.RemoveExpired(now)...) },
			"drop":   func(t *rapid.T) { checkRemoved(q.DropAbove(uint8(rapid.IntRange(0, 3).Draw(t, "level")))...) },
			"": func(t *rapid.T) {
				cost, mask := time.Duration(0), uint8(0)
				for _, it := range queued {
					cost += it.Cost
					mask |= 1 << it.Tier
				}
				if q.Len() != len(queued) || q.Cost() != cost || q.TierMask() != mask {
					t.Fatalf("len %d cost %v mask %b, want %d %v %b", q.Len(), q.Cost(), q.TierMask(), len(queued), cost, mask)
				}
			},
		})
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, customers := range []int{1, 5, 10000} {
		b.Run(fmt.Sprint("customers=", customers), func(b *testing.B) {
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprint("c", i)
			}
			q := New(Config{MaxItems: 20000})
			newItem := func(n int) Item {
				return item(n, uint8(n%spec.Tiers), names[n%customers], time.Duration(n%97)*second, time.Duration(n)*time.Millisecond)
			}
			for n := range 10000 {
				q.Push(0, newItem(n))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				now := time.Duration(n) * time.Millisecond
				q.Push(now, newItem(10000+n))
				q.Pop(now)
			}
		})
	}
}
