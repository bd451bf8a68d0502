// Package meter keeps a process's metrics: counters, gauges and histograms per
// class and per customer, and writes them as text and JSON.
//
// A fleet has 21,000 customers, and a histogram for each would not fit the
// memory of a small instance. The busiest customers have their own, all others
// share one that is named "other".
package meter

import (
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Sizes of the samples behind histograms. The reservoir favours the last five
// minutes or so.
const (
	classSample    = 1028
	customerSample = 256
	sampleAlpha    = 0.015
)

// Label names a dimension of a metric.
type Label struct {
	Key, Value string
}

// Labels that several metrics share.

// Class labels a metric with a class.
func Class(name string) Label { return Label{"class", name} }

// Customer labels a metric with a customer.
func Customer(name string) Label { return Label{"customer", name} }

// Tier labels a metric with a tier.
func Tier(t uint8) Label { return Label{"tier", string('0' + rune(t))} }

// Outcome labels a metric with a request's outcome.
func Outcome(name string) Label { return Label{"outcome", name} }

// Set is the metrics of one process. It is safe for concurrent use; to look a
// metric up costs more than to update it, so keep what is returned.
type Set struct{ registry metrics.Registry }

// New returns an empty set.
func New() *Set { return &Set{registry: metrics.NewRegistry()} }

// Counter returns the counter of a name and labels, made at the first use.
func (s *Set) Counter(name string, labels ...Label) metrics.Counter {
	return s.registry.GetOrRegister(full(name, labels), metrics.NewCounter).(metrics.Counter)
}

// Gauge returns the gauge of a name and labels, made at the first use.
func (s *Set) Gauge(name string, labels ...Label) metrics.Gauge {
	return s.registry.GetOrRegister(full(name, labels), metrics.NewGauge).(metrics.Gauge)
}

// GaugeFunc makes f the reading of a gauge; f is called when metrics are read.
func (s *Set) GaugeFunc(name string, f func() int64, labels ...Label) {
	s.registry.GetOrRegister(full(name, labels), metrics.NewFunctionalGauge(f))
}

// Histogram returns the histogram of a name and labels, made at the first use.
func (s *Set) Histogram(name string, labels ...Label) metrics.Histogram {
	return s.registry.GetOrRegister(full(name, labels), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(classSample, sampleAlpha))
	}).(metrics.Histogram)
}

// Milliseconds updates a histogram with a duration.
func Milliseconds(h metrics.Histogram, d time.Duration) { h.Update(d.Milliseconds()) }

// full returns name{key="value",...}.
func full(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i, l := range labels {
		b.WriteByte("{,"[min(i, 1)])
		b.WriteString(l.Key + `="` + escape.Replace(l.Value) + `"`)
	}
	b.WriteByte('}')
	return b.String()
}

var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
