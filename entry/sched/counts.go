package sched

import (
	"time"

	"lycheepond/core/cost"
	"lycheepond/core/wire"
)

// recordGrant counts a request as running at the agent that got the grant.
func (p *pool) recordGrant(now time.Duration, f *flight, agent string) {
	st := p.requests[f]
	if st == nil || st.isGranted {
		return
	}
	st.isGranted, st.agent = true, agent
	t := f.job.Class.Tier
	p.waiting[t]--
	p.running[t]++
	p.shed.RecordStart(now, t, f.job.Customer, f.estimate.Work)
	st.expectedCached = p.placer.RecordSent(now, agent, f.trace.prefix)
	p.updateReported()
}

// undoGrant counts a granted request as waiting again.
func (p *pool) undoGrant(now time.Duration, f *flight) {
	st := p.requests[f]
	if st == nil || !st.isGranted {
		return
	}
	st.isGranted = false
	t := f.job.Class.Tier
	p.running[t]--
	p.waiting[t]++
	p.shed.RecordArrival(now, t, f.job.Customer, f.estimate.Work)
}

// recordEnd removes a request that has ended from the pool's state and updates the
// estimates.
func (p *pool) recordEnd(now time.Duration, f *flight, res *Result) {
	st := p.requests[f]
	if st == nil {
		return
	}
	delete(p.requests, f)
	j, t := f.job, f.job.Class.Tier
	switch {
	case st.isGranted:
		p.running[t]--
		p.shed.RecordEnd(now, t, res.MetTarget(j.Class.Target))
	case st.isRefused:
		p.waiting[t]--
	default:
		p.waiting[t]--
		p.shed.RecordWithdrawal(now, t, j.Customer, f.estimate.Work)
	}
	if st.isGranted && res.Fault == nil {
		p.updateEstimates(now, f, st, &res.Usage)
	}
	p.updateReported()
}

// updateEstimates corrects the cost and cache estimates by the actual usage of a
// complete answer.
func (p *pool) updateEstimates(now time.Duration, f *flight, st *requestState, u *wire.Usage) {
	j := f.job
	work := time.Duration(u.TotalMS) * time.Millisecond
	if work == 0 {
		work = now - f.grantedAt
	}
	p.cost.Learn(j.Class.Name, j.Customer, len(j.Prompt), cost.Usage{
		PromptTokens: int(u.PromptTokens), CachedTokens: int(u.CachedTokens), OutputTokens: int(u.OutputTokens), MaxTokens: j.MaxTokens, Work: work,
	})
	if j.Model != "" {
		p.placer.RecordCached(st.agent, st.expectedCached, int(u.CachedTokens))
	}
}

// updateReported updates the counts of queued and running requests for operators.
func (p *pool) updateReported() {
	queued, running := 0, 0
	for t := range p.waiting {
		queued += p.waiting[t]
		running += p.running[t]
	}
	p.reportedQueued.Store(int32(queued))
	p.reportedInFlight.Store(int32(running))
}
