package shed

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheepond/core/spec"
)

const second = time.Second

// mixed returns streams of five customers whose load is factor times the
// capacity of so many places, a quarter in each tier.
func mixed(places int, factor float64, mean, target time.Duration) []stream {
	var all []stream
	for t := range spec.Tiers {
		for c := range 5 {
			all = append(all, stream{tier: uint8(t), customer: fmt.Sprint("c", c), load: factor * float64(places) / 20, mean: mean, target: target})
		}
	}
	return all
}

func report(t *testing.T, m *model, d time.Duration) {
	t.Helper()
	all := m.sum(-1)
	t.Logf("goodput %.1f%% of capacity, busy %.1f%%, wrong %d, %d refusals", 100*all.within/(float64(m.places)*d.Seconds()), 100*m.busy/(float64(m.places)*d.Seconds()), m.wrong, len(m.retries))
	for i := range spec.Tiers {
		c := m.sum(i)
		t.Logf("tier %d: offered %5.0f within %5.1f%% late %4.1f%% refused %5.1f%%", i, c.offered, 100*c.within/c.offered, 100*c.late/c.offered, 100*c.refused/c.offered)
	}
}

// Twice as much work arrives than the pool can run, for two minutes. Callers of
// the lowest tiers are refused at once; if admission let too much in, nearly
// every answer would be late, and if too little, endpoints would idle.
func TestOverload(t *testing.T) {
	for _, tc := range []struct {
		name            string
		places, entries int
		mean, target    time.Duration
		guess           float64
	}{
		{"small pool", 12, 1, second, 3 * second, 1},
		{"two entries", 48, 2, second, 3 * second, 1},
		{"large pool, short target", 200, 1, 2 * second, 1500 * time.Millisecond, 1},
		{"long work", 96, 2, 10 * second, 5 * second, 1},
		{"estimates ten times too high", 48, 2, second, 3 * second, 10},
		{"estimates ten times too low", 48, 2, second, 3 * second, 0.1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newModel(tc.places, tc.entries)
			streams := mixed(tc.places, 2, tc.mean, tc.target)
			for i := range streams {
				streams[i].guess = tc.guess
			}
			const d = 2 * time.Minute
			m.run(d, streams)
			report(t, m, d)
			if got := m.sum(-1).within / (float64(tc.places) * d.Seconds()); got < 0.9 {
				t.Errorf("goodput is %.1f%% of capacity", 100*got)
			}
			if top := m.sum(0); top.within < 0.99*top.offered {
				t.Errorf("%.1f%% of the top tier within target", 100*top.within/top.offered)
			}
			if m.wrong > 0 {
				t.Errorf("%d refusals while lower work was served", m.wrong)
			}
		})
	}
}

// One customer sends ten times its share. The others must hardly notice, and
// in their own tier not be refused for it.
func TestHotCustomer(t *testing.T) {
	const places, d = 24, 2 * time.Minute
	calm := newModel(places, 2)
	streams := mixed(places, 0.7, second, 3*second)
	for i := range streams {
		streams[i].tier = 1
	}
	calm.run(d, streams)
	hot := newModel(places, 2)
	for i := range streams {
		if streams[i].customer == "c0" {
			streams[i].load *= 10
		}
	}
	hot.run(d, streams)
	report(t, hot, d)
	for c := 1; c < 5; c++ {
		key := fmt.Sprint("1/c", c)
		before, after := calm.got[key], hot.got[key]
		t.Logf("%s: within target %.1f%%, without the hot one %.1f%%", key, 100*after.within/after.offered, 100*before.within/before.offered)
		if after.within/after.offered < 0.97*before.within/before.offered {
			t.Errorf("%s suffers", key)
		}
	}
}

// The lower tiers burst to four times their load for ten seconds. The top tier
// must not notice, and the others must be served again soon after.
func TestBurst(t *testing.T) {
	const places, d = 24, time.Minute
	m := newModel(places, 2)
	streams := mixed(places, 0.6, second, 3*second)
	for _, s := range streams {
		if s.tier > 1 {
			s.load, s.from, s.to = 3*s.load, 20*second, 30*second
			streams = append(streams, s)
		}
	}
	m.run(d, streams)
	report(t, m, d)
	for i, least := range []float64{0.99, 0.97, 0.55, 0.5} {
		if c := m.sum(i); c.within < least*c.offered {
			t.Errorf("tier %d: %.1f%% within target", i, 100*c.within/c.offered)
		}
	}
	if m.wrong > 0 {
		t.Errorf("%d refusals while lower work was served", m.wrong)
	}
}

// The pool is full of long work of the lowest tier when the top tier bursts.
// Its requests run late at worst: none is refused while the long work runs.
func TestTopTierIsNotRefused(t *testing.T) {
	m := newModel(12, 2)
	m.run(30*second, []stream{{tier: 3, customer: "long", load: 12, mean: 20 * second, target: time.Minute}})
	m.run(30*second, []stream{{tier: 0, customer: "top", load: 24, mean: second, target: second}, {tier: 3, customer: "long", load: 12, mean: 20 * second, target: time.Minute}})
	report(t, m, time.Minute)
	if m.wrong > 0 {
		t.Errorf("%d refusals while lower work was served", m.wrong)
	}
	// The long jobs end after 20 s on average, which leaves the top tier about
	// 12 * (30 - 20*(1-exp(-30/20))) = 174 seconds of work.
	if c := m.sum(0); c.within < 0.9*174 {
		t.Errorf("%.0f s of the top tier's work within target", c.within)
	}
}

// Callers that are refused at the same moment must not be told to come back at
// the same moment, and none sooner than the pool can take it.
func TestRetryAfterSpreads(t *testing.T) {
	m := newModel(12, 1)
	m.run(20*second, mixed(12, 2, second, 3*second))
	p, told := m.entries[0], map[time.Duration]bool{}
	first, last := mostRetry, time.Duration(0)
	for i := range 50 {
		v := p.Decide(m.now, Ask{Tier: 3, Customer: fmt.Sprint(i), Work: second, Target: 3 * second}, View{})
		if v.Admit || v.RetryAfter < leastRetry || v.RetryAfter > mostRetry {
			t.Fatalf("verdict %d: %+v", i, v)
		}
		told[v.RetryAfter] = true
		first, last = min(first, v.RetryAfter), max(last, v.RetryAfter)
	}
	if last-first < 4*second || len(told) < 50 {
		t.Fatalf("50 seconds of work for 12 places were told %d times within %v", len(told), last-first)
	}
}

func TestColdStartAdmits(t *testing.T) {
	p := New(Config{})
	for i := range 1000 {
		if v := p.Decide(0, Ask{Tier: 3, Customer: "a", Work: second, Target: second}, View{}); !v.Admit {
			t.Fatalf("request %d: %+v", i, v)
		}
		p.Arrived(0, 3, "a", second)
	}
}

// For an hour little arrives and all of it starts at once. That says nothing of
// what the pool can do: if it counted as its rate, the first burst after a quiet
// night would be refused.
func TestQuietHoursAreNoRate(t *testing.T) {
	p := New(Config{})
	now := time.Duration(0)
	for range 3600 {
		now += second
		p.Arrived(now, 1, "a", second)
		p.Started(now+time.Millisecond, 1, "a", second)
	}
	for i := range 100 {
		if v := p.Decide(now, Ask{Tier: 1, Customer: "a", Work: second, Target: 20 * second}, View{Places: 50}); !v.Admit {
			t.Fatalf("request %d of a burst for 50 places: %+v", i, v)
		}
		p.Arrived(now, 1, "a", second)
	}
}

func TestLevel(t *testing.T) {
	l := newLevel(2 * second)
	now := time.Duration(0)
	check := func(what string, want uint8) {
		t.Helper()
		l.rise(now)
		if l.inForce(now) != want {
			t.Fatalf("%s: level %d, want %d", what, l.inForce(now), want)
		}
	}
	l.see(0, View{Served: 0b1111})
	l.fall(now, 0)
	check("only the lowest tier leaves at once", 2)
	l.see(0, View{Served: 0b0111})
	check("the next when it has left", 1)
	l.see(0, View{Served: 0b0001})
	check("then the next", 0)
	now += 1900 * time.Millisecond
	check("it stays", 0)
	now += 100 * time.Millisecond
	check("and rises a tier", 1)
	l.fall(now, 0)
	check("falls at once", 0)
	now += 3 * second
	check("and stays longer", 0)
	now += second
	check("until it rises", 1)
	l.peer(now, 0, second)
	check("others have a lower level", 0)
	if l.own != 1 {
		t.Fatal("a peer's level became one's own")
	}
	now += 9 * second
	check("and no more", 2)
	l.idle = true
	now += 900 * time.Millisecond
	check("it rises no sooner", 2)
	now += 100 * time.Millisecond
	check("than after a quarter of its hold while places are idle", 3)
}

// Whatever arrives in whatever order, nothing is refused while lower work is
// served, every refusal says when to come back, and an entry without a backlog
// admits what no level excludes.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{})
		now := time.Duration(0)
		type waiting struct {
			tier     uint8
			customer string
			work     time.Duration
		}
		var in []waiting
		pop := func(t *rapid.T) (w waiting, ok bool) {
			if len(in) == 0 {
				return w, false
			}
			i := rapid.IntRange(0, len(in)-1).Draw(t, "which")
			w = in[i]
			in = append(in[:i], in[i+1:]...)
			return w, true
		}
		t.Repeat(map[string]func(*rapid.T){
			"decide": func(t *rapid.T) {
				w := waiting{uint8(rapid.IntRange(0, 3).Draw(t, "tier")), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), time.Duration(rapid.IntRange(0, 100).Draw(t, "work")) * second / 10}
				v := View{LowerServed: rapid.Bool().Draw(t, "lower") && w.tier < 3, Served: uint8(rapid.IntRange(0, 15).Draw(t, "served")), Places: rapid.IntRange(0, 4).Draw(t, "places")}
				got := p.Decide(now, Ask{Tier: w.tier, Customer: w.customer, Work: w.work, Target: second}, v)
				switch {
				case !got.Admit && (v.LowerServed || v.Served>>(w.tier+1) != 0):
					t.Fatal("refused while lower work is served")
				case !got.Admit && (got.RetryAfter < leastRetry || got.RetryAfter > mostRetry || got.Why == Admitted):
					t.Fatalf("refusal %+v", got)
				case !got.Admit && len(in) == 0 && got.Why == Late:
					t.Fatal("refused as late without a backlog")
				case got.Admit:
					p.Arrived(now, w.tier, w.customer, w.work)
					in = append(in, w)
				}
				if !got.Admit && p.level.inForce(now) > w.tier {
					t.Fatal("lower tiers are admitted after a refusal")
				}
			},
			"start": func(t *rapid.T) {
				if w, ok := pop(t); ok {
					p.Started(now, w.tier, w.customer, w.work)
				}
			},
			"leave": func(t *rapid.T) {
				if w, ok := pop(t); ok {
					p.Left(now, w.tier, w.customer, w.work)
				}
			},
			"later": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond },
			"peer":  func(t *rapid.T) { p.Peer(now, uint8(rapid.IntRange(0, 3).Draw(t, "level")), second) },
			"": func(t *rapid.T) {
				sum := 0.0
				for _, w := range in {
					sum += w.work.Seconds()
				}
				got := 0.0
				for i := range p.tiers {
					got += p.tiers[i].work
				}
				if p.waiting != len(in) || got < sum-0.001 || got > sum+0.001 {
					t.Fatalf("%d waiting with %.3f s, want %d with %.3f s", p.waiting, got, len(in), sum)
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
		p.Arrived(0, uint8(i%spec.Tiers), names[i], time.Duration(i%97)*second)
	}
	v := View{Places: 100, Peers: 2}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		now := time.Duration(n) * time.Millisecond
		tier, name := uint8(n%spec.Tiers), names[n*7919%customers]
		p.Decide(now, Ask{Tier: tier, Customer: name, Work: second, Target: second}, v)
		p.Arrived(now, tier, name, second)
		p.Started(now, tier, name, second)
	}
}
