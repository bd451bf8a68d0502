// Package meter keeps a process's metrics and writes them as text and JSON. The
// metrics are counters, gauges and histograms, which may have labels such as class
// and customer.
//
// A fleet has 21,000 customers, and a histogram for each would not fit into the
// memory of a small instance. The busiest customers have their own histograms; all
// others share one that is named "other".
package meter

import (
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Parameters of the reservoir samples behind histograms. The reservoirs favour about
// the last five minutes.
const (
	classSampleSize    = 1028
	customerSampleSize = 256
	sampleAlpha        = 0.015
)

// Label is one label of a metric.
type Label struct {
	Key, Value string
}

// Class labels a metric with a class.
func Class(name string) Label { return Label{"class", name} }

// Customer labels a metric with a customer.
func Customer(name string) Label { return Label{"customer", name} }

// Tier labels a metric with a tier.
func Tier(t uint8) Label { return Label{"tier", string('0' + rune(t))} }

// Outcome labels a metric with a request's outcome.
func Outcome(name string) Label { return Label{"outcome", name} }

// Set holds the metrics of one process. It is safe for concurrent use. Looking up a
// metric costs more than updating it, so callers should keep the result.
type Set struct{ registry metrics.Registry }

// New returns an empty set.
func New() *Set { return &Set{registry: metrics.NewRegistry()} }

// Counter returns the counter with a name and labels. The first call creates it.
func (s *Set) Counter(name string, labels ...Label) metrics.Counter {
	return s.registry.GetOrRegister(fullName(name, labels), metrics.NewCounter).(metrics.Counter)
}

// Gauge returns the gauge with a name and labels. The first call creates it.
func (s *Set) Gauge(name string, labels ...Label) metrics.Gauge {
	return s.registry.GetOrRegister(fullName(name, labels), metrics.NewGauge).(metrics.Gauge)
}

// GaugeFunc registers a gauge whose value is the result of f, which is called
// whenever the metrics are read.
func (s *Set) GaugeFunc(name string, f func() int64, labels ...Label) {
	s.registry.GetOrRegister(fullName(name, labels), metrics.NewFunctionalGauge(f))
}

// Histogram returns the histogram with a name and labels. The first call creates it.
func (s *Set) Histogram(name string, labels ...Label) metrics.Histogram {
	return s.registry.GetOrRegister(fullName(name, labels), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(classSampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

// UpdateMS updates a histogram with a duration in milliseconds.
func UpdateMS(h metrics.Histogram, d time.Duration) { h.Update(d.Milliseconds()) }

// fullName returns name{key="value",...}.
func fullName(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i, l := range labels {
		b.WriteByte("{,"[min(i, 1)])
		b.WriteString(l.Key + `="` + escaper.Replace(l.Value) + `"`)
	}
	b.WriteByte('}')
	return b.String()
}

// escaper escapes the value of a label.
var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
