package meter

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
)

// Counters, gauges and histograms must be written as text and, on request, as JSON.
func TestServeHTTP(t *testing.T) {
	s := New()
	s.Counter("requests", Outcome("complete"), Tier(0)).Inc(3)
	s.Gauge("level").Update(2)
	s.GaugeFunc("links", func() int64 { return 7 })
	s.Histogram("first_token_ms", Class("swap")).Update(40)
	s.CustomerHistograms("latency_ms").Observe("metro \"league\"", 5)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`requests{outcome="complete",tier="0"} 3`, `level 2`, `links 7`,
		`first_token_ms_p99{class="swap"} 40`, `latency_ms_count{customer="metro \"league\""} 1`,
	} {
		if !strings.Contains(w.Body.String(), line+"\n") {
			t.Errorf("no line %s in\n%s", line, w.Body)
		}
	}
	w = httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", "/metrics?format=json", nil))
	var r Reading
	if err := json.Unmarshal(w.Body.Bytes(), &r); err != nil || r.Histograms[`first_token_ms{class="swap"}`].Max != 40 {
		t.Errorf("%v: %s", err, w.Body)
	}
}

// 21,000 customers send requests, most of them rarely. The busy ones must get their
// own histograms, also if they start late, and the memory must not grow with the
// number of customers.
func TestOwnHistogramsAreBounded(t *testing.T) {
	s := New()
	top := s.CustomerHistograms("latency_ms")
	for i := range 21000 {
		top.Observe(fmt.Sprint("seldom-", i), 1)
	}
	for range 200 {
		for i := range 10 {
			top.Observe(fmt.Sprint("busy-", i), 1)
		}
	}
	busyOwn := 0
	for name := range s.Read().Histograms {
		if strings.Contains(name, "busy-") {
			busyOwn++
		}
	}
	if busyOwn != 10 {
		t.Errorf("%d of 10 busy customers have a histogram", busyOwn)
	}
	if n := len(s.Read().Histograms); n > MaxOwnHistograms+1 {
		t.Errorf("%d histograms", n)
	}
	if n := len(top.candidateCounts); n > maxCandidates {
		t.Errorf("%d candidates", n)
	}
}

func BenchmarkObserve(b *testing.B) {
	top := New().CustomerHistograms("latency_ms")
	names := make([]string, 21000)
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		top.Observe(names[i%len(names)], int64(i))
	}
}

// The callers' port does not require the operators' token. A caller who reads the
// metrics there must not learn the names of other customers.
func TestPublicHandlerOmitsCustomers(t *testing.T) {
	s := New()
	s.Histogram("latency_ms", Customer("metro")).Update(4)
	s.Histogram("latency_ms", Class("swap")).Update(4)
	for _, target := range []string{"/metrics", "/metrics?format=json"} {
		w := httptest.NewRecorder()
		s.PublicHandler().ServeHTTP(w, httptest.NewRequest("GET", target, nil))
		body := w.Body.String()
		if strings.Contains(body, "metro") || !strings.Contains(body, "swap") {
			t.Errorf("%s: %s", target, body)
		}
	}
}
