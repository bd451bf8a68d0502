package direct

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lycheepond/core/admit"
	"lycheepond/core/fair"
	"lycheepond/core/meter"
	"lycheepond/core/route"
	"lycheepond/core/waitq"
)

// shareFleet returns a fleet of owners with 81 slots for each five entries. The first three kinds
// of requests are those of small customers, the fourth is that of a big one.
func shareFleet(entries int, shares bool, kinds ...requestKind) fleet {
	f := fleet{
		workload: workload{
			entries: entries, engines: entries * 9 / 5, slots: 9, duration: 7 * time.Second, seed: 11,
			customer: func(_ *rand.Rand, kind int) *route.Customer {
				return &route.Customer{Name: fmt.Sprint([]string{"small", "small", "small", "big"}[kind], kind)}
			},
		},
		usesOwners: true, overload: Overload{ShareByCustomer: shares, MinOwnedEntries: 2},
	}
	for _, k := range kinds {
		k.rate *= float64(entries) / 5
		f.kinds = append(f.kinds, k)
		f.limits = append(f.limits, [2]time.Duration{500 * time.Millisecond, replayDeadline})
	}
	return f
}

// served returns how many requests were served to the customers whose names begin with prefix, the
// time for which they hold slots, and how many there were.
func served(results []requestResult, prefix string, from, to time.Duration) (n int, work float64, all int) {
	for _, r := range results {
		if r.decidedAt < from || r.decidedAt > to || !strings.HasPrefix(r.customer, prefix) {
			continue
		}
		all++
		if !r.refused {
			n++
			work += r.work.Seconds()
		}
	}
	return n, work, all
}

// Guards against customers that are refused because another one sends many times as much, or
// requests that hold their slots for much longer.
func TestCustomersBelowTheirShareAreServed(t *testing.T) {
	small := requestKind{0, 50, 1000, 40}
	for name, big := range map[string]requestKind{"7.5 times the requests": {0, 7.5 * 75, 1000, 40}, "requests of 1.5 s": {0, 75, 1000, 365}} {
		for _, entries := range []int{5, 12, 299} {
			if entries > *maxFleetEntries {
				continue
			}
			t.Run(fmt.Sprint(name, ", ", entries, " entries"), func(t *testing.T) {
				total := func(f fleet) int {
					n, _, _ := served(f.replay(t).requests, "small", 0, f.duration)
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

// Guards against unequal service of customers who all ask for more than they get, and against
// rare customers among 21,000 that are refused meanwhile.
func TestCustomersAboveTheirShareAreEqual(t *testing.T) {
	const large, from = 16, 2 * time.Second
	for _, entries := range []int{5, 12, 299} {
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
				return &route.Customer{Name: fmt.Sprint("large", kind, " ")}
			}
			results := f.replay(t).requests
			sum, squares := 0.0, 0.0
			for c := range large {
				_, work, _ := served(results, fmt.Sprint("large", c, " "), from, from+3*time.Second)
				sum, squares = sum+work, squares+work*work
			}
			index := sum * sum / (large * squares)
			rareServed, _, rareAll := served(results, "rare", from, from+3*time.Second)
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

// Guards against large requests that are starved behind smaller ones, and against fewer requests
// served, when the room is shared among customers who ask for about as much.
func TestSharesKeepOrderBySize(t *testing.T) {
	run := func(shares bool) (n int, results []requestResult) {
		f := shareFleet(5, shares, requestKind{0, 49, 6610, 380}, requestKind{1, 72, 628, 290}, requestKind{2, 90, 1800, 25})
		f.slots, f.retriesRefused, f.estimateSpread = 12, true, 0.5
		f.customer = func(rnd *rand.Rand, _ int) *route.Customer {
			return &route.Customer{Name: fmt.Sprint("c", rnd.IntN(8))}
		}
		results = f.replay(t).requests
		n, _, _ = served(results, "c", 0, time.Minute)
		return n, results
	}
	without, _ := run(false)
	with, results := run(true)
	t.Logf("%d of %d requests served, %d without shares", with, len(results), without)
	if float64(with) < 0.93*float64(without) {
		t.Errorf("%d requests are served, %d without shares", with, without)
	}
	for tier := range 3 {
		all, largest, below := serviceBySize(results, tier)
		if all > 0.02 && min(largest, below) < minSizeShare*all {
			t.Errorf("tier %d: the largest tenth is served at %.2f of the rate of its tier, the fifth below it at %.2f", tier, largest/all, below/all)
		}
	}
}

// newSharingPair returns an entry pair whose owner shares the room of one engine by customer, and
// places a request of the customer "a", which takes the only slot.
func newSharingPair(t *testing.T) *entryPair {
	t.Helper()
	p := newEntryPair(t, 1)
	p.outputTokens = 20
	p.cfg.Revision, p.cfg.Customers = 2, []route.Customer{{Name: "a", Weight: 3}}
	p.owner.SetConfig(p.cfg)
	p.owner.cfg.Overload.ShareByCustomer = true
	if _, dec := p.requester.admitJob(t.Context(), p.jobOf("a")); dec.Endpoint < 0 {
		t.Fatalf("the first request is refused: %v", dec.Reason)
	}
	return p
}

func (p *entryPair) jobOf(customer string) *Job {
	j := p.job()
	j.Route, j.Tier = &p.cfg.Routes[1], p.cfg.Routes[1].TierOf(nil)
	j.Customer = &route.Customer{Name: customer}
	return j
}

// nextTag returns the start tag that the owner gives the next request of a customer.
func (p *entryPair) nextTag(customer string) time.Duration {
	p.owner.mu.Lock()
	defer p.owner.mu.Unlock()
	for _, s := range p.owner.view.pools["p"].shards {
		var position waitq.Priority
		j := p.jobOf(customer)
		p.owner.askShare(j, s, &position)
		j.share.end(false)
		return position.StartTag
	}
	return 0
}

// An entry ends while its requests wait at an owner. Guards against work that stays counted for
// their customer.
func TestWaitingWorkOfEndedEntryIsTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newSharingPair(t)
		before := p.nextTag("b")
		j := p.jobOf("b")
		j.OutputTokens = 2000
		go p.requester.admitJob(t.Context(), j)
		time.Sleep(10 * time.Millisecond)
		if during := p.nextTag("b"); during <= before {
			t.Errorf("the tag is %v while requests wait, %v before", during, before)
		}
		p.session.Close()
		if after := p.nextTag("b"); after != before {
			t.Errorf("the tag is %v after the end of the entry, %v before", after, before)
		}
		time.Sleep(time.Second)
	})
}

// Guards against refusals that tell neither the customer's share nor the weight by which it is
// due, against customers that only the requester knows and that get no share, and against shares
// that are kept or told while the setting is off.
func TestRefusalTellsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newSharingPair(t)
		for customer, want := range map[string]fair.Share{"a": {Placed: 1, Due: 0.75}, "only at the requester": {Due: 0.25}} {
			// Both customers have asked.
			p.nextTag("a")
			p.nextTag("only at the requester")
			j := p.jobOf(customer)
			if _, dec := p.requester.admitJob(t.Context(), j); dec.Reason != admit.Full {
				t.Fatalf("%s: %v", customer, dec.Reason)
			}
			if j.share.result != want {
				t.Errorf("%s: share %+v, want %+v", customer, j.share.result, want)
			}
			if fields := p.requester.reportShare(j, Result{Outcome: Refused}); len(fields) != 3 {
				t.Errorf("%s: %d fields", customer, len(fields))
			}
		}
		for _, counter := range []string{"refused_over_share", "refused_under_share"} {
			if n := p.requester.cfg.Metrics.Counter(counter, meter.Label{Key: "pool", Value: "p"}).Count(); n != 1 {
				t.Errorf("%s is %d, want 1", counter, n)
			}
		}
		p.owner.cfg.Overload.ShareByCustomer = false
		j := p.jobOf("a")
		p.requester.admitJob(t.Context(), j)
		if fields := p.requester.reportShare(j, Result{Outcome: Refused}); fields != nil || p.nextTag("a") != 0 {
			t.Errorf("while the setting is off: %d fields, tag %v", len(fields), p.nextTag("a"))
		}
	})
}

// Guards against a setting without effect, and against a change of the default.
func TestMinOwnedEntries(t *testing.T) {
	p := newEntryPair(t, 1)
	for setting, first := range map[int]int{0: 9, 2: 2} {
		p.owner.cfg.Overload.MinOwnedEntries = setting
		if p.owner.usesShardOwners(first-1) || !p.owner.usesShardOwners(first) {
			t.Errorf("setting %d: shards do not have owners from %d entries on", setting, first)
		}
	}
}
