package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Every endpoint fails for an hour, and each request would be tried three
// times more. The endpoints must not get a multiple of the load.
func TestOutageIsNotMultiplied(t *testing.T) {
	b := New(Config{})
	first, all := 100000, 0
	for range first {
		b.Earn(1)
		all++
		for range 3 {
			if b.Spend() {
				all++
			}
		}
	}
	if all > first+first/10+DefaultBurst {
		t.Fatalf("%d tries for %d requests", all, first)
	}
}

func TestOneLostEndpointIsCovered(t *testing.T) {
	b := New(Config{})
	b.Earn(1000000)
	for i := range DefaultBurst {
		if !b.Spend() {
			t.Fatalf("retry %d refused", i)
		}
	}
	if b.Spend() {
		t.Fatal("more than the burst")
	}
}

// A retry that was taken and not used is there for the next one; what is saved
// stays bounded all the same.
func TestReturnedRetryIsThereAgain(t *testing.T) {
	b := New(Config{Burst: 1})
	if !b.Spend() || b.Spend() {
		t.Fatal("not one retry")
	}
	b.Return()
	if !b.Spend() {
		t.Error("the retry that was given back is lost")
	}
	b.Return()
	b.Return()
	if !b.Spend() || b.Spend() {
		t.Error("not one retry after two were given back")
	}
}

func TestBackoff(t *testing.T) {
	for _, tc := range []struct {
		attempt   int
		low, high time.Duration
	}{
		{-1, 5 * time.Millisecond, 10 * time.Millisecond},
		{0, 5 * time.Millisecond, 10 * time.Millisecond},
		{3, 40 * time.Millisecond, 80 * time.Millisecond},
		{8, time.Second, 2 * time.Second},
		{1000, time.Second, 2 * time.Second},
	} {
		for _, rnd := range []uint64{0, 1, 1 << 40, 1<<64 - 1} {
			if got := Backoff(tc.attempt, rnd); got < tc.low || got > tc.high {
				t.Errorf("attempt %d: %v, want %v to %v", tc.attempt, got, tc.low, tc.high)
			}
		}
	}
}

// However first tries and retries mix, no more is spent than was earned, also if
// some that were taken are given back.
func TestSpendsNoMoreThanEarned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Ratio: rapid.Float64Range(0.01, 1).Draw(t, "ratio"), Burst: rapid.IntRange(1, 50).Draw(t, "burst")}
		b, earned, spent := New(cfg), 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			switch {
			case rapid.Bool().Draw(t, "earn"):
				b.Earn(1)
				earned++
			case spent > 0 && rapid.Bool().Draw(t, "return"):
				b.Return()
				spent--
			case b.Spend():
				spent++
			}
		}
		if float64(spent) > float64(cfg.Burst)+float64(earned)*cfg.Ratio+1e-6 {
			t.Fatalf("%d spent of %d earned", spent, earned)
		}
	})
}
