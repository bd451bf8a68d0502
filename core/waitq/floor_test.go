package waitq_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"lycheepond/core/route"
	"lycheepond/core/waitq"
)

// Guards against sizes that are starved while shorter requests of their class take all slots.
func TestFloorServesEachSize(t *testing.T) {
	// In each round ten requests of the class compete for some slots; the shortest are served,
	// except that those which go first by the floor precede them.
	for _, slots := range []int{1, 3, 6} {
		rnd := rand.New(rand.NewPCG(1, uint64(slots)))
		class := waitq.Class{Tier: route.Tier{Route: 1}, Target: time.Second}
		var (
			floor           waitq.Floor
			arrived, served [2]int
		)
		for range 4000 {
			var q waitq.Queue[int]
			for i := range 10 {
				size := 0
				if i == 0 {
					size = 1
				}
				hold := time.Duration(1+8*size)*time.Second + time.Duration(rnd.IntN(100))*time.Millisecond
				q.Add(size, waitq.Priority{Tier: class.Tier, TargetAt: time.Second, HoldTime: hold, Owed: floor.Claim(class, hold)})
			}
			left := slots
			q.SendInOrder(func(r *waitq.Request[int]) (sent, more bool) {
				arrived[r.Value]++
				isServed := left > 0
				if isServed {
					served[r.Value]++
					left--
				}
				floor.Record(class, r.Priority().HoldTime, r.Priority().Owed, isServed)
				return false, true
			})
		}
		rate := float64(served[0]+served[1]) / float64(arrived[0]+arrived[1])
		long := float64(served[1]) / float64(arrived[1])
		t.Logf("%d slots: %.3f of all served, %.3f of the long ones", slots, rate, long)
		if long < 0.5*rate {
			t.Errorf("%d slots: long requests are served at %.2f of the rate of their class", slots, long/rate)
		}
		if long > 0.8*rate {
			t.Errorf("%d slots: long requests are served at %.2f of the rate of their class: the order is lost", slots, long/rate)
		}
	}
}

// Guards against a crowd of one size that all go first before the first of them is served.
func TestFloorClaimsNoMoreThanIsOwed(t *testing.T) {
	var floor waitq.Floor
	class := waitq.Class{Target: time.Second}
	for range 100 {
		floor.Record(class, time.Second, false, false)
	}
	claimed := 0
	for range 100 {
		if floor.Claim(class, time.Second) {
			claimed++
		}
	}
	if claimed == 0 || claimed > 3 {
		t.Errorf("%d requests go first, want 1 to 3", claimed)
	}
}
