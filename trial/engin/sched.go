package engin

import (
	"context"
	"time"
)

// Pauses of the scheduler.
const (
	// frozenLook is how often a frozen engine looks whether it may go on.
	frozenLook = 10 * time.Millisecond
	// sampleEvery is how often the load report is taken.
	sampleEvery = 50 * time.Millisecond
	// idleLook bounds how long abandoned requests go unnoticed.
	idleLook = 500 * time.Millisecond
	// maxStep bounds one sleep, so that a change of speed acts soon.
	maxStep = 100 * time.Millisecond
)

// schedule runs step after step, each as long as the configured speed makes it.
func (e *Engine) schedule(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next, swept := time.Now(), time.Now()
	for ctx.Err() == nil {
		e.takeIn()
		if time.Since(swept) > idleLook {
			e.sweep()
			swept = time.Now()
		}
		speed := e.speed()
		if speed == 0 {
			e.pause(ctx, timer, frozenLook)
			next = time.Now()
			continue
		}
		e.batch.admit()
		e.show()
		if len(e.batch.running) == 0 {
			e.pause(ctx, timer, idleLook)
			next = time.Now()
			continue
		}
		// A step that started late does not make the next one shorter by more
		// than one step: the engine has lost that time, as real ones do.
		step := time.Duration(float64(e.batch.plan()) / speed)
		next = maxTime(next, time.Now().Add(-step)).Add(step)
		e.sleepUntil(ctx, timer, next)
		e.publish(e.batch.step())
	}
}

// show copies the state of the batch for the load report.
func (e *Engine) show() {
	s := shown{running: len(e.batch.running), waiting: len(e.batch.waiting), kvUsed: e.mem.used()}
	e.mu.Lock()
	e.shown = s
	e.mu.Unlock()
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// pause waits for d or until something arrives.
func (e *Engine) pause(ctx context.Context, timer *time.Timer, d time.Duration) {
	timer.Reset(d)
	select {
	case <-timer.C:
	case <-e.poke:
	case <-ctx.Done():
	}
}

func (e *Engine) sleepUntil(ctx context.Context, timer *time.Timer, until time.Time) {
	for left := time.Until(until); left > 0; left = time.Until(until) {
		timer.Reset(min(left, maxStep))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// speed returns the present factor, zero while frozen.
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

// takeIn takes over arrivals and cancels.
func (e *Engine) takeIn() {
	e.mu.Lock()
	arrived, cancels, flush := e.inbox, e.cancels, e.flush
	e.inbox, e.cancels, e.flush = nil, nil, false
	gone := make([]*seq, 0, len(cancels))
	for _, id := range cancels {
		if s := e.byID[id]; s != nil {
			gone = append(gone, s)
		}
	}
	e.mu.Unlock()
	if flush {
		e.mem.flush()
	}
	e.batch.waiting = append(e.batch.waiting, arrived...)
	for _, s := range gone {
		if !s.sink.look().done {
			e.drop(s)
		}
	}
}

func (e *Engine) drop(s *seq) {
	e.batch.remove(s)
	e.mu.Lock()
	s.rec.Cancelled = true
	e.settle(s)
	e.stats.Cancelled++
	e.mu.Unlock()
	s.sink.finish(true, s.usage())
}

// settle copies the outcome of s into its record. The caller holds mu.
func (e *Engine) settle(s *seq) {
	s.rec.CachedTokens, s.rec.OutputTokens = s.cached, s.out
	s.rec.WastedPrefillTokens = s.wasted
	e.stats.CachedTokens += int64(s.cached)
	e.stats.OutputTokens += int64(s.out)
	e.stats.WastedPrefillTokens += int64(s.wasted)
}

func (s *seq) usage() usage {
	return usage{
		PromptTokens: s.prompt, CompletionTokens: s.out, TotalTokens: s.prompt + s.out,
		Details: details{CachedTokens: s.cached},
	}
}

// publish shows the results of a step to the callers.
func (e *Engine) publish(finished []*seq) {
	for _, s := range e.batch.running {
		s.sink.emit(s.out)
	}
	e.mu.Lock()
	for _, s := range finished {
		s.rec.Finished = true
		e.settle(s)
	}
	e.stats.Finished += int64(len(finished))
	e.stats.Preempted = e.batch.preempted
	e.stats.ComputedTokens = e.batch.computed
	e.stats.Steps++
	e.mu.Unlock()
	for _, s := range finished {
		s.sink.emit(s.out)
		s.sink.finish(false, s.usage())
	}
}

// sweep cancels requests that nobody reads any more and forgets old answers.
func (e *Engine) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.byID {
		switch {
		case s.sink.orphaned(e.cfg.Grace):
			e.cancels = append(e.cancels, id)
		case s.sink.stale(e.cfg.Grace):
			delete(e.byID, id)
		}
	}
}

// sample takes load reports, which are shown later by the configured lag.
func (e *Engine) sample(ctx context.Context) {
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.keepLoad(time.Now())
		}
	}
}
