package direct

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"lycheepond/core/route"
)

// shareFleet returns a fleet of owners with 81 slots for each five entries, to which customers
// send requests. kinds[i] belongs to the customer named "c" and i.
func shareFleet(entries int, shares bool, kinds ...requestKind) fleet {
	f := fleet{
		workload: workload{
			entries: entries, engines: entries * 9 / 5, slots: 9, duration: 7 * time.Second, seed: 11, target: 500 * time.Millisecond,
			customer: func(_ *rand.Rand, kind int) *route.Customer { return &route.Customer{Name: fmt.Sprint("c", kind)} },
		},
		usesOwners: true, overload: Overload{ShareByCustomer: shares, MinOwnedEntries: 2},
	}
	for _, k := range kinds {
		k.rate *= float64(entries) / 5
		f.kinds = append(f.kinds, k)
	}
	return f
}

// servedRequests returns how many of the requests decided in a time were served and how many
// there were, for each customer.
func servedRequests(results []requestResult, from, to time.Duration) (served, all map[string]int) {
	served, all = make(map[string]int), make(map[string]int)
	for _, r := range results {
		if r.decidedAt < from || r.decidedAt > to {
			continue
		}
		all[r.customer]++
		if !r.refused {
			served[r.customer]++
		}
	}
	return served, all
}

// Guards against customers that are refused because another one sends many times as much, or
// requests that hold their slots for much longer.
func TestCustomersBelowTheirShareAreServed(t *testing.T) {
	small := requestKind{0, 50, 1000, 40}
	for name, big := range map[string]requestKind{"7.5 times the requests": {0, 7.5 * 75, 1000, 40}, "requests of 1.5 s": {0, 75, 1000, 365}} {
		for _, entries := range []int{5, 12} {
			t.Run(fmt.Sprint(name, ", ", entries, " entries"), func(t *testing.T) {
				total := func(f fleet) (n int) {
					served, _ := servedRequests(f.replay(t).requests, 0, f.duration)
					for c := range 3 {
						n += served[fmt.Sprint("c", c)]
					}
					return n
				}
				alone := total(shareFleet(entries, true, small, small, small))
				unshared := total(shareFleet(entries, false, small, small, small, big))
				shared := total(shareFleet(entries, true, small, small, small, big))
				t.Logf("served %d without the big customer, %d with it, %d with it and shares", alone, unshared, shared)
				if float64(shared) < 0.95*float64(alone) {
					t.Errorf("%d served, %d without the big customer", shared, alone)
				}
			})
		}
	}
}

// jainIndex is one if all amounts are equal, and 1/n if one of n has everything.
func jainIndex(amounts []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range amounts {
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(amounts)) * squares)
}

// Guards against unequal service of customers who all ask for more than they get, and against
// rare customers among 21,000 that are refused meanwhile.
func TestCustomersAboveTheirShareAreEqual(t *testing.T) {
	const large, from = 16, 2 * time.Second
	for _, entries := range []int{5, 12} {
		for _, rare := range []int{0, 20984} {
			if entries > *maxFleetEntries {
				continue
			}
			var kinds []requestKind
			for c := range large {
				output := 40 + 20*(c%3)
				kinds = append(kinds, requestKind{0, 2.2 * 81 / large / serviceTime(1000, output).Seconds() * (1 + 0.1*float64(c)), 1000, output})
			}
			if rare > 0 {
				kinds = append(kinds, requestKind{0, 40, 1000, 60})
			}
			f := shareFleet(entries, true, kinds...)
			f.customer = func(rnd *rand.Rand, kind int) *route.Customer {
				if kind == large {
					return &route.Customer{Name: fmt.Sprint("rare", rnd.IntN(rare))}
				}
				return &route.Customer{Name: fmt.Sprint("c", kind)}
			}
			results := f.replay(t).requests
			work, rareServed, rareAll := make([]float64, large), 0, 0
			for _, r := range results {
				switch {
				case r.decidedAt < from || r.decidedAt > from+3*time.Second:
				case strings.HasPrefix(r.customer, "rare"):
					rareAll++
					if !r.refused {
						rareServed++
					}
				case !r.refused:
					var c int
					fmt.Sscanf(r.customer, "c%d", &c)
					work[c] += r.work.Seconds()
				}
			}
			index := jainIndex(work)
			t.Logf("%d entries, %d rare customers: Jain's index %.4f over 3 s, %d of %d rare requests served", entries, rare, index, rareServed, rareAll)
			if index < 0.98 {
				t.Errorf("%d entries: Jain's index is %.4f", entries, index)
			}
			if float64(rareServed) < 0.95*float64(rareAll) {
				t.Errorf("%d entries: %d of %d requests of rare customers are served", entries, rareServed, rareAll)
			}
		}
	}
}
