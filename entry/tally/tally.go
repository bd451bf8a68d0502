// Package tally counts what callers received.
package tally

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/once"
	"lycheepond/core/spec"
	"lycheepond/entry/sched"
)

// Names of the metrics.
const (
	nameFirst   = "entry_first_byte_ms"
	nameTotal   = "entry_answer_ms"
	nameBetween = "entry_longest_pause_ms"
	nameGoodput = "entry_goodput"
	nameOffered = "entry_requests"
	nameOutcome = "entry_outcomes"
	nameCached  = "entry_prompt_tokens_cached"
	namePrompt  = "entry_prompt_tokens"
	nameOutput  = "entry_output_tokens"
)

// Tally counts by class, customer, tier and outcome. It is safe for concurrent
// use.
type Tally struct {
	meter *meter.Set
	log   *zap.Logger
	total *meter.CustomerHistograms
	first *meter.CustomerHistograms
	// byTier holds the counters of each tier.
	byTier [spec.Tiers]tier
	// byOutcome holds a counter for each outcome.
	byOutcome              [3]metrics.Counter
	prompt, cached, output metrics.Counter
}

type tier struct{ offered, goodput metrics.Counter }

// New returns a Tally that counts into m.
func New(m *meter.Set, log *zap.Logger) *Tally {
	t := &Tally{
		meter: m, log: log, total: m.CustomerHistograms(nameTotal), first: m.CustomerHistograms(nameFirst),
		prompt: m.Counter(namePrompt), cached: m.Counter(nameCached), output: m.Counter(nameOutput),
	}
	for i := range t.byTier {
		t.byTier[i] = tier{m.Counter(nameOffered, meter.Tier(uint8(i))), m.Counter(nameGoodput, meter.Tier(uint8(i)))}
	}
	for _, o := range []once.Outcome{once.NotRun, once.Unknown, once.Complete} {
		t.byOutcome[o] = m.Counter(nameOutcome, meter.Outcome(o.String()))
	}
	return t
}

// Done counts one request that has ended.
func (t *Tally) Done(j *sched.Job, res *sched.Result) {
	t.byOutcome[res.Outcome].Inc(1)
	if j == nil || j.Class.Name == "" {
		return
	}
	n := &t.byTier[min(int(j.Class.Tier), spec.Tiers-1)]
	n.offered.Inc(1)
	if res.Fault != nil {
		t.fault(j, res)
		return
	}
	if res.InTarget(j.Class.Target) {
		n.goodput.Inc(1)
	}
	t.prompt.Inc(int64(res.Usage.PromptTokens))
	t.cached.Inc(int64(res.Usage.CachedTokens))
	t.output.Inc(int64(res.Usage.OutputTokens))
	class := meter.Class(j.Class.Name)
	meter.UpdateMS(t.meter.Histogram(nameFirst, class), res.First)
	meter.UpdateMS(t.meter.Histogram(nameTotal, class), res.Total)
	meter.UpdateMS(t.meter.Histogram(nameBetween, class), res.Between)
	t.first.Observe(j.Customer, int64(res.First/time.Millisecond))
	t.total.Observe(j.Customer, int64(res.Total/time.Millisecond))
}

// fault logs a request that ended without its answer.
func (t *Tally) fault(j *sched.Job, res *sched.Result) {
	event := logs.EventRequestRefused
	if res.Outcome == once.Unknown {
		event = logs.EventRequestUnknown
	}
	logs.Warn(t.log, event, logs.Request(j.ID), zap.String("class", j.Class.Name), zap.String("customer", j.Customer),
		zap.String("pool", j.Pool), zap.Uint8("tier", j.Class.Tier), zap.String("kind", string(res.Fault.Kind())),
		zap.Duration("after", res.Total))
}
