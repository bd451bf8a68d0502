package slot

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"lycheepond/agent/call"
	"lycheepond/core/meter"
	"lycheepond/core/wire"
)

// maxClasses bounds the classes with histograms of their own.
const maxClasses = 32

// Stats are the owner's metrics. Only the owner's goroutine updates them.
type Stats struct {
	set         *meter.Set
	strayGrants metrics.Counter
	complete    metrics.Counter
	broken      metrics.Counter
	prompt      metrics.Counter
	cached      metrics.Counter
	output      metrics.Counter
	customers   *meter.Top
	returns     map[wire.Reason]metrics.Counter
	classes     map[string]classStats
}

type classStats struct{ queued, first, total metrics.Histogram }

// NewStats returns metrics that are kept in set.
func NewStats(set *meter.Set) *Stats {
	return &Stats{
		set: set, strayGrants: set.Counter("agent_grants_refused"),
		complete: set.Counter("agent_runs", meter.Outcome("complete")), broken: set.Counter("agent_runs", meter.Outcome("broken")),
		prompt: set.Counter("agent_prompt_tokens"), cached: set.Counter("agent_cached_tokens"), output: set.Counter("agent_output_tokens"),
		customers: set.Top("agent_run_ms"), returns: make(map[wire.Reason]metrics.Counter), classes: make(map[string]classStats),
	}
}

func (s *Stats) returned(reason wire.Reason) {
	c, ok := s.returns[reason]
	if !ok {
		c = s.set.Counter("agent_returned", meter.Label{Key: "reason", Value: reason.String()})
		s.returns[reason] = c
	}
	c.Inc(1)
}

// started notes how long a request has waited here.
func (s *Stats) started(o *wire.Offer, waited time.Duration) {
	if o != nil {
		meter.Milliseconds(s.class(o.Class).queued, waited)
	}
}

func (s *Stats) ended(o *wire.Offer, res call.Result, took time.Duration) {
	if res.Complete {
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
	c := s.class(o.Class)
	c.first.Update(int64(res.Usage.FirstMS))
	meter.Milliseconds(c.total, took)
	s.customers.Observe(o.Customer, took.Milliseconds())
}

func (s *Stats) class(name string) classStats {
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
		queued: s.set.Histogram("agent_queued_ms", meter.Class(name)),
		first:  s.set.Histogram("agent_first_ms", meter.Class(name)),
		total:  s.set.Histogram("agent_total_ms", meter.Class(name)),
	}
	s.classes[name] = c
	return c
}
