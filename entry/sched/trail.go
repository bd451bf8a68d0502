package sched

import (
	"sync"
	"time"

	"lycheepond/core/ident"
	"lycheepond/core/place"
	"lycheepond/core/report"
)

// trailSize is how many requests can be explained.
const trailSize = 4096

// maxSteps bounds the record of one request.
const maxSteps = 64

// Trace is the record of the decisions about one request.
type Trace struct {
	mu     sync.Mutex
	view   report.Request
	begin  time.Duration
	prefix []uint64
}

// Trail is a bounded record of recent decisions. It is safe for concurrent use.
type Trail struct {
	mu sync.Mutex
	// order holds the IDs in byID from the oldest at next on.
	order []ident.ID
	next  int
	byID  map[ident.ID]*Trace
}

func newTrail() *Trail {
	return &Trail{order: make([]ident.ID, trailSize), byID: make(map[ident.ID]*Trace)}
}

func (t *Trail) open(j *Job) *Trace {
	tr := &Trace{begin: j.Accepted, view: report.Request{
		ID: j.ID.String(), Pool: j.Pool, Class: j.Class.Name, Tier: j.Class.Tier, Customer: j.Customer,
	}}
	if j.Model != "" {
		tr.prefix = place.Fingerprint(j.Prompt)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, t.order[t.next])
	t.order[t.next] = j.ID
	t.next = (t.next + 1) % trailSize
	t.byID[j.ID] = tr
	return tr
}

// Explain returns the record of a request by the ID of any of its attempts.
func (t *Trail) Explain(id ident.ID) (report.Request, bool) {
	t.mu.Lock()
	tr := t.byID[rootOf(id)]
	t.mu.Unlock()
	if tr == nil {
		return report.Request{}, false
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	v := tr.view
	v.Steps = append([]report.Step(nil), v.Steps...)
	return v, true
}

// step records a decision.
func (f *flight) step(what, agent, why string) {
	t := f.trace
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.view.Steps) < maxSteps {
		t.view.Steps = append(t.view.Steps, report.Step{AtMS: (f.now() - t.begin).Milliseconds(), Action: what, Agent: agent, Reason: why})
	}
}

func (t *Trace) close(f *flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view.Outcome = f.res.Outcome.String()
	if f.res.Fault != nil {
		t.view.Fault = string(f.res.Fault.Kind())
	}
}
