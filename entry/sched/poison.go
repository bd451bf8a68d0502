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

// sameCrash is the time within which the runs that an endpoint's crash broke off are
// reported to have ended.
const sameCrash = time.Second

// quarantine holds back requests that crash endpoints. Agents keep their names when their
// endpoints restart, so that crashes are counted here.
type quarantine struct {
	mu   sync.Mutex
	book *poison.Book
	// crashes holds the crashes of each agent's endpoint.
	crashes map[string]crashes
}

type crashes struct {
	n    int
	last time.Duration
}

func newQuarantine() *quarantine {
	return &quarantine{book: poison.New(), crashes: make(map[string]crashes)}
}

// fingerprint returns that of a job, zero for one with an idempotency key: a retry of it
// asks for the recorded answer and does not run again.
func (j *Job) fingerprint() poison.Fingerprint {
	if j.Key != nil {
		return poison.Fingerprint{}
	}
	return poison.NewFingerprint(j.Method, j.Pool, j.Path, j.Customer, j.Body)
}

// admit returns a fault if the flight's request is in quarantine.
func (q *quarantine) admit(f *flight) *fault.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait := q.book.Admit(f.now(), f.fingerprint, func() time.Duration { return 0 })
	if wait == 0 {
		return nil
	}
	return fault.New(fault.Quarantined, "requests like this one crashed endpoints, so it was not run: mend the endpoint, or ask again when one is let through").After(wait)
}

// suspect reports whether retries of the flight's request are left to its caller.
func (q *quarantine) suspect(f *flight) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.book.Suspect(f.now(), f.fingerprint)
}

// ended records the answer that has ended at the flight's agent.
func (q *quarantine) ended(f *flight) {
	if f.fingerprint == (poison.Fingerprint{}) {
		return
	}
	now, agent := f.now(), f.holder.Name()
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.crashes[agent]
	switch end := f.ans.End(); {
	case end == nil:
	case end.Complete:
		q.book.Completed(now, f.fingerprint, start(agent, c.n+1))
	case end.Reason == wire.ReasonUnreachable:
		if c.n == 0 || now-c.last > sameCrash {
			c = crashes{c.n + 1, now}
			q.crashes[agent] = c
		}
		q.book.RunLost(now, f.fingerprint, start(agent, c.n))
		q.book.Crashed(now, start(agent, c.n))
	}
	for _, c := range q.book.Changes() {
		logs.LogQuarantine(f.s.cfg.Log, c)
	}
}

// notRun records that no endpoint has run the flight's request.
func (q *quarantine) notRun(f *flight) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.book.NotRun(f.fingerprint)
}

// start names the n-th start of an agent's endpoint.
func start(agent string, n int) string { return fmt.Sprint(agent, "#", n) }
