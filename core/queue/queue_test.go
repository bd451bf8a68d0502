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
	return Item{ID: ident.Make(1, uint64(n)), Tier: tier, Customer: customer, Cost: cost, Due: due}
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

func TestOrder(t *testing.T) {
	for _, tc := range []struct {
		name  string
		now   time.Duration
		items []Item
		want  string
	}{
		{"tier before all", 0, []Item{item(1, 3, "a", 1, 1), item(2, 0, "a", second, 0)}, "[2 1]"},
		{"fair before urgent", 0, []Item{item(1, 1, "a", second, 5*second), item(2, 1, "a", second, 6*second), item(3, 1, "b", second, 60*second)}, "[1 3 2]"},
		{"urgent first", 0, []Item{item(1, 1, "a", second, 9*second), item(2, 1, "a", second, 2*second)}, "[2 1]"},
		{"short before long", 0, []Item{item(1, 1, "a", 100*second, 20*second), item(2, 1, "a", second, 100*second)}, "[2 1]"},
		{"late behind timely", 5 * second, []Item{item(1, 1, "a", second, second), item(2, 1, "a", second, 9*second)}, "[2 1]"},
		{"late customers behind timely", 5 * second, []Item{item(1, 1, "a", second, second), item(2, 1, "b", second, 9*second)}, "[2 1]"},
		{"without target in order of arrival", 0, []Item{item(1, 1, "a", second, 0), item(2, 1, "a", second, 0)}, "[1 2]"},
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

func TestFullQueueDisplaces(t *testing.T) {
	for _, tc := range []struct {
		name    string
		waiting []Item
		it      Item
		want    int
		err     error
	}{
		{"lowest tier first", []Item{item(1, 2, "a", second, 0), item(2, 3, "a", second, 0)}, item(3, 1, "b", second, 0), 2, nil},
		{"from the customer with most", []Item{item(1, 3, "a", second, 0), item(2, 3, "b", 2*second, 0)}, item(3, 1, "c", second, 0), 2, nil},
		{"not the same tier", []Item{item(1, 1, "a", second, 0), item(2, 1, "b", second, 0)}, item(3, 1, "c", second, 0), 0, ErrFull},
		{"but a customer that fills the queue", []Item{item(1, 1, "a", 3*second, 0), item(2, 1, "a", 3*second, 0)}, item(3, 1, "c", second, 0), 2, nil},
		{"never a higher tier", []Item{item(1, 0, "a", second, 0), item(2, 0, "a", second, 0)}, item(3, 1, "c", 1, 0), 0, ErrFull},
		{"an ID once", []Item{item(1, 0, "a", second, 0)}, item(1, 0, "a", second, 0), 0, ErrDuplicate},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := New(Config{Max: 2})
			fill(t, q, tc.waiting...)
			out, did, err := q.Push(0, tc.it)
			if err != tc.err || did != (tc.want != 0) || int(out.ID[ident.Size-1]) != tc.want {
				t.Fatalf("evicted %v %v, error %v", out.ID, did, err)
			}
		})
	}
}

// A customer's work costs ten times what was estimated. Without the correction
// it would be served ten times its share until the estimates have caught up,
// and the other customers would see their requests wait.
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
		q.Done(it.Customer, it.Tier, it.Cost, actual)
	}
	if a, b := served["under"], served["right"]; a > b+20*second || b > a+20*second {
		t.Fatalf("served %v to the underestimated customer and %v to the other", a, b)
	}
}

// One customer sends a hundred times as much as the other nineteen. They must
// each get a twentieth of the endpoint for as long as they want it.
func TestHotCustomerPaysForItself(t *testing.T) {
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
		t.Fatalf("the hot customer had %d of 400 places", hot)
	}
}

// The endpoint is late for everyone and new requests that can still make their
// targets keep coming, from the same customer or from ever new ones. The late
// ones must still be answered.
func TestLateWorkIsNotStarved(t *testing.T) {
	for _, newcomers := range []bool{false, true} {
		q := New(Config{})
		now := 10 * second
		for n := range 5 {
			fill(t, q, item(n, 1, "a", second, second))
		}
		left := 5
		for n := 100; left > 0; n++ {
			if n > 100+6*lateShare {
				t.Fatalf("newcomers %v: %d late items starve", newcomers, left)
			}
			customer := "a"
			if newcomers {
				customer = fmt.Sprint("c", n)
			}
			it := item(n, 1, customer, second, now+second)
			if _, _, err := q.Push(now, it); err != nil {
				t.Fatal(err)
			}
			if got, _ := q.Pop(now); got.Due == second {
				left--
			}
		}
	}
}

// Places for long work are taken, or memory is short. Short work passes the
// long, but not for ever when it is memory that lacks.
func TestNextPasses(t *testing.T) {
	for _, tc := range []struct {
		fit  Fit
		want int
	}{{Pass, 100}, {PassFew, maxPassed}, {Stop, 0}} {
		q := New(Config{})
		fill(t, q, item(1, 0, "a", 100*second, 0))
		for n := range 100 {
			fill(t, q, item(10+n, 1, "b", second, 0))
		}
		passed := 0
		for {
			_, ok := q.Next(0, func(it Item) Fit {
				if it.Cost > second {
					return tc.fit
				}
				return Fits
			})
			if !ok {
				break
			}
			passed++
		}
		if passed != tc.want || q.Len() != 101-passed {
			t.Fatalf("%d passed with %d, want %d; %d left", passed, tc.fit, tc.want, q.Len())
		}
	}
}

// More long work of a high tier waits for its places than Next looks at. Short
// work of a lower tier must still get the places that are left.
func TestNextReachesLowerTiers(t *testing.T) {
	q := New(Config{})
	for n := range 3 * maxTried {
		fill(t, q, item(n, 1, "a", 100*second, 0))
	}
	fill(t, q, item(1000, 2, "b", second, 0))
	it, ok := q.Next(0, func(it Item) Fit {
		if it.Cost > second {
			return Pass
		}
		return Fits
	})
	if !ok || it.Tier != 2 || q.Len() != 3*maxTried {
		t.Fatalf("took %+v, %d left", it, q.Len())
	}
}

// Whatever happens, nothing is lost or doubled, a pop takes the highest tier
// that waits, and the sums agree with the items.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Max: 20})
		in := map[ident.ID]Item{}
		gone := func(items ...Item) {
			for _, it := range items {
				if _, ok := in[it.ID]; !ok {
					t.Fatalf("%v came out but is not in", it.ID)
				}
				delete(in, it.ID)
			}
		}
		now, n := time.Duration(0), 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				it := item(n, uint8(rapid.IntRange(0, spec.Tiers-1).Draw(t, "tier")), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					time.Duration(rapid.IntRange(0, 100).Draw(t, "cost"))*second, time.Duration(rapid.IntRange(0, 50).Draw(t, "due"))*second)
				it.Deadline = it.Due * 2
				out, did, err := q.Push(now, it)
				if did {
					if out.Tier < it.Tier {
						t.Fatal("work of a higher tier was displaced")
					}
					gone(out)
				}
				if err == nil {
					it.Arrived = now
					in[it.ID] = it
				}
			},
			"pop": func(t *rapid.T) {
				want, _ := q.Peek(now)
				it, ok := q.Pop(now)
				if it.ID != want.ID || ok != (len(in) > 0) {
					t.Fatalf("Pop took %v, Peek said %v", it, want)
				}
				for _, other := range in {
					if other.Tier < it.Tier {
						t.Fatal("a higher tier waits")
					}
				}
				if ok {
					gone(it)
				}
			},
			"next": func(t *rapid.T) {
				limit := time.Duration(rapid.IntRange(0, 100).Draw(t, "limit")) * second
				it, ok := q.Next(now, func(it Item) Fit {
					if it.Cost > limit {
						return Pass
					}
					return Fits
				})
				if ok {
					gone(it)
				}
			},
			"done": func(t *rapid.T) {
				q.Done(rapid.SampledFrom([]string{"a", "b", "x"}).Draw(t, "customer"), 1, second, time.Duration(rapid.IntRange(0, 9).Draw(t, "actual"))*second)
			},
			"later":  func(*rapid.T) { now += second },
			"expire": func(*rapid.T) { gone(q.Expired(now)...) },
			"drop":   func(t *rapid.T) { gone(q.DropAbove(uint8(rapid.IntRange(0, 3).Draw(t, "level")))...) },
			"": func(t *rapid.T) {
				cost, mask := time.Duration(0), uint8(0)
				for _, it := range in {
					cost += it.Cost
					mask |= 1 << it.Tier
				}
				if q.Len() != len(in) || q.Cost() != cost || q.Mask() != mask {
					t.Fatalf("len %d cost %v mask %b, want %d %v %b", q.Len(), q.Cost(), q.Mask(), len(in), cost, mask)
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
			q := New(Config{Max: 20000})
			make1 := func(n int) Item {
				return item(n, uint8(n%spec.Tiers), names[n%customers], time.Duration(n%97)*second, time.Duration(n)*time.Millisecond)
			}
			for n := range 10000 {
				q.Push(0, make1(n))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				now := time.Duration(n) * time.Millisecond
				q.Push(now, make1(10000+n))
				q.Pop(now)
			}
		})
	}
}
