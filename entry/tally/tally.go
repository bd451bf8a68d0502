// Package tally records in the metrics how requests ended and what callers
// received.
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
	nameFirstByte    = "entry_first_byte_ms"
	nameTotal        = "entry_answer_ms"
	nameLongestPause = "entry_longest_pause_ms"
	nameGoodput      = "entry_goodput"
	nameRequests     = "entry_requests"
	nameOutcome      = "entry_outcomes"
	nameCachedTokens = "entry_prompt_tokens_cached"
	namePromptTokens = "entry_prompt_tokens"
	nameOutputTokens = "entry_output_tokens"
)

// Recorder counts requests by tier and outcome, and records their times by class and
// customer. It is safe for concurrent use.
type Recorder struct {
	metrics             *meter.Set
	log                 *zap.Logger
	totalByCustomer     *meter.CustomerHistograms
	firstByteByCustomer *meter.CustomerHistograms
	tiers               [spec.Tiers]tierCounters
	// outcomes is indexed by once.Outcome.
	outcomes                                 [3]metrics.Counter
	promptTokens, cachedTokens, outputTokens metrics.Counter
}

// tierCounters counts the requests of a tier, and in goodput those that met their
// target.
type tierCounters struct{ requests, goodput metrics.Counter }

// New returns a Recorder that counts into m.
func New(m *meter.Set, log *zap.Logger) *Recorder {
	t := &Recorder{
		metrics: m, log: log, totalByCustomer: m.CustomerHistograms(nameTotal), firstByteByCustomer: m.CustomerHistograms(nameFirstByte),
		promptTokens: m.Counter(namePromptTokens), cachedTokens: m.Counter(nameCachedTokens), outputTokens: m.Counter(nameOutputTokens),
	}
	for i := range t.tiers {
		t.tiers[i] = tierCounters{m.Counter(nameRequests, meter.Tier(uint8(i))), m.Counter(nameGoodput, meter.Tier(uint8(i)))}
	}
	for _, o := range []once.Outcome{once.NotRun, once.Unknown, once.Complete} {
		t.outcomes[o] = m.Counter(nameOutcome, meter.Outcome(o.String()))
	}
	return t
}

// RecordResult records the result of a request that has ended. j is nil, or has no
// class, if the request was refused before these were known. Then only its outcome
// is counted.
func (t *Recorder) RecordResult(j *sched.Job, res *sched.Result) {
	t.outcomes[res.Outcome].Inc(1)
	if j == nil || j.Class.Name == "" {
		return
	}
	n := &t.tiers[min(int(j.Class.Tier), spec.Tiers-1)]
	n.requests.Inc(1)
	if res.Fault != nil {
		t.logFault(j, res)
		return
	}
	if res.MetTarget(j.Class.Target) {
		n.goodput.Inc(1)
	}
	t.promptTokens.Inc(int64(res.Usage.PromptTokens))
	t.cachedTokens.Inc(int64(res.Usage.CachedTokens))
	t.outputTokens.Inc(int64(res.Usage.OutputTokens))
	class := meter.Class(j.Class.Name)
	meter.UpdateMS(t.metrics.Histogram(nameFirstByte, class), res.FirstByte)
	meter.UpdateMS(t.metrics.Histogram(nameTotal, class), res.Total)
	meter.UpdateMS(t.metrics.Histogram(nameLongestPause, class), res.LongestPause)
	t.firstByteByCustomer.Observe(j.Customer, int64(res.FirstByte/time.Millisecond))
	t.totalByCustomer.Observe(j.Customer, int64(res.Total/time.Millisecond))
}

// logFault logs a request that ended with a fault.
func (t *Recorder) logFault(j *sched.Job, res *sched.Result) {
	event := logs.EventRequestRefused
	if res.Outcome == once.Unknown {
		event = logs.EventRequestUnknown
	}
	logs.Warn(t.log, event, logs.Request(j.ID), zap.String("class", j.Class.Name), zap.String("customer", j.Customer),
		zap.String("pool", j.Pool), zap.Uint8("tier", j.Class.Tier), zap.String("kind", string(res.Fault.Kind())),
		zap.Duration("after", res.Total))
}
