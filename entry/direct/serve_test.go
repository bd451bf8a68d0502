package direct

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/meter"
	"lycheepond/core/route"
)

// One customer is refused again and again while the others are served. Counted
// together, nobody would see who it is.
func TestMetricsTellCustomersApart(t *testing.T) {
	set := meter.New()
	d := New(Config{Metrics: set, Log: zap.NewNop()})
	note := func(customer string, res Result) {
		d.note(&Job{ID: "i", Route: &route.Route{Name: "drafts", Timeout: time.Second}, Customer: &route.Customer{Name: customer}, Accepted: time.Now()}, res)
	}
	for range 3 {
		note("hot", Result{Outcome: Limited, Retry: 250 * time.Millisecond})
	}
	note("calm", Result{Outcome: Complete, Basis: Basis{Known: 1, First: 40 * time.Millisecond}})
	read := set.Read()
	for name, want := range map[string]int64{
		`customer_retry_ms{customer="hot"}`: 3, `customer_answer_ms{customer="calm"}`: 1, `first_ms{class="drafts"}`: 1, `answer_ms{class="drafts"}`: 4,
	} {
		if got := read.Histograms[name].Count; got != want {
			t.Errorf("%s counts %d, want %d", name, got, want)
		}
	}
	if got := read.Histograms[`customer_retry_ms{customer="hot"}`].Max; got != 250 {
		t.Errorf("the longest time told was %d ms, want 250", got)
	}
}
