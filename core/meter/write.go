package meter

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles of a Summary, in the order of its fields.
var quantiles = []float64{0.5, 0.95, 0.99}

// Summary holds the values of a histogram.
type Summary struct {
	Count int64   `json:"count"`
	Min   int64   `json:"min"`
	Max   int64   `json:"max"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Reading holds the value of every metric by its full name.
type Reading struct {
	Counters   map[string]int64   `json:"counters"`
	Gauges     map[string]int64   `json:"gauges"`
	Histograms map[string]Summary `json:"histograms"`
}

// Read returns the current value of every metric.
func (s *Set) Read() Reading {
	r := Reading{Counters: map[string]int64{}, Gauges: map[string]int64{}, Histograms: map[string]Summary{}}
	s.registry.Each(func(name string, v any) {
		switch m := v.(type) {
		case metrics.Counter:
			r.Counters[name] = m.Count()
		case metrics.Gauge:
			r.Gauges[name] = m.Value()
		case metrics.Histogram:
			r.Histograms[name] = summarize(m.Snapshot())
		}
	})
	return r
}

func summarize(h metrics.Histogram) Summary {
	q := h.Percentiles(quantiles)
	return Summary{Count: h.Count(), Min: h.Min(), Max: h.Max(), Mean: h.Mean(), P50: q[0], P95: q[1], P99: q[2]}
}

// ServeHTTP writes every metric, as JSON if the request has ?format=json or accepts
// application/json, otherwise as text.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) { serve(w, r, s.Read()) }

// PublicHandler returns a handler that omits the metrics of individual customers. It
// is for ports that don't require the operators' token, where any caller could
// otherwise read which customers send how many requests.
func (s *Set) PublicHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(w, r, s.Read().withoutCustomers()) })
}

// customerLabel is the beginning of the labels in the full name of a customer's
// metric.
var customerLabel = "{" + Customer("").Key + "="

// withoutCustomers removes the metrics of individual customers from r and returns it.
func (r Reading) withoutCustomers() Reading {
	hasCustomer := func(name string) bool { return strings.Contains(name, customerLabel) }
	maps.DeleteFunc(r.Counters, func(name string, _ int64) bool { return hasCustomer(name) })
	maps.DeleteFunc(r.Gauges, func(name string, _ int64) bool { return hasCustomer(name) })
	maps.DeleteFunc(r.Histograms, func(name string, _ Summary) bool { return hasCustomer(name) })
	return r
}

// serve writes a reading as JSON or text.
func serve(w http.ResponseWriter, r *http.Request, reading Reading) {
	if r.URL.Query().Get("format") == "json" || strings.Contains(r.Header.Get("Accept"), "application/json") {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(reading)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	reading.WriteText(w)
}

// WriteText writes one line for each value, sorted by name.
func (r Reading) WriteText(w io.Writer) {
	var lines []string
	for name, v := range r.Counters {
		lines = append(lines, fmt.Sprintf("%s %d", name, v))
	}
	for name, v := range r.Gauges {
		lines = append(lines, fmt.Sprintf("%s %d", name, v))
	}
	for name, h := range r.Histograms {
		lines = append(lines,
			fmt.Sprintf("%s %d", withSuffix(name, "_count"), h.Count),
			fmt.Sprintf("%s %g", withSuffix(name, "_mean"), h.Mean),
			fmt.Sprintf("%s %g", withSuffix(name, "_p50"), h.P50),
			fmt.Sprintf("%s %g", withSuffix(name, "_p95"), h.P95),
			fmt.Sprintf("%s %g", withSuffix(name, "_p99"), h.P99),
			fmt.Sprintf("%s %d", withSuffix(name, "_max"), h.Max))
	}
	slices.Sort(lines)
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
}

// withSuffix inserts a suffix between the name and its labels.
func withSuffix(name, suffix string) string {
	if i := strings.IndexByte(name, '{'); i >= 0 {
		return name[:i] + suffix + name[i:]
	}
	return name + suffix
}
