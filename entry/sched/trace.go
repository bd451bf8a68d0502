package sched

import (
	"sync"
	"time"

	"lycheepond/core/ident"
	"lycheepond/core/place"
	"lycheepond/core/report"
)

// maxTraces is the number of recent requests whose traces are kept.
const maxTraces = 4096

// maxSteps bounds the steps in the trace of one request.
const maxSteps = 64

// Trace records the decisions about one request. start is when the request was
// accepted, and prefix holds the hashes of its prompt's prefixes.
type Trace struct {
	mu     sync.Mutex
	record report.Request
	start  time.Duration
	prefix []uint64
}

// TraceLog holds the traces of recent requests. It is safe for concurrent use.
type TraceLog struct {
	mu sync.Mutex
	// order holds the IDs in byID, with the oldest at next.
	order []ident.ID
	next  int
	byID  map[ident.ID]*Trace
}

func newTraceLog() *TraceLog {
	return &TraceLog{order: make([]ident.ID, maxTraces), byID: make(map[ident.ID]*Trace)}
}

func (t *TraceLog) newTrace(j *Job) *Trace {
	tr := &Trace{start: j.AcceptedAt, record: report.Request{
		ID: j.ID.String(), Pool: j.Pool, Class: j.Class.Name, Tier: j.Class.Tier, Customer: j.Customer,
	}}
	if j.Model != "" {
		tr.prefix = place.Fingerprint(j.Prompt)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, t.order[t.next])
	t.order[t.next] = j.ID
	t.next = (t.next + 1) % maxTraces
	t.byID[j.ID] = tr
	return tr
}

// Explain returns the trace of a request by the ID of any of its attempts.
func (t *TraceLog) Explain(id ident.ID) (report.Request, bool) {
	t.mu.Lock()
	tr := t.byID[rootOf(id)]
	t.mu.Unlock()
	if tr == nil {
		return report.Request{}, false
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	record := tr.record
	record.Steps = append([]report.Step(nil), record.Steps...)
	return record, true
}

// recordStep records a decision, up to maxSteps of them.
func (f *flight) recordStep(action, agent, reason string) {
	t := f.trace
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.record.Steps) < maxSteps {
		t.record.Steps = append(t.record.Steps, report.Step{AtMS: (f.now() - t.start).Milliseconds(), Action: action, Agent: agent, Reason: reason})
	}
}

// close records the outcome of the request.
func (t *Trace) close(f *flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record.Outcome = f.result.Outcome.String()
	if f.result.Fault != nil {
		t.record.Fault = string(f.result.Fault.Kind())
	}
}
