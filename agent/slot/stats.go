package slot

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"lycheepond/agent/call"
	"lycheepond/core/wire"
)

// Figures of the histograms: a sample of this size, weighted to the last
// minutes, is the library's own recommendation.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
	// maxClasses bounds the histograms; classes beyond it share one.
	maxClasses = 32
	otherClass = "other"
)

// Stats are the owner's metrics.
type Stats struct {
	registry    metrics.Registry
	strayGrants metrics.Counter
	complete    metrics.Counter
	broken      metrics.Counter
	cached      metrics.Counter
	prompt      metrics.Counter
	output      metrics.Counter

	mu      sync.Mutex
	classes map[string]bool
}

// NewStats returns metrics in a registry of their own.
func NewStats() *Stats {
	r := metrics.NewRegistry()
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return &Stats{
		registry: r, strayGrants: counter("grants.stray"), complete: counter("runs.complete"), broken: counter("runs.broken"),
		prompt: counter("tokens.prompt"), cached: counter("tokens.cached"), output: counter("tokens.output"),
		classes: make(map[string]bool),
	}
}

// Registry returns the metrics for the admin listener.
func (s *Stats) Registry() metrics.Registry { return s.registry }

func (s *Stats) returned(reason wire.Reason) {
	metrics.GetOrRegisterCounter("returned."+reason.String(), s.registry).Inc(1)
}

func (s *Stats) ended(o *wire.Offer, res call.Result, took time.Duration) {
	if res.Whole {
		s.complete.Inc(1)
	} else {
		s.broken.Inc(1)
	}
	s.prompt.Inc(int64(res.Usage.PromptTokens))
	s.cached.Inc(int64(res.Usage.CachedTokens))
	s.output.Inc(int64(res.Usage.OutputTokens))
	if o == nil {
		return
	}
	class := s.class(o.Class)
	s.histogram("first_ms." + class).Update(int64(res.Usage.FirstMS))
	s.histogram("run_ms." + class).Update(took.Milliseconds())
}

func (s *Stats) histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, s.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

func (s *Stats) class(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.classes[name] {
		return name
	}
	if len(s.classes) >= maxClasses {
		return otherClass
	}
	s.classes[name] = true
	return name
}
