package bound

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func mediumEngine() engine {
	return engine{tokenInterval: 20 * time.Millisecond, slope: 0.1, slots: 64, prefillRate: 8000, kvTokens: 64000, speed: 1}
}

// A new bound knows nothing about its engine, which may be of any of several
// generations. If the bound settles too low, goodput is lost; if it settles too
// high, answers are late.
func TestBoundMatchesEngine(t *testing.T) {
	for _, tc := range []struct {
		name           string
		e              engine
		estimateFactor float64
	}{
		{"medium", mediumEngine(), 1},
		{"fast", engine{tokenInterval: 8 * time.Millisecond, slope: 0.1, slots: 64, prefillRate: 20000, kvTokens: 128000, speed: 1}, 1},
		{"slow", engine{tokenInterval: 36 * time.Millisecond, slope: 0.06, slots: 32, prefillRate: 3000, kvTokens: 32000, speed: 1}, 1},
		{"few slots", engine{tokenInterval: 12 * time.Millisecond, slope: 0.05, slots: 16, prefillRate: 8000, kvTokens: 32000, speed: 1}, 1},
		{"little memory", engine{tokenInterval: 12 * time.Millisecond, slope: 0.02, slots: 64, prefillRate: 8000, kvTokens: 8000, speed: 1}, 1},
		{"estimates ten times too high", engine{tokenInterval: 12 * time.Millisecond, slope: 0.02, slots: 64, prefillRate: 8000, kvTokens: 8000, speed: 1}, 10},
		{"estimates ten times too low", engine{tokenInterval: 12 * time.Millisecond, slope: 0.02, slots: 64, prefillRate: 8000, kvTokens: 8000, speed: 1}, 0.1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			want, n := bestConstantBound(tc.e, time.Minute, 400, 200)
			e, b := tc.e, New(Config{})
			e.drive(b, 2*time.Minute, e.withinBound(b), jobsEstimatedAt(400, 200, tc.estimateFactor))
			got := e.onTimeTokens / e.now.Seconds()
			t.Logf("%.0f tokens/s within target at bound %d; best constant bound %d gives %.0f; wasted prefill %.2f%%", got, b.Limit(), n, want, 100*e.wastedShare())
			if got < 0.85*want {
				t.Errorf("%.0f tokens/s within target, the best constant bound gives %.0f", got, want)
			}
			if e.wastedShare() > 0.02 {
				t.Errorf("%.1f%% of the prefill was wasted", 100*e.wastedShare())
			}
		})
	}
}

// A nightly change makes an engine twice as fast, or reduces it to 0.6 of its
// speed. If the bound stayed as it was the day before, half of the goodput would
// be lost or answers would be late.
func TestBoundAdaptsToSpeedChange(t *testing.T) {
	for _, speed := range []float64{2, 0.6} {
		e, b := mediumEngine(), New(Config{})
		e.drive(b, time.Minute, e.withinBound(b), jobs(400, 200))
		e.speed = speed
		e.drive(b, 30*time.Second, e.withinBound(b), jobs(400, 200))
		e.onTimeTokens, e.totalTokens = 0, 0
		e.drive(b, time.Minute, e.withinBound(b), jobs(400, 200))
		changed := mediumEngine()
		changed.speed = speed
		want, n := bestConstantBound(changed, time.Minute, 400, 200)
		got := e.onTimeTokens / 60
		t.Logf("speed %g: %.0f tokens/s within target at bound %d, best %d gives %.0f", speed, got, b.Limit(), n, want)
		if got < 0.85*want {
			t.Errorf("speed %g: %.0f tokens/s within target 30 s after the change, best %.0f", speed, got, want)
		}
	}
}

// An engine drops to an eighth of its speed while it is streaming answers, and
// does not report it. Every new request is slow until the endpoint is marked
// slow. From then on at most one request may be in flight, and that must be
// enough to detect the recovery.
func TestSlowdownAndRecovery(t *testing.T) {
	e, b := mediumEngine(), New(Config{})
	next := jobs(400, 200)
	e.drive(b, time.Minute, e.withinBound(b), next)
	if b.Slow() {
		t.Fatal("marked slow at its usual pace")
	}
	e.speed = 0.125
	changedAt := e.now
	for !b.Slow() {
		e.drive(b, tick, e.withinBound(b), next)
		if e.now-changedAt > 3*time.Second {
			t.Fatal("not marked slow within 3 s")
		}
	}
	t.Logf("marked slow after %v", e.now-changedAt)
	e.drive(b, time.Minute, e.withinBound(b), next)
	if b.Limit() > 1 {
		t.Fatalf("bound %d of a slow endpoint", b.Limit())
	}
	e.speed, changedAt = 1, e.now
	for b.Slow() {
		e.drive(b, tick, e.withinBound(b), next)
		if e.now-changedAt > 10*time.Second {
			t.Fatal("recovery not detected within 10 s")
		}
	}
	t.Logf("recovery detected after %v", e.now-changedAt)
	e.drive(b, 20*time.Second, e.withinBound(b), next)
	if b.Limit() < 8 {
		t.Fatalf("bound %d 20 s after the recovery", b.Limit())
	}
}

// The engine runs twelve requests and has others waiting in its own queue,
// which ignores tiers. Only its delayed report shows this. A single request
// that has just arrived is not a queue, and reports from before the last cut
// must be ignored.
func TestEngineQueueCutsBound(t *testing.T) {
	const s = time.Second
	for _, tc := range []struct {
		name    string
		reports []Report
		want    int
	}{
		{"a queue", []Report{{Running: 12, Waiting: 4}}, 12},
		{"one request that just arrived", []Report{{Running: 12, Waiting: 1}}, 40},
		{"one request in two reports", []Report{{Running: 12, Waiting: 1}, {Running: 12, Waiting: 1}}, 12},
		{"report from before the cut", []Report{{Running: 12, Waiting: 4}, {Running: 3, Waiting: 4, Age: 5 * s}}, 12},
		{"no queue", []Report{{Running: 12}, {Running: 12}}, 40},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := New(Config{Max: 64})
			b.search.set(0, 40)
			for i, r := range tc.reports {
				b.ObserveReport(time.Duration(i+1)*s, r)
			}
			if b.Limit() != tc.want {
				t.Fatalf("bound %d, want %d", b.Limit(), tc.want)
			}
		})
	}
}

// After a cut, the answers to requests that were dispatched before it still
// arrive, all of them late. They must not cut the bound again.
func TestLateAnswersCutOnce(t *testing.T) {
	b, now := New(Config{}), 10*time.Second
	late := Sample{FirstToken: 3 * time.Second, FirstTokenTarget: time.Second, PromptTokens: 100, InFlight: 20}
	onTime := Sample{FirstToken: 100 * time.Millisecond, FirstTokenTarget: time.Second, PromptTokens: 100, InFlight: 1}
	b.Observe(0, onTime)
	b.Observe(0, onTime)
	b.search.set(0, 40)
	for b.Limit() == 40 {
		b.Observe(now, late)
	}
	cut := b.Limit()
	for i := range 20 {
		b.Observe(now+time.Duration(i)*100*time.Millisecond, late)
	}
	if b.Limit() != cut {
		t.Fatalf("bound %d after a cut to %d", b.Limit(), cut)
	}
}

// A frozen engine sends no byte and ends no request, so there are no samples.
// The silence alone must mark it slow.
func TestSilenceMarksSlow(t *testing.T) {
	e, b := mediumEngine(), New(Config{})
	e.drive(b, 20*time.Second, e.withinBound(b), jobs(400, 200))
	b.ObserveSilence(900 * time.Millisecond)
	if b.Slow() {
		t.Fatal("marked slow after a short pause")
	}
	b.ObserveSilence(3 * time.Second)
	if !b.Slow() {
		t.Fatal("not marked slow after a long silence")
	}
}

// Long drafts arrive before short lookups. If the drafts took every slot, a
// lookup would wait for one of them to end.
func TestLongWorkLeavesSlots(t *testing.T) {
	b := New(Config{Min: 8, Max: 8})
	for range 10 {
		b.RecordDispatch(Work{Cost: time.Second})
	}
	long, short := Work{Tier: 1, Cost: 100 * time.Second}, Work{Tier: 1, Cost: time.Second}
	inFlight := InFlight{}
	for b.CheckFit(0, inFlight, long) == Fits {
		if !b.RecordDispatch(long) {
			t.Fatal("work with a hundred times the usual cost is not classified as long")
		}
		inFlight.Count++
		inFlight.LongCount++
	}
	if inFlight.Count != 6 || b.CheckFit(0, inFlight, long) != NoLongSlot || b.CheckFit(0, inFlight, short) != Fits {
		t.Fatalf("%d long requests in flight, then Fit %d for long and %d for short work", inFlight.Count, b.CheckFit(0, inFlight, long), b.CheckFit(0, inFlight, short))
	}
	longLowTier := long
	longLowTier.Tier = 3
	if b.CheckFit(0, InFlight{Count: 4, LongCount: 4}, longLowTier) != NoLongSlot || b.CheckFit(0, InFlight{Count: 3, LongCount: 3}, longLowTier) != Fits {
		t.Fatal("long work of the lowest tier does not get exactly half of the slots")
	}
	for now := range time.Minute / time.Second {
		b.CheckFit(now*time.Second, InFlight{Count: 3, LongCount: 3}, short)
	}
	if b.CheckFit(time.Minute, InFlight{Count: 6, LongCount: 6}, longLowTier) != Fits {
		t.Fatal("slots that short work has not used for a minute stay reserved")
	}
	b.RecordDispatch(Work{Tier: 0, Cost: 50 * time.Second})
	long.Tier = 0
	if b.CheckFit(0, inFlight, long) != Fits {
		t.Fatal("the highest tier waits for a slot reserved for lower tiers")
	}
}

// Short work of a low tier makes the work of a higher tier look long. No slots
// may be reserved for the low tier against the higher one.
func TestNoSlotsAreReservedForLowerTiers(t *testing.T) {
	b := New(Config{Min: 8, Max: 8})
	higher := Work{Tier: 1, Cost: 10 * time.Second}
	for range 20 {
		b.RecordDispatch(Work{Tier: 2, Cost: 100 * time.Millisecond})
		if b.RecordDispatch(higher) {
			t.Fatal("classified as long because of work of a lower tier")
		}
	}
	if got := b.CheckFit(0, InFlight{Count: 7, LongCount: 7}, higher); got != Fits {
		t.Fatalf("Fit = %d", got)
	}
}

// For any observations, the bound stays within its limits and an endpoint
// without requests accepts any work.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Config{Min: 2, Max: 40})
		dur := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, name))
		}
		num := func(name string, maxValue int) int { return rapid.IntRange(0, maxValue).Draw(t, name) }
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"observe": func(*rapid.T) {
				now += dur("wait")
				b.Observe(now, Sample{FirstToken: dur("first"), BetweenTokens: dur("between"), FirstTokenTarget: dur("firstTarget"), BetweenTokensTarget: dur("betweenTarget"), PromptTokens: num("prompt", 9999), InFlight: num("inFlight", 50)})
			},
			"report": func(*rapid.T) {
				b.ObserveReport(now, Report{Running: num("running", 50), Waiting: num("waiting", 3), KVUsed: int64(num("used", 2000)), KVTotal: int64(num("total", 2000)), Age: dur("age")})
			},
			"silence":  func(*rapid.T) { b.ObserveSilence(dur("silence")) },
			"dispatch": func(*rapid.T) { b.RecordDispatch(Work{Cost: dur("cost")}) },
			"": func(t *rapid.T) {
				if l := b.Limit(); l < 2 || l > 40 {
					t.Fatalf("bound %d", l)
				}
				if !b.CanDispatch(now, InFlight{}, Work{Tokens: 1 << 40, Cost: time.Hour}) {
					t.Fatal("an empty endpoint accepts no work")
				}
			},
		})
	})
}

func BenchmarkCanDispatch(b *testing.B) {
	bound := New(Config{})
	bound.ObserveReport(0, Report{KVUsed: 10, KVTotal: 2000})
	b.ReportAllocs()
	for n := range b.N {
		now := time.Duration(n) * time.Millisecond
		bound.CanDispatch(now, InFlight{Count: 3, Tokens: 3000}, Work{Tier: 1, Tokens: 900, Cost: time.Second})
		bound.Observe(now, Sample{BetweenTokens: 20 * time.Millisecond, BetweenTokensTarget: betweenTarget, InFlight: 4})
	}
}
