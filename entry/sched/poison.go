package sched

import (
	"fmt"
	"sync"
	"time"

	"lycheepond/core/logs"
	"lycheepond/core/poison"
	"lycheepond/core/wire"
	"lycheepond/entry/fault"
)

// crashWindow is the time within which all attempts that one crash of an endpoint
// broke off are reported.
const crashWindow = time.Second

// quarantine holds back requests that crash endpoints. Agents keep their names when
// their endpoints restart, so crashes are counted here.
type quarantine struct {
	mu   sync.Mutex
	book *poison.Tracker
	// crashes holds the number of crashes of each agent's endpoint.
	crashes map[string]crashCount
}

// crashCount counts the crashes of one endpoint.
type crashCount struct {
	count  int
	lastAt time.Duration
}

func newQuarantine() *quarantine {
	return &quarantine{book: poison.New(), crashes: make(map[string]crashCount)}
}

// fingerprint returns the fingerprint of a job. It is zero for a job with an
// idempotency key, because a retry of it gets the recorded answer and doesn't run
// again.
func (j *Job) fingerprint() poison.Fingerprint {
	if j.Key != nil {
		return poison.Fingerprint{}
	}
	return poison.NewFingerprint(j.Method, j.Pool, j.Path, j.Customer, j.Body)
}

// admit returns an error if the flight's request is in quarantine.
func (q *quarantine) admit(f *flight) *fault.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait := q.book.Admit(f.now(), f.fingerprint, func() time.Duration { return 0 })
	if wait == 0 {
		return nil
	}
	return fault.New(fault.Quarantined, "requests like this one crashed endpoints, so it was not run: mend the endpoint, or ask again when one is let through").WithRetryAfter(wait)
}

// isSuspect reports whether the flight's request is suspect, so that retries are
// left to its caller.
func (q *quarantine) isSuspect(f *flight) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.book.IsSuspect(f.now(), f.fingerprint)
}

// recordEnd records the answer that has ended at the flight's agent.
func (q *quarantine) recordEnd(f *flight) {
	if f.fingerprint == (poison.Fingerprint{}) {
		return
	}
	now, agent := f.now(), f.holder.Name()
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.crashes[agent]
	switch end := f.answer.End(); {
	case end == nil:
	case end.Complete:
		q.book.RecordCompleted(now, f.fingerprint, startName(agent, c.count+1))
	case end.Reason == wire.ReasonUnreachable:
		if c.count == 0 || now-c.lastAt > crashWindow {
			c = crashCount{c.count + 1, now}
			q.crashes[agent] = c
		}
		q.book.RecordLostRun(now, f.fingerprint, startName(agent, c.count))
		q.book.RecordCrash(now, startName(agent, c.count))
	}
	for _, c := range q.book.TakeChanges() {
		logs.LogQuarantine(f.s.cfg.Log, c)
	}
}

// recordNotRun records that no endpoint has run the flight's request.
func (q *quarantine) recordNotRun(f *flight) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.book.RecordNotRun(f.fingerprint)
}

// startName returns a name for the n-th start of an agent's endpoint.
func startName(agent string, n int) string { return fmt.Sprint(agent, "#", n) }
