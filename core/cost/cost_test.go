package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// engineTime returns the time that a simulated engine needs for a request.
func engineTime(prompt, out int) time.Duration {
	return time.Duration(prompt)*125*time.Microsecond + time.Duration(out)*20*time.Millisecond
}

// errorFactor returns the factor by which got differs from want. It is one if
// they are equal.
func errorFactor(got, want float64) float64 { return math.Exp(math.Abs(math.Log(got / want))) }

// Without any history the estimates must be the documented initial values.
func TestColdStart(t *testing.T) {
	m := New(Config{})
	for _, tc := range []struct {
		bytes, limit int
		want         Estimate
	}{
		{4000, 100, Estimate{PromptTokens: 1000, OutputTokens: 50}},
		{4000, 0, Estimate{PromptTokens: 1000, OutputTokens: 256}},
		{0, 10, Estimate{OutputTokens: 5}},
		{0, 0, Estimate{Work: 20 * time.Millisecond}},
	} {
		got := m.Estimate("c", "a", tc.bytes, tc.limit)
		if got.PromptTokens != tc.want.PromptTokens || got.OutputTokens != tc.want.OutputTokens || got.Work <= 0 {
			t.Errorf("%d bytes, limit %d: %+v", tc.bytes, tc.limit, got)
		}
	}
}

// One request in twenty is a hundred times as long, and only the caller's limit
// shows which one. If all of them were estimated at the mean, long requests
// would delay the short ones everywhere.
func TestLimitSeparatesLongFromShort(t *testing.T) {
	m, rnd := New(Config{}), rand.New(rand.NewPCG(1, 1))
	for n := range 300 {
		limit := 20
		if n%20 == 0 {
			limit = 2000
		}
		out := limit * (6 + rnd.IntN(4)) / 10
		m.Learn("drafts", "a", 2400, Usage{PromptTokens: 600, OutputTokens: out, MaxTokens: limit, Work: engineTime(600, out)})
	}
	short, long := m.Estimate("drafts", "a", 2400, 20), m.Estimate("drafts", "a", 2400, 2000)
	t.Logf("short %+v long %+v", short, long)
	if errorFactor(short.Work.Seconds(), engineTime(600, 15).Seconds()) > 1.5 || errorFactor(long.Work.Seconds(), engineTime(600, 1500).Seconds()) > 1.5 {
		t.Error("estimates are wrong by more than half")
	}
}

// Customers of one class send requests of very different lengths. Each must get
// estimates from its own history, and a new customer a value in between.
func TestCustomersDiffer(t *testing.T) {
	m := New(Config{})
	for range 60 {
		m.Learn("c", "tags", 400, Usage{PromptTokens: 100, OutputTokens: 10, Work: engineTime(100, 10)})
		m.Learn("c", "briefs", 400, Usage{PromptTokens: 100, OutputTokens: 800, Work: engineTime(100, 800)})
	}
	for customer, want := range map[string]float64{"tags": 10, "briefs": 800} {
		if got := m.Estimate("c", customer, 400, 0).OutputTokens; errorFactor(float64(got), want) > 1.5 {
			t.Errorf("%s: %d tokens, want %v", customer, got, want)
		}
	}
	if got := m.Estimate("c", "new", 400, 0).OutputTokens; got < 20 || got > 500 {
		t.Errorf("a new customer is estimated at %d tokens", got)
	}
}

// The nightly change makes the engines five times as fast. The estimates must
// follow within a hundred answers.
func TestEstimatesFollowEngineSpeed(t *testing.T) {
	m, rnd := New(Config{}), rand.New(rand.NewPCG(1, 1))
	learn := func(n, speed int) {
		for range n {
			prompt, out := 200+rnd.IntN(1000), 20+rnd.IntN(200)
			m.Learn("c", "a", 4*prompt, Usage{PromptTokens: prompt, OutputTokens: out, MaxTokens: out, Work: engineTime(prompt, out) / time.Duration(speed)})
		}
	}
	learn(200, 1)
	learn(100, 5)
	got, want := m.Estimate("c", "a", 2400, 100).Work, engineTime(600, 100)/5
	t.Logf("estimate %v, engine %v", got, want)
	if errorFactor(got.Seconds(), want.Seconds()) > 1.3 {
		t.Errorf("estimate %v, engine takes %v", got, want)
	}
}

// One answer is ten thousand times as long as the others, or its reported usage
// is wrong. The next estimate may change by at most a factor of two.
func TestOutlier(t *testing.T) {
	m := New(Config{})
	for range 50 {
		m.Learn("c", "a", 400, Usage{PromptTokens: 100, OutputTokens: 10, Work: engineTime(100, 10)})
	}
	before := m.Estimate("c", "a", 400, 0)
	m.Learn("c", "a", 400, Usage{PromptTokens: 100, OutputTokens: 100000, Work: engineTime(100, 100000)})
	after := m.Estimate("c", "a", 400, 0)
	if f := after.Work.Seconds() / before.Work.Seconds(); f > 2 {
		t.Fatalf("one answer changed the estimate by a factor of %.1f", f)
	}
}

// The estimate for calls without tokens must follow their actual time.
func TestPlainService(t *testing.T) {
	m := New(Config{})
	for range 100 {
		m.Learn("c", "a", 0, Usage{Work: 300 * time.Millisecond})
	}
	if got := m.Estimate("c", "a", 0, 0).Work; errorFactor(got.Seconds(), 0.3) > 1.2 {
		t.Errorf("estimate %v of 300ms", got)
	}
}

// Customers come and go by the ten thousands. Memory must not grow with their
// number.
func TestMemoryIsBounded(t *testing.T) {
	m := New(Config{MaxCustomers: 100})
	for n := range 1000 {
		m.Learn("c", fmt.Sprint(n), 400, Usage{PromptTokens: 100, OutputTokens: n + 1, Work: time.Second})
		m.Estimate("c", "kept", 400, 0)
	}
	if got := m.customers.Len(); got != 100 {
		t.Fatalf("%d customers remembered", got)
	}
	if m.customers.Find(key{"c", "kept"}) == nil {
		t.Error("a customer in use was forgotten")
	}
}

// For any usage that engines report, estimates stay positive and within the
// caller's limit, and one answer changes them by a bounded factor.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(Config{MaxCustomers: 4})
		num := func(name string) int { return rapid.IntRange(0, 1<<20).Draw(t, name) }
		for range rapid.IntRange(1, 50).Draw(t, "answers") {
			customer := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "customer"))
			before := m.Estimate("c", customer, 4000, 100)
			m.Learn("c", customer, num("bytes"), Usage{PromptTokens: num("prompt"), CachedTokens: num("cached"), OutputTokens: num("output"), MaxTokens: num("max"), Work: time.Duration(num("ms")) * time.Millisecond})
			after := m.Estimate("c", customer, 4000, 100)
			if after.Work <= 0 || after.OutputTokens < 1 || after.OutputTokens > 100 || after.PromptTokens < 1 {
				t.Fatalf("estimate %+v", after)
			}
			if f := after.Work.Seconds() / before.Work.Seconds(); f > 64 || f < 1.0/64 {
				t.Fatalf("one answer changed the estimate by a factor of %g", f)
			}
		}
	})
}

func BenchmarkEstimateLearn(b *testing.B) {
	const customers = 21000
	names := make([]string, customers)
	m := New(Config{})
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
		m.Estimate("c", names[i], 400, 0)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		name := names[n*7919%customers]
		m.Estimate("c", name, 4000, 200)
		m.Learn("c", name, 4000, Usage{PromptTokens: 1000, OutputTokens: 100, MaxTokens: 200, Work: 2 * time.Second})
	}
}
