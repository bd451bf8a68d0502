package shed

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheepond/core/spec"
)

const second = time.Second

// mixedStreams returns the streams of five customers in every tier. Their load
// is overload times the capacity of the given number of slots, a quarter of it
// in each tier.
func mixedStreams(slots int, overload float64, mean, target time.Duration) []stream {
	var all []stream
	for t := range spec.Tiers {
		for c := range 5 {
			all = append(all, stream{tier: uint8(t), customer: fmt.Sprint("c", c), load: overload * float64(slots) / 20, mean: mean, target: target})
		}
	}
	return all
}

func logReport(t *testing.T, m *model, d time.Duration) {
	t.Helper()
	all := m.total(-1)
	t.Logf("goodput %.1f%% of capacity, busy %.1f%%, %d unjust refusals, %d refusals", 100*all.onTime/(float64(m.slots)*d.Seconds()), 100*m.busySeconds/(float64(m.slots)*d.Seconds()), m.unjustRefusals, len(m.retryAfters))
	for i := range spec.Tiers {
		c := m.total(i)
		t.Logf("tier %d: offered %5.0f, on time %5.1f%%, late %4.1f%%, refused %5.1f%%", i, c.offered, 100*c.onTime/c.offered, 100*c.late/c.offered, 100*c.refused/c.offered)
	}
}

// For two minutes, twice as much work arrives as the pool can run. Requests of
// the lowest tiers must be refused at once. If too much were admitted, nearly
// every answer would be late; if too little, endpoints would be idle.
func TestOverload(t *testing.T) {
	for _, tc := range []struct {
		name           string
		slots, entries int
		mean, target   time.Duration
		estimateFactor float64
	}{
		{"small pool", 12, 1, second, 3 * second, 1},
		{"two entries", 48, 2, second, 3 * second, 1},
		{"large pool, short target", 200, 1, 2 * second, 1500 * time.Millisecond, 1},
		{"long work", 96, 2, 10 * second, 5 * second, 1},
		{"estimates ten times too high", 48, 2, second, 3 * second, 10},
		{"estimates ten times too low", 48, 2, second, 3 * second, 0.1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newModel(tc.slots, tc.entries)
			streams := mixedStreams(tc.slots, 2, tc.mean, tc.target)
			for i := range streams {
				streams[i].estimateFactor = tc.estimateFactor
			}
			const d = 2 * time.Minute
			m.run(d, streams)
			logReport(t, m, d)
			if goodput := m.total(-1).onTime / (float64(tc.slots) * d.Seconds()); goodput < 0.9 {
				t.Errorf("goodput is %.1f%% of capacity", 100*goodput)
			}
			if top := m.total(0); top.onTime < 0.99*top.offered {
				t.Errorf("%.1f%% of the top tier on time", 100*top.onTime/top.offered)
			}
			if m.unjustRefusals > 0 {
				t.Errorf("%d refusals while a lower tier was served", m.unjustRefusals)
			}
		})
	}
}

// One customer sends ten times its share. The share of the other customers'
// work that is on time may fall by at most 3%.
func TestHotCustomer(t *testing.T) {
	const slots, d = 24, 2 * time.Minute
	calm := newModel(slots, 2)
	streams := mixedStreams(slots, 0.7, second, 3*second)
	for i := range streams {
		streams[i].tier = 1
	}
	calm.run(d, streams)
	hot := newModel(slots, 2)
	for i := range streams {
		if streams[i].customer == "c0" {
			streams[i].load *= 10
		}
	}
	hot.run(d, streams)
	logReport(t, hot, d)
	for c := 1; c < 5; c++ {
		key := fmt.Sprint("1/c", c)
		before, after := calm.counts[key], hot.counts[key]
		t.Logf("%s: on time %.1f%%, without the hot customer %.1f%%", key, 100*after.onTime/after.offered, 100*before.onTime/before.offered)
		if after.onTime/after.offered < 0.97*before.onTime/before.offered {
			t.Errorf("too little of %s is on time", key)
		}
	}
}

// The lower tiers send four times their load for ten seconds. The top tier must
// not be affected, and the lower tiers must be served again soon after.
func TestBurst(t *testing.T) {
	const slots, d = 24, time.Minute
	m := newModel(slots, 2)
	streams := mixedStreams(slots, 0.6, second, 3*second)
	for _, s := range streams {
		if s.tier > 1 {
			s.load, s.start, s.end = 3*s.load, 20*second, 30*second
			streams = append(streams, s)
		}
	}
	m.run(d, streams)
	logReport(t, m, d)
	for i, minShare := range []float64{0.99, 0.97, 0.55, 0.5} {
		if c := m.total(i); c.onTime < minShare*c.offered {
			t.Errorf("tier %d: %.1f%% on time", i, 100*c.onTime/c.offered)
		}
	}
	if m.unjustRefusals > 0 {
		t.Errorf("%d refusals while a lower tier was served", m.unjustRefusals)
	}
}

// The pool is full of long work of the lowest tier when a burst of the top tier
// arrives. Requests of the top tier may be late but must not be refused while
// the long work runs.
func TestTopTierIsNotRefused(t *testing.T) {
	m := newModel(12, 2)
	m.run(30*second, []stream{{tier: 3, customer: "long", load: 12, mean: 20 * second, target: time.Minute}})
	m.run(30*second, []stream{{tier: 0, customer: "top", load: 24, mean: second, target: second}, {tier: 3, customer: "long", load: 12, mean: 20 * second, target: time.Minute}})
	logReport(t, m, time.Minute)
	if m.unjustRefusals > 0 {
		t.Errorf("%d refusals while a lower tier was served", m.unjustRefusals)
	}
	// The long requests end after 20 s on average, which leaves about 12 * (30
	// - 20*(1-exp(-30/20))) = 174 seconds of work to the top tier.
	if c := m.total(0); c.onTime < 0.9*174 {
		t.Errorf("%.0f s of the top tier's work on time", c.onTime)
	}
}

// Callers that are refused at the same moment must be told to retry at
// different times, spread over the time that the pool needs for their work.
func TestRetryAfterSpreads(t *testing.T) {
	m := newModel(12, 1)
	m.run(20*second, mixedStreams(12, 2, second, 3*second))
	p, seen := m.entries[0], map[time.Duration]bool{}
	first, last := maxRetryAfter, time.Duration(0)
	for i := range 50 {
		d := p.Decide(m.now, Request{Tier: 3, Customer: fmt.Sprint(i), Work: second, MaxWait: 3 * second}, View{})
		if d.Admit || d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter {
			t.Fatalf("decision %d: %+v", i, d)
		}
		seen[d.RetryAfter] = true
		first, last = min(first, d.RetryAfter), max(last, d.RetryAfter)
	}
	if last-first < 4*second || len(seen) < 50 {
		t.Fatalf("50 seconds of work for 12 slots got %d different times within %v", len(seen), last-first)
	}
}

// A pool that has not seen any work start must admit everything, otherwise a
// new entry would refuse its first requests.
func TestColdStartAdmits(t *testing.T) {
	p := New(Config{})
	for i := range 1000 {
		if d := p.Decide(0, Request{Tier: 3, Customer: "a", Work: second, MaxWait: second}, View{}); !d.Admit {
			t.Fatalf("request %d: %+v", i, d)
		}
		p.RecordArrival(0, 3, "a", second)
	}
}

// For an hour little work arrives and all of it starts at once. This shows
// nothing about the capacity of the pool. If it counted as the pool's rate, the
// first burst after a quiet night would be refused.
func TestQuietHoursDoNotLowerRate(t *testing.T) {
	p := New(Config{})
	now := time.Duration(0)
	for range 3600 {
		now += second
		p.RecordArrival(now, 1, "a", second)
		p.RecordStart(now+time.Millisecond, 1, "a", second)
	}
	for i := range 100 {
		if d := p.Decide(now, Request{Tier: 1, Customer: "a", Work: second, MaxWait: 20 * second}, View{Slots: 50}); !d.Admit {
			t.Fatalf("request %d of a burst for 50 slots: %+v", i, d)
		}
		p.RecordArrival(now, 1, "a", second)
	}
}

// The level must fall one tier at a time as lower tiers drain, hold, rise
// slowly, hold longer after a relapse, respect a peer's level for a limited
// time, and rise sooner while slots are idle.
func TestLevel(t *testing.T) {
	l := newLevel(2 * second)
	now := time.Duration(0)
	check := func(step string, want uint8) {
		t.Helper()
		l.tryRise(now)
		if l.effective(now) != want {
			t.Fatalf("%s: level %d, want %d", step, l.effective(now), want)
		}
	}
	l.observeServed(0, View{ServedTiers: 0b1111})
	l.lowerTo(now, 0)
	check("only the lowest tier is shed at once", 2)
	l.observeServed(0, View{ServedTiers: 0b0111})
	check("the next tier once the lowest is no longer served", 1)
	l.observeServed(0, View{ServedTiers: 0b0001})
	check("then the next tier", 0)
	now += 1900 * time.Millisecond
	check("the level stays during the hold", 0)
	now += 100 * time.Millisecond
	check("it rises by one tier after the hold", 1)
	l.lowerTo(now, 0)
	check("it falls again at once", 0)
	now += 3 * second
	check("the hold is longer after a relapse", 0)
	now += second
	check("it rises after the longer hold", 1)
	l.setPeerLevel(now, 0, second)
	check("a peer's lower level applies", 0)
	if l.ownLevel != 1 {
		t.Fatal("a peer's level changed the own level")
	}
	now += 9 * second
	check("a peer's level expires", 2)
	l.slotsIdle = true
	now += 900 * time.Millisecond
	check("the level stays during the shorter hold", 2)
	now += 100 * time.Millisecond
	check("it rises after a quarter of the hold while slots are idle", 3)
}

// For any sequence of calls, no request is refused while a lower tier is
// served, every refusal has a valid RetryAfter, and an entry without a backlog
// refuses nothing as late.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{})
		now := time.Duration(0)
		type waiting struct {
			tier     uint8
			customer string
			work     time.Duration
		}
		var waitingWork []waiting
		pop := func(t *rapid.T) (w waiting, ok bool) {
			if len(waitingWork) == 0 {
				return w, false
			}
			i := rapid.IntRange(0, len(waitingWork)-1).Draw(t, "which")
			w = waitingWork[i]
			waitingWork = append(waitingWork[:i], waitingWork[i+1:]...)
			return w, true
		}
		t.Repeat(map[string]func(*rapid.T){
			"decide": func(t *rapid.T) {
				w := waiting{uint8(rapid.IntRange(0, 3).Draw(t, "tier")), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), time.Duration(rapid.IntRange(0, 100).Draw(t, "work")) * second / 10}
				v := View{LowerServed: rapid.Bool().Draw(t, "lower") && w.tier < 3, ServedTiers: uint8(rapid.IntRange(0, 15).Draw(t, "served")), Slots: rapid.IntRange(0, 4).Draw(t, "slots")}
				got := p.Decide(now, Request{Tier: w.tier, Customer: w.customer, Work: w.work, MaxWait: second}, v)
				switch {
				case !got.Admit && (v.LowerServed || v.ServedTiers>>(w.tier+1) != 0):
					t.Fatal("refused while a lower tier is served")
				case !got.Admit && (got.RetryAfter < minRetryAfter || got.RetryAfter > maxRetryAfter || got.Reason == Admitted):
					t.Fatalf("refusal %+v", got)
				case !got.Admit && len(waitingWork) == 0 && got.Reason == PredictedLate:
					t.Fatal("refused as late without a backlog")
				case got.Admit:
					p.RecordArrival(now, w.tier, w.customer, w.work)
					waitingWork = append(waitingWork, w)
				}
				if !got.Admit && p.level.effective(now) > w.tier {
					t.Fatal("lower tiers are admitted after a refusal")
				}
			},
			"start": func(t *rapid.T) {
				if w, ok := pop(t); ok {
					p.RecordStart(now, w.tier, w.customer, w.work)
				}
			},
			"leave": func(t *rapid.T) {
				if w, ok := pop(t); ok {
					p.RecordWithdrawal(now, w.tier, w.customer, w.work)
				}
			},
			"later": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond },
			"peer":  func(t *rapid.T) { p.SetPeerLevel(now, uint8(rapid.IntRange(0, 3).Draw(t, "level")), second) },
			"": func(t *rapid.T) {
				want := 0.0
				for _, w := range waitingWork {
					want += w.work.Seconds()
				}
				got := 0.0
				for i := range p.tiers {
					got += p.tiers[i].work
				}
				if p.waiting != len(waitingWork) || got < want-0.001 || got > want+0.001 {
					t.Fatalf("%d waiting with %.3f s, want %d with %.3f s", p.waiting, got, len(waitingWork), want)
				}
			},
		})
	})
}

func BenchmarkDecide(b *testing.B) {
	const customers = 21000
	names := make([]string, customers)
	p := New(Config{})
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
		p.RecordArrival(0, uint8(i%spec.Tiers), names[i], time.Duration(i%97)*second)
	}
	v := View{Slots: 100, Entries: 2}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		now := time.Duration(n) * time.Millisecond
		tier, name := uint8(n%spec.Tiers), names[n*7919%customers]
		p.Decide(now, Request{Tier: tier, Customer: name, Work: second, MaxWait: second}, v)
		p.RecordArrival(now, tier, name, second)
		p.RecordStart(now, tier, name, second)
	}
}
