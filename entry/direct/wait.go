package direct

import (
	"context"
	"time"

	"lycheepond/core/admit"
	"lycheepond/core/await"
)

// waiter is a job in the line of its pool.
type waiter struct {
	job *Job
	// placed is closed once the job has left the line for an endpoint; visit and
	// dec are set before.
	placed chan struct{}
	visit  *visit
	dec    admit.Decision
}

// enter places a job, at once or after it has stood in line.
func (d *Director) enter(ctx context.Context, j *Job) (*visit, admit.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	_, known := d.cfg.Reach()
	p := d.v.pool(j.Pool.Name, d.cfg.Repeats, known)
	in := tierIn{j.Pool.Name, j.Tier}
	at := await.Place{Tier: j.Tier, Due: d.since(j.due())}
	ahead := p.line.Ahead(at)
	c := d.crowd(in, 1, p, j)
	v, dec := d.place(j, trial{output: j.Output, behind: ahead > 0 || c.Blocked(), part: c.Part()})
	if dec.Why != admit.Full {
		return v, dec
	}
	patience := await.Patience(j.Route.Target, j.due().Sub(now), dec.First-dec.Wait)
	if turn := time.Duration(ahead+c.First+c.Beside+1) * dec.Turn; turn > patience {
		dec.Retry = max(dec.Retry, turn)
		return v, dec
	}
	w := &waiter{job: j, placed: make(chan struct{})}
	wait := p.line.Add(w, at)
	d.v.waits.count(in, 1)
	d.mu.Unlock()
	w.stand(ctx, patience)
	d.mu.Lock()
	if !p.line.Remove(wait) {
		w.visit.basis.Stood = w.visit.sent.Sub(now)
		return w.visit, w.dec
	}
	d.v.waits.count(in, -1)
	v.basis.Stood = time.Since(now)
	return v, dec
}

// crowd returns what competes with a job for free slots; joining is one if the job
// is not in the line yet. d.mu is held.
func (d *Director) crowd(in tierIn, joining int, p *pool, j *Job) await.Crowd {
	now := time.Now()
	free := admit.Free(d.v.describe(p, j.Pool, now, d.since(now)))
	return d.v.waits.crowd(in, d.v.waits.own[in]+joining, free)
}

// stand returns when the job has left the line, its patience is over or its
// caller has left.
func (w *waiter) stand(ctx context.Context, patience time.Duration) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-w.placed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// advance sends the jobs in the line of a pool for which there is room now; d.mu
// is held.
func (d *Director) advance(p *pool) {
	p.line.Offer(func(w *await.Wait[*waiter]) (sent, more bool) {
		j := w.Value.job
		in := tierIn{j.Pool.Name, j.Tier}
		c := d.crowd(in, 0, p, j)
		v, dec := d.place(j, trial{output: j.Output, behind: c.Blocked(), part: c.Part()})
		if dec.Endpoint < 0 {
			// One that waits for its prompt's sake keeps no other from a slot.
			return false, dec.Why != admit.Full
		}
		w.Value.visit, w.Value.dec = v, dec
		d.v.waits.count(in, -1)
		close(w.Value.placed)
		return true, true
	})
}

// advanceAll sends what waits in any pool and finds room; d.mu is held.
func (d *Director) advanceAll() {
	for _, p := range d.v.pools {
		d.advance(p)
	}
}
