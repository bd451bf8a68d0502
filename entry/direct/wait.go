package direct

import (
	"context"
	"time"

	"lycheepond/core/admit"
	"lycheepond/core/await"
)

// waiter is a job in the line of its pool, or of a shard.
type waiter struct {
	job *Job
	how lineup
	// wait is its place in the line, since when it entered that and patience for how
	// long it stays at most.
	wait     *await.Request[*waiter]
	since    time.Time
	patience time.Duration
	// placed is closed once the job has left the line for an endpoint; visit and
	// dec are set before. Until then they are the refusal that it gets.
	placed chan struct{}
	visit  *visit
	dec    admit.Decision
}

// lineup says where a job is placed and waits.
type lineup struct {
	// shard is nil for the whole pool.
	shard *part
	// zone is that of the entry which sends the job.
	zone string
	// stand is set if it may wait.
	stand bool
}

// waiting returns the line of the pool or of one of its shards.
func (p *pool) waiting(s *part) *await.Queue[*waiter] {
	if s != nil {
		return &s.line
	}
	return &p.line
}

// enter places a job, at once or after it has stood in line.
func (d *Director) enter(ctx context.Context, j *Job) (*visit, admit.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.cfg.Reach()
	p := d.v.pool(j.Pool.Name, d.cfg.Repeats, known)
	if v, dec, ok := d.tryOut(j, p); ok {
		return v, dec
	}
	if d.sharded(known) {
		if v, dec, ok := d.enterShard(ctx, j, p); ok {
			return v, dec
		}
	}
	return d.queue(ctx, j, p, lineup{stand: true})
}

// queue places a job, at once or after it has stood in line. d.mu is held, but not
// while the job stands.
func (d *Director) queue(ctx context.Context, j *Job, p *pool, how lineup) (*visit, admit.Decision) {
	v, dec, w := d.line(j, p, how)
	if w == nil {
		return v, dec
	}
	d.mu.Unlock()
	w.stand(ctx)
	d.mu.Lock()
	return d.leave(w, p)
}

// line places a job, refuses it or puts it into line; it returns the waiter if it did.
// d.mu is held.
func (d *Director) line(j *Job, p *pool, how lineup) (*visit, admit.Decision, *waiter) {
	now := time.Now()
	at := d.standing(j, p)
	l := p.waiting(how.shard)
	ahead := l.CountAhead(at)
	c := d.crowd(1, p, j, how)
	v, dec := d.place(j, trial{output: j.Output, behind: ahead > 0 || c.Blocked(), part: c.Share(), shard: how.shard, zone: how.zone})
	if dec.Reason != admit.Full || !how.stand {
		return v, dec, nil
	}
	patience := await.MaxWait(j.Route.Target, j.due().Sub(now), dec.FirstEvent-dec.SlotWait)
	if turn := time.Duration(ahead+c.HigherTier+c.SameTier+1) * dec.SlotInterval; turn > patience {
		dec.RetryAfter = max(dec.RetryAfter, turn)
		return v, dec, nil
	}
	w := &waiter{job: j, how: how, since: now, patience: patience, placed: make(chan struct{}), visit: v, dec: dec}
	w.wait = l.Add(w, at)
	d.v.waits.count(tierIn{j.Pool.Name, j.Tier}, 1)
	return nil, admit.Decision{}, w
}

// standing returns where a job stands in line.
func (d *Director) standing(j *Job, p *pool) await.Priority {
	at := await.Priority{Tier: j.Tier, TargetAt: d.since(j.due())}
	if j.Pool.Engine {
		at.HoldTime = p.learner.Pace("").HoldTime(j.Prompt, j.Output)
	}
	return at
}

// leave takes a job out of the line, if it still stands there, and returns what has
// become of it. d.mu is held.
func (d *Director) leave(w *waiter, p *pool) (*visit, admit.Decision) {
	if p.waiting(w.how.shard).Remove(w.wait) {
		d.v.waits.count(tierIn{w.job.Pool.Name, w.job.Tier}, -1)
		w.visit.basis.Stood = time.Since(w.since)
	} else {
		w.visit.basis.Stood = w.visit.sent.Sub(w.since)
	}
	return w.visit, w.dec
}

// crowd returns what competes with a job for free slots: in a shard nobody, as all
// that wait for it stand in its line. joining is one if the job is not in the line
// yet. d.mu is held.
func (d *Director) crowd(joining int, p *pool, j *Job, how lineup) await.Contention {
	if how.shard != nil {
		return await.Contention{OwnSameTier: 1}
	}
	now := time.Now()
	in := tierIn{j.Pool.Name, j.Tier}
	free := admit.FreeSlots(d.v.describe(p, j.Pool, now, d.since(now)))
	return d.v.waits.crowd(in, d.v.waits.own[in]+joining, free)
}

// stand returns when the job has left the line, its patience is over or ctx has
// ended.
func (w *waiter) stand(ctx context.Context) {
	timer := time.NewTimer(w.patience)
	defer timer.Stop()
	select {
	case <-w.placed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// advance sends the jobs that wait in a pool and for which there is room now; d.mu
// is held.
func (d *Director) advance(p *pool) {
	d.offer(p, &p.line)
	for _, s := range p.shards {
		d.offer(p, &s.line)
	}
}

// offer sends the jobs of a line for which there is room now; d.mu is held.
func (d *Director) offer(p *pool, l *await.Queue[*waiter]) {
	l.SendInOrder(func(w *await.Request[*waiter]) (sent, more bool) {
		j, how := w.Value.job, w.Value.how
		c := d.crowd(0, p, j, how)
		v, dec := d.place(j, trial{output: j.Output, behind: c.Blocked(), part: c.Share(), shard: how.shard, zone: how.zone})
		if dec.Endpoint < 0 {
			// One that waits for its prompt's sake keeps no other from a slot.
			return false, dec.Reason != admit.Full
		}
		w.Value.visit, w.Value.dec = v, dec
		d.v.waits.count(tierIn{j.Pool.Name, j.Tier}, -1)
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
