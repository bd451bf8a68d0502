package direct

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/meter"
	"lycheepond/core/route"
	"lycheepond/entry/hop"
)

// One customer is refused again and again while the others are served. If the metrics counted
// all customers together, they would not show which one it is.
func TestMetricsPerCustomer(t *testing.T) {
	set := meter.New()
	d := New(Config{Client: hop.New(), Metrics: set, Log: zap.NewNop()})
	logResult := func(customer string, res Result) {
		d.logResult(&Job{ID: "i", Route: &route.Route{Name: "drafts", Timeout: time.Second}, Customer: &route.Customer{Name: customer}, AcceptedAt: time.Now()}, res)
	}
	for range 3 {
		logResult("hot", Result{Outcome: Limited, RetryAfter: 250 * time.Millisecond})
	}
	logResult("calm", Result{Outcome: Complete, Placement: Placement{KnownEntries: 1, TimeToFirst: 40 * time.Millisecond}})
	read := set.Read()
	for name, want := range map[string]int64{
		`customer_retry_ms{customer="hot"}`: 3, `customer_answer_ms{customer="calm"}`: 1, `first_ms{class="drafts"}`: 1, `answer_ms{class="drafts"}`: 4,
	} {
		if got := read.Histograms[name].Count; got != want {
			t.Errorf("%s counts %d, want %d", name, got, want)
		}
	}
	if got := read.Histograms[`customer_retry_ms{customer="hot"}`].Max; got != 250 {
		t.Errorf("the longest retry delay was %d ms, want 250", got)
	}
}
