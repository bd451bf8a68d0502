package slot

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"lycheepond/agent/call"
	"lycheepond/core/meter"
	"lycheepond/core/wire"
)

// maxClasses bounds the number of classes that have separate histograms.
const maxClasses = 32

// Stats holds the owner's metrics. Only the owner's goroutine updates them.
type Stats struct {
	set           *meter.Set
	strayGrants   metrics.Counter
	completeRuns  metrics.Counter
	brokenRuns    metrics.Counter
	promptTokens  metrics.Counter
	cachedTokens  metrics.Counter
	outputTokens  metrics.Counter
	customerRunMS *meter.CustomerHistograms
	returns       map[wire.Reason]metrics.Counter
	classes       map[string]classStats
}

type classStats struct{ queuedMS, firstByteMS, totalMS metrics.Histogram }

// NewStats returns metrics that are registered in set.
func NewStats(set *meter.Set) *Stats {
	return &Stats{
		set: set, strayGrants: set.Counter("agent_grants_refused"),
		completeRuns: set.Counter("agent_runs", meter.Outcome("complete")), brokenRuns: set.Counter("agent_runs", meter.Outcome("broken")),
		promptTokens: set.Counter("agent_prompt_tokens"), cachedTokens: set.Counter("agent_cached_tokens"), outputTokens: set.Counter("agent_output_tokens"),
		customerRunMS: set.CustomerHistograms("agent_run_ms"), returns: make(map[wire.Reason]metrics.Counter), classes: make(map[string]classStats),
	}
}

func (s *Stats) countReturn(reason wire.Reason) {
	c, ok := s.returns[reason]
	if !ok {
		c = s.set.Counter("agent_returned", meter.Label{Key: "reason", Value: reason.String()})
		s.returns[reason] = c
	}
	c.Inc(1)
}

// recordStart records how long a request waited here.
func (s *Stats) recordStart(o *wire.Offer, waited time.Duration) {
	if o != nil {
		meter.UpdateMS(s.statsOf(o.Class).queuedMS, waited)
	}
}

func (s *Stats) recordEnd(o *wire.Offer, res call.Result, runTime time.Duration) {
	if res.Complete {
		s.completeRuns.Inc(1)
	} else {
		s.brokenRuns.Inc(1)
	}
	s.promptTokens.Inc(int64(res.Usage.PromptTokens))
	s.cachedTokens.Inc(int64(res.Usage.CachedTokens))
	s.outputTokens.Inc(int64(res.Usage.OutputTokens))
	if o == nil {
		return
	}
	c := s.statsOf(o.Class)
	c.firstByteMS.Update(int64(res.Usage.FirstByteMS))
	meter.UpdateMS(c.totalMS, runTime)
	s.customerRunMS.Observe(o.Customer, runTime.Milliseconds())
}

// statsOf returns the metrics of a class, or those of meter.Other for a new class
// beyond maxClasses.
func (s *Stats) statsOf(name string) classStats {
	if c, ok := s.classes[name]; ok {
		return c
	}
	if len(s.classes) >= maxClasses {
		name = meter.Other
		if c, ok := s.classes[name]; ok {
			return c
		}
	}
	c := classStats{
		queuedMS:    s.set.Histogram("agent_queued_ms", meter.Class(name)),
		firstByteMS: s.set.Histogram("agent_first_ms", meter.Class(name)),
		totalMS:     s.set.Histogram("agent_total_ms", meter.Class(name)),
	}
	s.classes[name] = c
	return c
}
