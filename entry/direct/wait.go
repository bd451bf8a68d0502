package direct

import (
	"context"
	"time"

	"lycheepond/core/admit"
	"lycheepond/core/meter"
	"lycheepond/core/waitq"
)

// waiter is a job in the queue of its pool or of a shard.
type waiter struct {
	job     *Job
	options queueOptions
	// request is the job's item in the queue, queuedAt when it was queued and maxWait how long
	// it may stay there.
	request  *waitq.Request[*waiter]
	queuedAt time.Time
	maxWait  time.Duration
	// dispatched is closed once the job has left the queue for an endpoint; attempt and
	// decision are set before that. Until then they hold the refusal that the job gets if it
	// is not dispatched.
	dispatched chan struct{}
	attempt    *attempt
	decision   admit.Decision
	// dispatchedBefore is how many requests of its tier had been dispatched from the queues
	// of the pool when this one was queued.
	dispatchedBefore int
}

// queueOptions says where a job is placed, and whether it may be queued.
type queueOptions struct {
	// shard is nil for the whole pool.
	shard *poolShard
	// from is the entry that sends the job.
	from sender
	// mayQueue is set if the job may be queued.
	mayQueue bool
	// plansReturn is set if the caller of a refused job is told when to return. late is set
	// once the job waits as late work.
	plansReturn, late bool
}

// queueOf returns the queue of the pool, or of the shard s if it is not nil.
func (p *pool) queueOf(s *poolShard) *waitq.Queue[*waiter] {
	if s != nil {
		return &s.queue
	}
	return &p.queue
}

// admitJob places a job at once or after it has been queued, or refuses it.
func (d *Director) admitJob(ctx context.Context, j *Job) (*attempt, admit.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, knownEntries := d.cfg.EntryCounts()
	d.view.knownEntries = knownEntries
	p := d.view.pool(j.Pool.Name, d.cfg.RetryBudget, knownEntries)
	if j.version.isSet {
		// Owners of shards choose among all versions.
		return d.placeOrWait(ctx, j, p, queueOptions{mayQueue: true})
	}
	if a, dec, ok := d.placeOnTrial(j, p); ok {
		return a, dec
	}
	if d.usesShardOwners(knownEntries) {
		if a, dec, ok := d.placeInShards(ctx, j, p); ok {
			d.keepBooking(j, p, a, dec)
			return a, dec
		}
	}
	return d.placeOrWait(ctx, j, p, queueOptions{mayQueue: true})
}

// placeOrWait places a job at once or after it has been queued, or refuses it. The caller
// holds d.mu, which is released while the job is queued.
func (d *Director) placeOrWait(ctx context.Context, j *Job, p *pool, opts queueOptions) (*attempt, admit.Decision) {
	a, dec, w := d.placeOrEnqueue(j, p, opts)
	for w != nil {
		d.mu.Unlock()
		w.awaitDispatch(ctx)
		d.mu.Lock()
		a, dec, w = d.leaveQueue(w, p, ctx.Err() != nil)
	}
	return a, dec
}

// placeForTarget is placeOrEnqueue for a job that can meet its target.
func (d *Director) placeForTarget(j *Job, p *pool, opts queueOptions) (*attempt, admit.Decision, *waiter) {
	now := time.Now()
	position := d.queuePosition(j, p)
	position.Owed = p.floor.Claim(queueClass(j), position.HoldTime)
	d.askShare(j, opts.shard, &position)
	queue := p.queueOf(opts.shard)
	requestsAhead := queue.CountAhead(position)
	c := d.contention(1, p, j, opts)
	a, dec := d.placeJob(j, placementOptions{outputTokens: j.OutputTokens, othersFirst: requestsAhead > 0 || c.Blocked(), entryShare: c.Share(), shard: opts.shard, from: opts.from})
	if dec.Reason != admit.Full || !opts.mayQueue {
		p.recordService(j, position, dec.Endpoint >= 0)
		return a, dec, nil
	}
	maxWait := maxQueueTime(j, now, dec)
	if j.share.isBelow() {
		maxWait = max(maxWait, waitq.MaxWaitBelowShare(j.Route.Target, j.firstEventDue().Sub(now), dec.FirstEvent-dec.SlotWait, requestsAhead))
	}
	if expectedWait := dec.RestWait + time.Duration(requestsAhead+c.HigherTierRequests+c.SameTierRequests+1)*dec.SlotInterval; expectedWait > maxWait {
		dec.RetryAfter = max(dec.RetryAfter, expectedWait)
		p.recordService(j, position, false)
		return a, dec, nil
	}
	w := &waiter{job: j, options: opts, queuedAt: now, maxWait: maxWait, dispatched: make(chan struct{}), attempt: a, decision: dec, dispatchedBefore: p.dispatched[j.Tier]}
	w.request = queue.Add(w, position)
	j.share.wait()
	d.view.queueCounts.addOwn(poolTier{j.Pool.Name, j.Tier}, 1)
	return nil, admit.Decision{}, w
}

// queuePosition returns the sort key by which a job is queued.
func (d *Director) queuePosition(j *Job, p *pool) waitq.Priority {
	position := waitq.Priority{Tier: j.Tier, TargetAt: d.sinceStart(j.firstEventDue()), Returned: !j.firstAt.IsZero()}
	if j.Pool.Engine {
		position.HoldTime = p.learner.Pace("").HoldTime(j.PromptTokens, j.OutputTokens)
	}
	return position
}

// queueClass returns the class of a job, within which sizes are compared. Owners of shards know
// no routes, but the routes of a tier differ by their targets.
func queueClass(j *Job) waitq.Class { return waitq.Class{Tier: j.Tier, Target: j.Route.Target} }

// recordService counts for the pool's floor that a job was served or refused.
func (p *pool) recordService(j *Job, position waitq.Priority, served bool) {
	p.floor.Record(queueClass(j), position.HoldTime, position.Owed, served)
	j.share.end(served)
}

// leaveQueue removes a job from the queue, if it is still there, and returns the outcome of
// its wait: the placement, the refusal or the waiter of its next wait. callerLeft is set if
// nobody waits for the outcome. The caller holds d.mu.
func (d *Director) leaveQueue(w *waiter, p *pool, callerLeft bool) (*attempt, admit.Decision, *waiter) {
	if w.options.late {
		a, dec := d.leaveLateQueue(w, p)
		return a, dec, nil
	}
	if p.queueOf(w.options.shard).Remove(w.request) {
		d.view.queueCounts.addOwn(poolTier{w.job.Pool.Name, w.job.Tier}, -1)
		w.attempt.placement.QueuedFor = time.Since(w.queuedAt)
		p.recordService(w.job, w.request.Priority(), false)
		passed := p.dispatched[w.job.Tier] - w.dispatchedBefore
		d.cfg.Metrics.Histogram("queue_passed", meter.Label{Key: "pool", Value: p.name}).Update(int64(passed))
		if w.options.plansReturn && !callerLeft {
			return d.planRefused(w.job, p, w.options, w.attempt, w.decision)
		}
		return w.attempt, w.decision, nil
	}
	w.attempt.placement.QueuedFor = w.attempt.sentAt.Sub(w.queuedAt)
	if !w.job.firstAt.IsZero() {
		d.recordServedReturn(w.job, p, w.attempt)
	}
	return w.attempt, w.decision, nil
}

// contention returns the requests that compete with a job for free slots. In a shard there are
// none, because all requests for it wait in its queue. joining is one if the job is not in the
// queue yet, otherwise zero. The caller holds d.mu.
func (d *Director) contention(joining int, p *pool, j *Job, opts queueOptions) waitq.Contention {
	if opts.shard != nil {
		return waitq.Contention{OwnRequests: 1}
	}
	now := time.Now()
	key := poolTier{j.Pool.Name, j.Tier}
	free := admit.FreeSlots(d.view.describePool(p, j.Pool, now, d.sinceStart(now)))
	return d.view.queueCounts.contention(key, d.view.queueCounts.own[key]+joining, free)
}

// awaitDispatch returns when the job has left the queue, its longest wait is over or ctx has
// ended.
func (w *waiter) awaitDispatch(ctx context.Context) {
	timer := time.NewTimer(w.maxWait)
	defer timer.Stop()
	select {
	case <-w.dispatched:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// dispatchQueued dispatches the queued jobs of a pool for which there is room now. The caller
// holds d.mu.
func (d *Director) dispatchQueued(p *pool) {
	d.dispatchFrom(p, &p.queue)
	for _, s := range p.shards {
		d.dispatchFrom(p, &s.queue)
		d.dispatchLate(p, s)
	}
}

// dispatchFrom dispatches the jobs of a queue for which there is room now. The caller holds
// d.mu.
func (d *Director) dispatchFrom(p *pool, queue *waitq.Queue[*waiter]) {
	queue.SendInOrder(func(r *waitq.Request[*waiter]) (sent, more bool) {
		j, opts := r.Value.job, r.Value.options
		c := d.contention(0, p, j, opts)
		a, dec := d.placeJob(j, placementOptions{outputTokens: j.OutputTokens, othersFirst: c.Blocked(), entryShare: c.Share(), shard: opts.shard, from: opts.from})
		if dec.Endpoint < 0 {
			// A job that waits because of its prompt or its version, or because the endpoints
			// rest for the entry that sends it, does not keep others from a slot.
			return false, dec.Reason != admit.Full || j.version.isSet || dec.RestWait > 0 && opts.shard != nil
		}
		r.Value.attempt, r.Value.decision = a, dec
		d.view.queueCounts.addOwn(poolTier{j.Pool.Name, j.Tier}, -1)
		p.dispatched[j.Tier]++
		p.recordService(j, r.Priority(), true)
		close(r.Value.dispatched)
		return true, true
	})
}

// dispatchAllQueued dispatches the queued jobs of all pools for which there is room now. The
// caller holds d.mu.
func (d *Director) dispatchAllQueued() {
	for _, p := range d.view.pools {
		d.dispatchQueued(p)
	}
}
