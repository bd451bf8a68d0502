package waitq_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheepond/core/route"
	"lycheepond/core/waitq"
)

func priority(tier int, targetAt time.Duration) waitq.Priority {
	return waitq.Priority{Tier: route.Tier{Route: tier}, TargetAt: targetAt}
}

func ExampleQueue() {
	var q waitq.Queue[string]
	q.Add("status", priority(2, 100*time.Millisecond))
	q.Add("brief", priority(0, 400*time.Millisecond))
	q.Add("brief due sooner", priority(0, 300*time.Millisecond))
	q.SendInOrder(func(r *waitq.Request[string]) (sent, more bool) {
		fmt.Println(r.Value)
		return true, true
	})
	// Output:
	// brief due sooner
	// brief
	// status
}

// The first request in the queue needs more time for its prompt than it has left. It must
// neither block the requests behind it from free slots nor lose its position.
func TestSendInOrderSkipsRequestsThatCannotBeSent(t *testing.T) {
	var q waitq.Queue[string]
	q.Add("long", priority(0, 1))
	q.Add("short", priority(0, 2))
	q.Add("later", priority(1, 1))
	q.SendInOrder(func(r *waitq.Request[string]) (sent, more bool) { return r.Value == "short", r.Value != "short" })
	var left []string
	q.SendInOrder(func(r *waitq.Request[string]) (sent, more bool) {
		left = append(left, r.Value)
		return false, true
	})
	if want := []string{"long", "later"}; !slices.Equal(left, want) {
		t.Errorf("left in queue: %v, want %v", left, want)
	}
}

// Requests are added and removed in any order. A request must never be behind one of a
// lower tier, and none may be lost.
func TestQueueKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q waitq.Queue[int]
		queued := make(map[int]*waitq.Request[int])
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				n := len(queued)
				for queued[n] != nil {
					n++
				}
				p := priority(rapid.IntRange(0, 3).Draw(t, "tier"), time.Duration(rapid.IntRange(0, 5).Draw(t, "due")))
				queued[n] = q.Add(n, p)
			},
			"remove": func(t *rapid.T) {
				for n, r := range queued {
					delete(queued, n)
					if !q.Remove(r) || q.Remove(r) {
						t.Fatal("not removed exactly once")
					}
					return
				}
			},
			"": func(t *rapid.T) {
				var previous *waitq.Request[int]
				seen := 0
				q.SendInOrder(func(r *waitq.Request[int]) (sent, more bool) {
					if previous != nil && previous.Priority().Compare(r.Priority()) > 0 {
						t.Fatalf("%v is ahead of %v", previous.Priority(), r.Priority())
					}
					previous = r
					seen++
					return false, true
				})
				if seen != len(queued) || q.Len() != len(queued) {
					t.Fatalf("%d of %d in the queue", seen, len(queued))
				}
			},
		})
	})
}

// Thirty entries have queued requests and learn at the same time that an engine has a free
// slot. If each sent a request, thirty would queue at the engine and none could be taken
// back. With random draws, about one entry sends.
func TestFreeSlotIsTakenByOneEntryOnAverage(t *testing.T) {
	const entries, rounds = 30, 1000
	taken := 0
	for round := range rounds {
		for e := range entries {
			c := waitq.Contention{OwnRequests: 1, SameTierRequests: entries - 1, FreeSlots: 1}
			if waitq.Draw(fmt.Sprint("entry-", e), "endpoint-7", time.Duration(round)*waitq.DrawInterval) < c.Share() {
				taken++
			}
		}
	}
	if taken < rounds*9/10 || taken > rounds*11/10 {
		t.Errorf("taken %d times in %d rounds", taken, rounds)
	}
}

// Free slots must go to requests of higher tiers first. The entries with requests of the
// same tier share the rest.
func TestContention(t *testing.T) {
	for _, tt := range []struct {
		name       string
		contention waitq.Contention
		blocked    bool
		share      float64
	}{
		{"alone", waitq.Contention{OwnRequests: 1, FreeSlots: 2}, false, 1},
		{"nothing free, no other requests", waitq.Contention{OwnRequests: 1}, false, 1},
		{"others of the same tier", waitq.Contention{OwnRequests: 1, SameTierRequests: 3, FreeSlots: 1}, false, 0.25},
		{"higher tiers need all free slots", waitq.Contention{HigherTierRequests: 3, OwnRequests: 1, FreeSlots: 2}, true, 0},
		{"higher tiers leave half of the slots", waitq.Contention{HigherTierRequests: 2, OwnRequests: 1, FreeSlots: 4}, false, 0.5},
	} {
		if got := tt.contention.Blocked(); got != tt.blocked {
			t.Errorf("%s: blocked %v", tt.name, got)
		}
		if got := tt.contention.Share(); got != tt.share {
			t.Errorf("%s: share %v, want %v", tt.name, got, tt.share)
		}
	}
}

// A caller whose request needs nearly all the time left until its target gains nothing by
// waiting. It must be refused at once.
func TestMaxWaitIsBoundedByTarget(t *testing.T) {
	const target = 400 * time.Millisecond
	if got := waitq.MaxWait(target, target, 50*time.Millisecond); got != 40*time.Millisecond {
		t.Errorf("with the whole target left: %v", got)
	}
	if got := waitq.MaxWait(target, 70*time.Millisecond, 50*time.Millisecond); got != 20*time.Millisecond {
		t.Errorf("with little of the target left: %v", got)
	}
	if got := waitq.MaxWait(target, 30*time.Millisecond, 50*time.Millisecond); got > 0 {
		t.Errorf("with less than the service time left: %v", got)
	}
}

// In an overload, a few long answers hold the slots that many short ones could use. Within
// a tier, a short request must go before a long one with a slightly earlier target.
func TestShortRequestsGoFirstWithinTier(t *testing.T) {
	var q waitq.Queue[string]
	add := func(name string, tier int, targetAt, holdTime time.Duration) {
		p := priority(tier, targetAt)
		p.HoldTime = holdTime
		q.Add(name, p)
	}
	add("long", 1, 500*time.Millisecond, 4*time.Second)
	add("short", 1, 540*time.Millisecond, 100*time.Millisecond)
	add("long of a higher tier", 0, 600*time.Millisecond, 4*time.Second)
	add("long, due long before", 1, -9*time.Second, 4*time.Second)
	var got []string
	q.SendInOrder(func(r *waitq.Request[string]) (sent, more bool) {
		got = append(got, r.Value)
		return true, true
	})
	if want := []string{"long of a higher tier", "long, due long before", "short", "long"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}
