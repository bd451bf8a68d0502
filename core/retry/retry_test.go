package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// All endpoints fail for an hour, and each request would be retried three
// times. The endpoints must not get a multiple of the load.
func TestRetriesDoNotMultiplyLoad(t *testing.T) {
	b := New(Config{})
	requests, attempts := 100000, 0
	for range requests {
		b.Credit(1)
		attempts++
		for range 3 {
			if b.Spend() {
				attempts++
			}
		}
	}
	if attempts > requests+requests/10+DefaultBurst {
		t.Fatalf("%d attempts for %d requests", attempts, requests)
	}
}

// After normal operation the budget must cover the requests in flight of one
// lost endpoint, and no more.
func TestBurstCoversOneLostEndpoint(t *testing.T) {
	b := New(Config{})
	b.Credit(1000000)
	for i := range DefaultBurst {
		if !b.Spend() {
			t.Fatalf("retry %d refused", i)
		}
	}
	if b.Spend() {
		t.Fatal("more retries than the burst")
	}
}

// A retry that was taken and not used must be available again, without
// exceeding the burst.
func TestRefundedRetryIsAvailable(t *testing.T) {
	b := New(Config{Burst: 1})
	if !b.Spend() || b.Spend() {
		t.Fatal("not exactly one retry available")
	}
	b.Refund()
	if !b.Spend() {
		t.Error("the refunded retry is lost")
	}
	b.Refund()
	b.Refund()
	if !b.Spend() || b.Spend() {
		t.Error("not exactly one retry available after two refunds")
	}
}

// The wait must stay within half and all of the limit for any attempt number,
// including negative and very large ones.
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

// For any sequence of calls, the retries spent and not refunded do not exceed
// the burst plus what first attempts have credited.
func TestSpendsNoMoreThanCredited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Ratio: rapid.Float64Range(0.01, 1).Draw(t, "ratio"), Burst: rapid.IntRange(1, 50).Draw(t, "burst")}
		b, credited, spent := New(cfg), 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			switch {
			case rapid.Bool().Draw(t, "credit"):
				b.Credit(1)
				credited++
			case spent > 0 && rapid.Bool().Draw(t, "refund"):
				b.Refund()
				spent--
			case b.Spend():
				spent++
			}
		}
		if float64(spent) > float64(cfg.Burst)+float64(credited)*cfg.Ratio+1e-6 {
			t.Fatalf("%d spent after %d credits", spent, credited)
		}
	})
}
