package bound

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func middling() engine {
	return engine{between: 20 * time.Millisecond, slope: 0.1, slots: 64, prefill: 8000, kv: 64000, speed: 1}
}

// Engines of four generations come up, one after the other, with a bound that
// knows nothing of them. Callers see less than the engine could give them if
// the bound is too low and late answers if it is too high.
func TestFindsTheBound(t *testing.T) {
	for _, tc := range []struct {
		name  string
		e     engine
		guess float64
	}{
		{"middling", middling(), 1},
		{"fast", engine{between: 8 * time.Millisecond, slope: 0.1, slots: 64, prefill: 20000, kv: 128000, speed: 1}, 1},
		{"slow", engine{between: 36 * time.Millisecond, slope: 0.06, slots: 32, prefill: 3000, kv: 32000, speed: 1}, 1},
		{"few slots", engine{between: 12 * time.Millisecond, slope: 0.05, slots: 16, prefill: 8000, kv: 32000, speed: 1}, 1},
		{"little memory", engine{between: 12 * time.Millisecond, slope: 0.02, slots: 64, prefill: 8000, kv: 8000, speed: 1}, 1},
		{"estimates ten times too high", engine{between: 12 * time.Millisecond, slope: 0.02, slots: 64, prefill: 8000, kv: 8000, speed: 1}, 10},
		{"estimates ten times too low", engine{between: 12 * time.Millisecond, slope: 0.02, slots: 64, prefill: 8000, kv: 8000, speed: 1}, 0.1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			want, n := best(tc.e, time.Minute, 400, 200)
			e, b := tc.e, New(Config{})
			e.load(b, 2*time.Minute, e.bounded(b), guessed(400, 200, tc.guess))
			got := e.good / e.now.Seconds()
			t.Logf("%.0f tokens/s in target at bound %d; best constant bound %d gives %.0f; waste %.2f%%", got, b.Limit(), n, want, 100*e.waste())
			if got < 0.85*want {
				t.Errorf("%.0f tokens/s in target, the best constant bound gives %.0f", got, want)
			}
			if e.waste() > 0.02 {
				t.Errorf("%.1f%% of the prefill was thrown away", 100*e.waste())
			}
		})
	}
}

// The nightly change makes an engine twice as fast or half as fast. With the
// bound of the day before, callers get late answers or half of the goodput.
func TestFindsTheBoundAgain(t *testing.T) {
	for _, speed := range []float64{2, 0.6} {
		e, b := middling(), New(Config{})
		e.load(b, time.Minute, e.bounded(b), drafts(400, 200))
		e.speed = speed
		e.load(b, 30*time.Second, e.bounded(b), drafts(400, 200))
		e.good, e.total = 0, 0
		e.load(b, time.Minute, e.bounded(b), drafts(400, 200))
		changed := middling()
		changed.speed = speed
		want, n := best(changed, time.Minute, 400, 200)
		got := e.good / 60
		t.Logf("speed %g: %.0f tokens/s in target at bound %d, best %d gives %.0f", speed, got, b.Limit(), n, want)
		if got < 0.85*want {
			t.Errorf("speed %g: %.0f tokens/s in target 30 s after the change, best %.0f", speed, got, want)
		}
	}
}

// An engine falls to an eighth of its pace in the middle of its streams and
// reports nothing. Callers would see every new request crawl until it is
// avoided; after it has recovered it must be found out, with little work at
// risk.
func TestSlowAndBack(t *testing.T) {
	e, b := middling(), New(Config{})
	next := drafts(400, 200)
	e.load(b, time.Minute, e.bounded(b), next)
	if b.Slow() {
		t.Fatal("slow at its usual pace")
	}
	e.speed = 0.125
	from := e.now
	for !b.Slow() {
		e.load(b, tick, e.bounded(b), next)
		if e.now-from > 3*time.Second {
			t.Fatal("not found slow within 3 s")
		}
	}
	t.Logf("found slow after %v", e.now-from)
	e.load(b, time.Minute, e.bounded(b), next)
	if b.Limit() > 1 {
		t.Fatalf("a slow endpoint gets %d", b.Limit())
	}
	e.speed, from = 1, e.now
	for b.Slow() {
		e.load(b, tick, e.bounded(b), next)
		if e.now-from > 10*time.Second {
			t.Fatal("not found recovered within 10 s")
		}
	}
	t.Logf("found recovered after %v", e.now-from)
	e.load(b, 20*time.Second, e.bounded(b), next)
	if b.Limit() < 8 {
		t.Fatalf("bound %d 20 s after the recovery", b.Limit())
	}
}

// The engine runs twelve and has others waiting inside, where no tier counts.
// Only its late report shows it; one request that it just met on its way in is
// no queue, and a report from before the last cut is of no more use.
func TestQueueInsideCuts(t *testing.T) {
	const s = time.Second
	for _, tc := range []struct {
		name    string
		reports []Report
		want    int
	}{
		{"a queue", []Report{{Running: 12, Waiting: 4}}, 12},
		{"one on its way", []Report{{Running: 12, Waiting: 1}}, 40},
		{"one that stays", []Report{{Running: 12, Waiting: 1}, {Running: 12, Waiting: 1}}, 12},
		{"from before the cut", []Report{{Running: 12, Waiting: 4}, {Running: 3, Waiting: 4, Age: 5 * s}}, 12},
		{"no queue", []Report{{Running: 12}, {Running: 12}}, 40},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := New(Config{Max: 64})
			b.find.set(0, 40)
			for i, r := range tc.reports {
				b.Report(time.Duration(i+1)*s, r)
			}
			if b.Limit() != tc.want {
				t.Fatalf("bound %d, want %d", b.Limit(), tc.want)
			}
		})
	}
}

// After a cut the answers of the requests that were too many still come, all
// late. They must not cut the bound again and again.
func TestLateAnswersCutOnce(t *testing.T) {
	b, now := New(Config{}), 10*time.Second
	late := Sample{First: 3 * time.Second, FirstTarget: time.Second, PromptTokens: 100, InFlight: 20}
	early := Sample{First: 100 * time.Millisecond, FirstTarget: time.Second, PromptTokens: 100, InFlight: 1}
	b.Observe(0, early)
	b.Observe(0, early)
	b.find.set(0, 40)
	for b.Limit() == 40 {
		b.Observe(now, late)
	}
	cut := b.Limit()
	for i := range 20 {
		b.Observe(now+time.Duration(i)*100*time.Millisecond, late)
	}
	if b.Limit() != cut {
		t.Fatalf("bound %d after %d", b.Limit(), cut)
	}
}

// A frozen engine gives no byte and ends no request, so nothing is sampled.
func TestSilenceIsSlow(t *testing.T) {
	e, b := middling(), New(Config{})
	e.load(b, 20*time.Second, e.bounded(b), drafts(400, 200))
	b.Silence(900 * time.Millisecond)
	if b.Slow() {
		t.Fatal("a short pause is taken for slow")
	}
	b.Silence(3 * time.Second)
	if !b.Slow() {
		t.Fatal("silence is not taken for slow")
	}
}

// Long drafts come before lookups. If they take every place, a lookup waits
// for a draft to end.
func TestLongLeavesPlaces(t *testing.T) {
	b := New(Config{Min: 8, Max: 8})
	for range 10 {
		b.Long(Work{Cost: time.Second})
	}
	long, short := Work{Tier: 1, Cost: 100 * time.Second}, Work{Tier: 1, Cost: time.Second}
	r := Running{}
	for b.Fit(0, r, long) == Yes {
		if !b.Long(long) {
			t.Fatal("a hundred times as long, yet not long")
		}
		r.Count++
		r.LongCount++
	}
	if r.Count != 6 || b.Fit(0, r, long) != LongFull || b.Fit(0, r, short) != Yes {
		t.Fatalf("%d long jobs, then %d for long and %d for short", r.Count, b.Fit(0, r, long), b.Fit(0, r, short))
	}
	low := long
	low.Tier = 3
	if b.Fit(0, Running{Count: 4, LongCount: 4}, low) != LongFull || b.Fit(0, Running{Count: 3, LongCount: 3}, low) != Yes {
		t.Fatal("long work of the lowest tier may not take half of the places, or more")
	}
	for now := range time.Minute / time.Second {
		b.Fit(now*time.Second, Running{Count: 3, LongCount: 3}, short)
	}
	if b.Fit(time.Minute, Running{Count: 6, LongCount: 6}, low) != Yes {
		t.Fatal("places stay empty that short work has not used for a minute")
	}
	b.Long(Work{Tier: 0, Cost: 50 * time.Second})
	long.Tier = 0
	if b.Fit(0, r, long) != Yes {
		t.Fatal("the highest tier waits for a place kept for lower work")
	}
}

// Tags of a low tier are short beside the work of a higher one. No place may be
// kept for them against it.
func TestNoPlacesAreKeptForLowerWork(t *testing.T) {
	b := New(Config{Min: 8, Max: 8})
	higher := Work{Tier: 1, Cost: 10 * time.Second}
	for range 20 {
		b.Long(Work{Tier: 2, Cost: 100 * time.Millisecond})
		if b.Long(higher) {
			t.Fatal("work is long beside work of a lower tier")
		}
	}
	if got := b.Fit(0, Running{Count: 7, LongCount: 7}, higher); got != Yes {
		t.Fatalf("Fit = %d", got)
	}
}

// Whatever is seen, the bound stays within its limits and an empty endpoint
// takes work.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Config{Min: 2, Max: 40})
		dur := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, name))
		}
		num := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"observe": func(*rapid.T) {
				now += dur("wait")
				b.Observe(now, Sample{First: dur("first"), Between: dur("between"), FirstTarget: dur("firstTarget"), BetweenTarget: dur("betweenTarget"), PromptTokens: num("prompt", 9999), InFlight: num("inFlight", 50)})
			},
			"report": func(*rapid.T) {
				b.Report(now, Report{Running: num("running", 50), Waiting: num("waiting", 3), KVUsed: int64(num("used", 2000)), KVTotal: int64(num("total", 2000)), Age: dur("age")})
			},
			"silence": func(*rapid.T) { b.Silence(dur("silence")) },
			"long":    func(*rapid.T) { b.Long(Work{Cost: dur("cost")}) },
			"": func(t *rapid.T) {
				if l := b.Limit(); l < 2 || l > 40 {
					t.Fatalf("bound %d", l)
				}
				if !b.Room(now, Running{}, Work{Tokens: 1 << 40, Cost: time.Hour}) {
					t.Fatal("an empty endpoint has no room")
				}
			},
		})
	})
}

func BenchmarkRoom(b *testing.B) {
	w := New(Config{})
	w.Report(0, Report{KVUsed: 10, KVTotal: 2000})
	b.ReportAllocs()
	for n := range b.N {
		now := time.Duration(n) * time.Millisecond
		w.Room(now, Running{Count: 3, Tokens: 3000}, Work{Tier: 1, Tokens: 900, Cost: time.Second})
		w.Observe(now, Sample{Between: 20 * time.Millisecond, BetweenTarget: betweenTarget, InFlight: 4})
	}
}
