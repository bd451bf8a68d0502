package fair

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lycheepond/core/waitq"
)

// load is what one customer asks for: the chance of a request for each slot, and its work.
type load struct {
	name           string
	weight, chance float64
	work           time.Duration
}

// compete lets the requests of loads compete for a slot every 2 ms, each time at one of the owners,
// and returns the work that each customer is placed.
func compete(rnd *rand.Rand, owners []*Tier, loads []load, from, to time.Duration) map[string]float64 {
	placed := make(map[string]float64)
	for now := from; now < to; now += 2 * time.Millisecond {
		t := owners[rnd.IntN(len(owners))]
		var queue waitq.Queue[*load]
		asked := make(map[*load]*Request)
		for i := range loads {
			if l := &loads[i]; rnd.Float64() < l.chance {
				r := t.Ask(now, l.name, l.weight, l.work)
				t.Wait(r)
				asked[l] = r
				queue.Add(l, waitq.Priority{CustomerOwed: r.Owed(), StartTag: r.StartTag(), HoldTime: l.work})
			}
		}
		isFirst := true
		queue.SendInOrder(func(r *waitq.Request[*load]) (sent, more bool) {
			if isFirst {
				t.Place(now, asked[r.Value])
				placed[r.Value.name] += r.Value.work.Seconds()
			} else {
				t.Refuse(asked[r.Value])
			}
			isFirst = false
			return false, true
		})
	}
	return placed
}

// crowd returns n customers that ask for more than their shares, with requests of different sizes.
func crowd(n int) []load {
	var out []load
	for i := range n {
		out = append(out, load{fmt.Sprint("c", i), 1, 0.6 + 0.3*float64(i)/float64(n), time.Duration(100+100*(i%4)) * time.Millisecond})
	}
	return out
}

// Customers who all ask for more than they get must get equal work by weight within a second.
func TestSharesAreEqual(t *testing.T) {
	weighted := crowd(4)
	for i, w := range []float64{1, 2, 3, -1} {
		weighted[i].weight = w
	}
	for _, tt := range []struct {
		guardsAgainst string
		owners        int
		loads         []load
		// alone is how many of the loads there are in the minute before.
		alone     int
		ownerEnds bool
	}{
		{"unequal service of few customers", 1, crowd(2), 0, false},
		{"unequal service of many customers", 1, crowd(100), 0, false},
		{"weights that do not count, and wrong ones that stop the division", 1, weighted, 0, false},
		{"customers that get more from two owners at a time", 2, crowd(16), 0, false},
		{"unequal service after the owner has ended", 1, crowd(16), 16, true},
		{"a customer that is last for a minute because it has used idle slots for a minute", 1, crowd(2), 1, false},
	} {
		rnd := rand.New(rand.NewPCG(1, 1))
		owners := []*Tier{new(Tier), new(Tier)}[:tt.owners]
		compete(rnd, owners, tt.loads[:tt.alone], 0, time.Minute)
		if tt.ownerEnds {
			owners[0] = new(Tier)
		}
		compete(rnd, owners, tt.loads, time.Minute, 61*time.Second)
		placed := compete(rnd, owners, tt.loads, 61*time.Second, 64*time.Second)
		sum, squares := 0.0, 0.0
		for _, l := range tt.loads {
			x := placed[l.name] / max(l.weight, 1)
			sum, squares = sum+x, squares+x*x
		}
		if index := sum * sum / (float64(len(tt.loads)) * squares); !(index >= 0.98) {
			t.Errorf("%s: Jain's index %.4f", tt.guardsAgainst, index)
		}
	}
}

// Guards against a customer with many times its load that is refused altogether, against requests
// served by the floor that move the virtual time away from the tags that are served in order, and
// against a customer that is last for long after it was served by the floor.
func TestFloorDoesNotMoveVirtualTime(t *testing.T) {
	var tier Tier
	owed := 0
	for i := range 5000 {
		now := time.Duration(i) * 10 * time.Millisecond
		for _, name := range []string{"a", "b", "c", "d"} {
			tier.Place(now, tier.Ask(now, name, 1, 100*time.Millisecond))
		}
		for range 50 {
			if r := tier.Ask(now, "large", 1, 100*time.Millisecond); r.Owed() {
				owed++
				tier.Place(now, r)
			} else {
				tier.Refuse(r)
			}
		}
	}
	a, ahead := tier.customers["a"].finish, tier.customers["large"].finish-tier.virtualTime
	if owed < 10000 || owed > 20000 || tier.virtualTime > a || ahead > tier.credit() {
		t.Errorf("%d are served by the floor; the virtual time is %.1f, %.1f for the others; the customer is %.1f ahead", owed, tier.virtualTime, a, ahead)
	}
}

// Guards against memory that grows with the number of customers, and against sums that drift.
func TestStateIsBounded(t *testing.T) {
	var tier Tier
	rnd := rand.New(rand.NewPCG(7, 7))
	var waiting []*Request
	for i := range 100000 {
		now := time.Duration(i) * time.Millisecond / 4
		r := tier.Ask(now, fmt.Sprint(rnd.IntN(21000)), 1, 200*time.Millisecond)
		tier.Wait(r)
		if waiting = append(waiting, r); len(waiting) > 5000 || i%2 > 0 {
			tier.Place(now, waiting[0])
			waiting = waiting[1:]
		}
	}
	listed, active := 0, 0.0
	for c := tier.first; c != nil; c = c.next {
		listed++
		if c.isActive {
			active += c.weight
		}
	}
	if len(tier.customers) > maxCustomers || listed != len(tier.customers) || math.Abs(active-tier.activeWeight) > 1e-6 {
		t.Errorf("%d customers, %d in the list; the active weight is %v, want %v", len(tier.customers), listed, tier.activeWeight, active)
	}
}

// Guards against work per decision that grows with the number of customers. The bound leaves room
// for slower memory.
func TestCostDoesNotGrowWithCustomers(t *testing.T) {
	cost := func(customers int) time.Duration {
		fastest := time.Duration(math.MaxInt64)
		for range 5 {
			var tier Tier
			start := time.Now()
			for i := range 50000 {
				now := time.Duration(i) * time.Millisecond / 4
				tier.Place(now, tier.Ask(now, fmt.Sprint("customer-", i%customers), 1, 200*time.Millisecond))
			}
			fastest = min(fastest, time.Since(start)/50000)
		}
		return fastest
	}
	few, many := cost(16), cost(21000)
	t.Logf("%v for a decision among 16 customers, %v among 21,000", few, many)
	if many > 20*few {
		t.Errorf("%v for a decision among 16 customers, %v among 21,000", few, many)
	}
}
