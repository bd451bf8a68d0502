package sched

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"lycheepond/core/logs"
	"lycheepond/core/poison"
	"lycheepond/core/wire"
	"lycheepond/entry/fault"
)

// crashWindow is the time within which all attempts that were broken off by one
// crash of an endpoint are reported.
const crashWindow = time.Second

// quarantine refuses requests that crash endpoints. Agents keep their names when
// their endpoints restart, so the crashes are counted to tell the restarts apart.
type quarantine struct {
	mu      sync.Mutex
	tracker *poison.Tracker
	// crashes holds the crashes of each agent's endpoint, by the agent's name.
	crashes map[string]crashCount
}

// crashCount counts the crashes of one endpoint. lastAt is when the last one was
// counted.
type crashCount struct {
	count  int
	lastAt time.Duration
}

func newQuarantine() *quarantine {
	return &quarantine{tracker: poison.New(), crashes: make(map[string]crashCount)}
}

// suspect returns what a quarantine knows of a job. The fingerprint is zero for a job with
// an idempotency key, because a retry of it gets the recorded answer and doesn't run again.
// The parts of its prompt are those of other requests too.
func (j *Job) suspect() poison.Request {
	var f poison.Fingerprint
	if j.Key == nil {
		f = poison.NewFingerprint(j.Method, j.Pool, j.Path, j.Customer, j.Body)
	}
	return poison.NewRequest(f, j.Customer, j.Parts)
}

// admit returns an error if the flight's request is in quarantine.
func (q *quarantine) admit(f *flight) *fault.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait := q.tracker.Admit(f.now(), f.suspect, func() time.Duration { return 0 })
	if wait == 0 {
		return nil
	}
	what := "requests like this one"
	if _, part := q.tracker.Culprit(f.now(), f.suspect); part != "" {
		what = fmt.Sprintf("requests with part %q of its prompt", part)
	}
	return fault.New(fault.Quarantined, what+" crashed endpoints, so it was not run: mend the endpoint, or ask again when one is let through").WithRetryAfter(wait)
}

// isSuspect reports whether the flight's request is suspect, so that retries are
// left to its caller.
func (q *quarantine) isSuspect(f *flight) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.IsSuspect(f.now(), f.suspect)
}

// recordEnd records how the answer at the flight's holder has ended.
func (q *quarantine) recordEnd(f *flight) {
	if !f.suspect.IsTracked() {
		return
	}
	now, agent := f.now(), f.holder.Name()
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.crashes[agent]
	switch end := f.answer.End(); {
	case end == nil:
	case end.Complete:
		q.tracker.RecordCompleted(now, f.suspect, endpointID(agent, c.count+1), f.status < http.StatusMultipleChoices)
	case end.Reason == wire.ReasonUnreachable:
		if c.count == 0 || now-c.lastAt > crashWindow {
			c = crashCount{c.count + 1, now}
			q.crashes[agent] = c
		}
		q.tracker.RecordLostRun(now, f.suspect, endpointID(agent, c.count), f.hasPassed)
		q.tracker.RecordCrash(now, endpointID(agent, c.count))
	}
	q.logChanges(f)
}

// recordPassed records that the flight's current attempt has got past its beginning.
func (q *quarantine) recordPassed(f *flight) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.RecordPassed(f.now(), f.suspect)
	q.logChanges(f)
}

// logChanges logs the changes of quarantines. The caller holds q.mu.
func (q *quarantine) logChanges(f *flight) {
	for _, c := range q.tracker.TakeChanges() {
		logs.LogQuarantine(f.s.cfg.Log, c)
	}
}

// recordNotRun records that no endpoint has run the flight's request.
func (q *quarantine) recordNotRun(f *flight) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.RecordNotRun(f.suspect)
}

// endpointID returns the ID of an agent's endpoint after its n-th start.
func endpointID(agent string, n int) string { return fmt.Sprint(agent, "#", n) }
