package simeng

import (
	"context"
	"time"
)

// Intervals of the scheduler.
const (
	// frozenPollInterval is the interval at which a frozen engine checks
	// whether the freeze has ended.
	frozenPollInterval = 10 * time.Millisecond
	// loadSampleInterval is the interval between load reports.
	loadSampleInterval = 50 * time.Millisecond
	// sweepInterval is the interval between checks for abandoned requests.
	sweepInterval = 500 * time.Millisecond
	// maxSleep is the maximum length of one sleep during a step.
	maxSleep = 100 * time.Millisecond
)

// schedule runs the steps of the batch until ctx ends, each at the time that
// results from the current speed.
func (e *Engine) schedule(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextStep, lastSweep := time.Now(), time.Now()
	for ctx.Err() == nil {
		e.processArrivals()
		if time.Since(lastSweep) > sweepInterval {
			e.sweep()
			lastSweep = time.Now()
		}
		speed := e.speed()
		if speed == 0 {
			e.waitForWork(ctx, timer, frozenPollInterval)
			nextStep = time.Now()
			continue
		}
		e.batch.admit()
		e.recordBatchState()
		if len(e.batch.running) == 0 {
			e.waitForWork(ctx, timer, sweepInterval)
			nextStep = time.Now()
			continue
		}
		// If the scheduler is late, the next step is shortened by the delay, at most
		// by its whole length. Any further delay is lost, as in real engines.
		step := time.Duration(float64(e.batch.planStep()) / speed)
		nextStep = maxTime(nextStep, time.Now().Add(-step)).Add(step)
		e.sleepUntil(ctx, timer, nextStep)
		e.publishStep(e.batch.runStep())
	}
}

// recordBatchState copies the state of the batch for load reports.
func (e *Engine) recordBatchState() {
	state := batchState{running: len(e.batch.running), waiting: len(e.batch.waiting), kvUsed: e.kv.usedBlocks()}
	e.mu.Lock()
	e.batchState = state
	e.mu.Unlock()
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// waitForWork waits for d, or until the engine is woken or ctx ends.
func (e *Engine) waitForWork(ctx context.Context, timer *time.Timer, d time.Duration) {
	timer.Reset(d)
	select {
	case <-timer.C:
	case <-e.wakeup:
	case <-ctx.Done():
	}
}

// sleepUntil waits until the given time or until ctx ends.
func (e *Engine) sleepUntil(ctx context.Context, timer *time.Timer, until time.Time) {
	for remaining := time.Until(until); remaining > 0; remaining = time.Until(until) {
		timer.Reset(min(remaining, maxSleep))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// speed returns the current speed factor, zero while the engine is frozen.
func (e *Engine) speed() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Freeze {
		return 0
	}
	if e.fault.Speed > 0 {
		return e.cfg.Speed * e.fault.Speed
	}
	return e.cfg.Speed
}

// processArrivals moves new requests to the batch, cancels requests and clears
// the prefix cache if necessary.
func (e *Engine) processArrivals() {
	e.mu.Lock()
	arrivals, cancelIDs, flushCache := e.arrivals, e.cancelIDs, e.flushCache
	e.arrivals, e.cancelIDs, e.flushCache = nil, nil, false
	cancelled := make([]*sequence, 0, len(cancelIDs))
	for _, id := range cancelIDs {
		if s := e.requests[id]; s != nil {
			cancelled = append(cancelled, s)
		}
	}
	e.mu.Unlock()
	if flushCache {
		e.kv.flush()
	}
	e.batch.waiting = append(e.batch.waiting, arrivals...)
	for _, s := range cancelled {
		if !s.progress.state().done {
			e.cancelSequence(s)
		}
	}
}

// cancelSequence cancels s and ends its answer.
func (e *Engine) cancelSequence(s *sequence) {
	e.batch.cancel(s)
	e.mu.Lock()
	s.rec.Cancelled = true
	e.recordTokens(s)
	e.stats.Cancelled++
	e.mu.Unlock()
	s.progress.finish(true, s.usage())
}

// recordTokens copies the token counts of s to its record and adds them to the
// totals. The caller holds mu.
func (e *Engine) recordTokens(s *sequence) {
	s.rec.CachedTokens, s.rec.OutputTokens = s.cachedTokens, s.outputTokens
	s.rec.WastedPrefillTokens = s.wastedTokens
	e.stats.CachedTokens += int64(s.cachedTokens)
	e.stats.OutputTokens += int64(s.outputTokens)
	e.stats.WastedPrefillTokens += int64(s.wastedTokens)
}

func (s *sequence) usage() usage {
	return usage{
		PromptTokens: s.promptTokens, CompletionTokens: s.outputTokens, TotalTokens: s.promptTokens + s.outputTokens,
		Details: promptDetails{CachedTokens: s.cachedTokens},
	}
}

// publishStep makes the results of a step available to the callers and updates
// the records and totals.
func (e *Engine) publishStep(finished []*sequence) {
	for _, s := range e.batch.running {
		s.progress.setTokens(s.outputTokens)
	}
	e.mu.Lock()
	for _, s := range finished {
		s.rec.Finished = true
		e.recordTokens(s)
	}
	e.stats.Finished += int64(len(finished))
	e.stats.Preempted = e.batch.preemptions
	e.stats.ComputedTokens = e.batch.prefilledTokens
	e.stats.Steps++
	e.mu.Unlock()
	for _, s := range finished {
		s.progress.setTokens(s.outputTokens)
		s.progress.finish(false, s.usage())
	}
}

// sweep cancels unfinished requests and removes finished ones whose answers nobody has
// read for longer than Grace.
func (e *Engine) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.requests {
		switch {
		case s.progress.isAbandoned(e.cfg.Grace):
			e.cancelIDs = append(e.cancelIDs, id)
		case s.progress.isExpired(e.cfg.Grace):
			delete(e.requests, id)
		}
	}
}

// sampleLoad stores a load report at each interval until ctx ends. Reports are
// shown after the configured lag.
func (e *Engine) sampleLoad(ctx context.Context) {
	t := time.NewTicker(loadSampleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.recordLoad(time.Now())
		}
	}
}
