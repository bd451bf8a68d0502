package sched

import (
	"time"

	"lycheepond/core/cost"
	"lycheepond/core/wire"
)

func (p *pool) grant(now time.Duration, f *flight, agent string) {
	st := p.live[f]
	if st == nil || st.granted {
		return
	}
	st.granted, st.agent = true, agent
	t := f.job.Class.Tier
	p.waiting[t]--
	p.running[t]++
	p.shed.Started(now, t, f.job.Customer, f.est.Work)
	st.believed = p.placer.Sent(now, agent, f.trace.prefix)
	p.show()
}

// ungrant counts a request as waiting again.
func (p *pool) ungrant(now time.Duration, f *flight) {
	st := p.live[f]
	if st == nil || !st.granted {
		return
	}
	st.granted = false
	t := f.job.Class.Tier
	p.running[t]--
	p.waiting[t]++
	p.shed.Arrived(now, t, f.job.Customer, f.est.Work)
}

// end takes a request out of the books and learns from it.
func (p *pool) end(now time.Duration, f *flight, res *Result) {
	st := p.live[f]
	if st == nil {
		return
	}
	delete(p.live, f)
	j, t := f.job, f.job.Class.Tier
	switch {
	case st.granted:
		p.running[t]--
		p.shed.Ended(now, t, res.InTarget(j.Class.Target))
	case st.out:
		p.waiting[t]--
	default:
		p.waiting[t]--
		p.shed.Left(now, t, j.Customer, f.est.Work)
	}
	if st.granted && res.Fault == nil {
		p.learn(now, f, st, &res.Usage)
	}
	p.show()
}

// learn corrects the estimates by what a whole answer did cost.
func (p *pool) learn(now time.Duration, f *flight, st *standing, u *wire.Usage) {
	j := f.job
	work := time.Duration(u.TotalMS) * time.Millisecond
	if work == 0 {
		work = now - f.granted
	}
	p.cost.Learn(j.Class.Name, j.Customer, len(j.Prompt), cost.Usage{
		Prompt: int(u.PromptTokens), Cached: int(u.CachedTokens), Output: int(u.OutputTokens), Max: j.MaxTokens, Work: work,
	})
	if j.Model != "" {
		p.placer.Cached(st.agent, st.believed, int(u.CachedTokens))
	}
}

func (p *pool) show() {
	queued, running := 0, 0
	for t := range p.waiting {
		queued += p.waiting[t]
		running += p.running[t]
	}
	p.queued.Store(int32(queued))
	p.inflight.Store(int32(running))
}
