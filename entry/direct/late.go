package direct

import (
	"time"

	"lycheepond/core/admit"
	"lycheepond/core/meter"
	"lycheepond/core/resv"
	"lycheepond/core/waitq"
	"lycheepond/core/wire"
)

// lateWork is what the owner of a shard knows of refused callers and of requests that can no
// longer meet their targets.
type lateWork struct {
	book resv.Book
	// queue holds the waiting late work, by tier, then by the time of the first attempt.
	queue waitq.Queue[*waiter]
	// placed is the rate at which late work is placed.
	placed resv.Rate
	// slotInterval is the average time between two slots of the shard becoming free, as of the
	// last refusal; zero if it is not known.
	slotInterval time.Duration
}

// holdTime returns how long a job is expected to hold its slot.
func (p *pool) holdTime(j *Job) time.Duration {
	if j.Pool.Engine {
		return p.learner.Pace("").HoldTime(j.PromptTokens, j.OutputTokens)
	}
	return p.learner.Pace("").FirstEvent
}

// firstEventTime returns the expected time to the first event of a job that gets a free slot.
func (p *pool) firstEventTime(j *Job) time.Duration {
	if j.Pool.Engine {
		return p.learner.Pace("").HoldTime(j.PromptTokens, 0)
	}
	return p.learner.Pace("").FirstEvent
}

// latePosition returns the place of a job in the queue of late work.
func (d *Director) latePosition(j *Job) waitq.Priority {
	at := j.firstAt
	if at.IsZero() {
		at = j.AcceptedAt
	}
	return waitq.Priority{Tier: j.Tier, TargetAt: d.sinceStart(at)}
}

// describeLate returns what is known about a job that would wait as late work. The caller holds
// d.mu.
func (d *Director) describeLate(j *Job, p *pool, s *poolShard, now time.Time) resv.Late {
	return resv.Late{
		Ahead: s.late.queue.CountAhead(d.latePosition(j)), PlacedPerSecond: s.late.placed.PerSecond(d.sinceStart(now)), SlotInterval: s.late.slotInterval,
		Target: j.Route.Target, TimeLeft: min(j.End().Sub(now), j.silenceEnd().Sub(now)), HoldTime: p.holdTime(j),
	}
}

// placeReturnLate places or queues a job whose caller has returned, but not in time for its target, or
// refuses it with finality. The caller holds d.mu.
func (d *Director) placeReturnLate(j *Job, p *pool, opts queueOptions, a *attempt, dec admit.Decision, needsRate bool) (*attempt, admit.Decision, *waiter) {
	late := d.describeLate(j, p, opts.shard, time.Now())
	late.NeedsRate = needsRate
	a, dec, w := d.placeLate(j, p, opts, a, dec, late)
	switch {
	case w != nil:
	case dec.Endpoint >= 0:
		d.recordServedReturn(j, p, a)
	default:
		d.refuseReturn(j, p, a, resv.None)
	}
	return a, dec, w
}

// refuseReturn records that a job whose caller has returned is refused, with finality if the plan
// is resv.None.
func (d *Director) refuseReturn(j *Job, p *pool, a *attempt, plan resv.Plan) {
	a.placement.Plan, a.placement.Returned = plan, time.Since(j.firstAt)
	d.countReturn(p, "returns_refused", 1)
}

// placeLate places a job as late work or queues it; otherwise it returns the refusal a and dec.
// The caller holds d.mu.
func (d *Director) placeLate(j *Job, p *pool, opts queueOptions, a *attempt, dec admit.Decision, late resv.Late) (*attempt, admit.Decision, *waiter) {
	s, now := opts.shard, time.Now()
	if s.queue.Len()+s.late.queue.Len() == 0 && d.lateRoom(p, s, j, now) > 0 {
		next, nextDec := d.placeJob(j, placementOptions{outputTokens: j.OutputTokens, entryShare: 1, shard: s, from: opts.from, late: true})
		if nextDec.Endpoint >= 0 {
			d.recordLatePlaced(p, s, now)
			return next, nextDec, nil
		}
		a, dec = next, nextDec
		if dec.Reason == admit.TooLong {
			return a, dec, nil
		}
	}
	maxWait := late.MaxWait()
	if maxWait == 0 {
		return a, dec, nil
	}
	opts.late = true
	w := &waiter{job: j, options: opts, queuedAt: now, maxWait: maxWait, dispatched: make(chan struct{}), attempt: a, decision: dec}
	w.request = s.late.queue.Add(w, d.latePosition(j))
	d.gaugeLate(p)
	return nil, admit.Decision{}, w
}

// recordLatePlaced records that late work was placed.
func (d *Director) recordLatePlaced(p *pool, s *poolShard, now time.Time) {
	s.late.placed.Add(d.sinceStart(now))
	d.countReturn(p, "late_placed", 1)
}

// lateRoom returns how many slots of a shard late work may take now. The caller holds d.mu.
func (d *Director) lateRoom(p *pool, s *poolShard, j *Job, now time.Time) int {
	c := d.view.describeEndpoints(p, s.endpoints, sender{zone: d.view.zone}, j.Pool, now, d.sinceStart(now))
	return resv.LateRoom(admit.UsableSlots(c), admit.FreeSlots(c))
}

// dispatchLate dispatches the late work of a shard for which there is room now, unless requests
// wait that can meet their targets. The caller holds d.mu.
func (d *Director) dispatchLate(p *pool, s *poolShard) {
	if s.late.queue.Len() == 0 || s.queue.Len() > 0 {
		return
	}
	now, room := time.Now(), -1
	s.late.queue.SendInOrder(func(r *waitq.Request[*waiter]) (sent, more bool) {
		w := r.Value
		if room < 0 {
			room = d.lateRoom(p, s, w.job, now)
		}
		if room == 0 {
			return false, false
		}
		a, dec := d.placeJob(w.job, placementOptions{outputTokens: w.job.OutputTokens, entryShare: 1, shard: s, from: w.options.from, late: true})
		if dec.Endpoint < 0 {
			return false, dec.Reason != admit.Full || dec.RestWait > 0
		}
		room--
		w.attempt, w.decision = a, dec
		d.recordLatePlaced(p, s, now)
		close(w.dispatched)
		return true, true
	})
}

// gaugeLate updates the gauge of waiting late work.
func (d *Director) gaugeLate(p *pool) {
	n := 0
	for _, s := range p.shards {
		n += s.late.queue.Len()
	}
	d.cfg.Metrics.Gauge("late_queue", meter.Label{Key: "pool", Value: p.name}).Update(int64(n))
}

// leaveLateQueue removes a job from the queue of late work, if it is still there, and returns the
// outcome of its wait. The caller holds d.mu.
func (d *Director) leaveLateQueue(w *waiter, p *pool) (*attempt, admit.Decision) {
	j, isReturn := w.job, !w.job.firstAt.IsZero()
	isRefused := w.options.shard.late.queue.Remove(w.request)
	d.gaugeLate(p)
	a, dec := w.attempt, w.decision
	a.placement.QueuedFor, a.placement.Held = time.Since(w.queuedAt), time.Since(w.queuedAt)
	switch {
	case isReturn && isRefused:
		d.refuseReturn(j, p, a, resv.None)
	case isReturn:
		d.recordServedReturn(j, p, a)
	}
	return a, dec
}

// sendHold tells the peer that its request waits for longer than the peer expects, if it does.
// The caller holds Director's mutex.
func (s *Session) sendHold(id uint64, w *waiter) {
	if w.options.late || w.maxWait > waitq.MaxWait(w.job.Route.Target, w.job.firstEventDue().Sub(w.queuedAt), 0) {
		// If the link cannot take the message, the link ends and with it the session.
		_ = s.reply(&wire.PlaceHold{ID: id, MaxWaitUS: w.maxWait.Microseconds()})
	}
}

// HandlePlaceHold extends the wait for an owner's answer to a placement request.
func (d *Director) HandlePlaceHold(owner string, m *wire.PlaceHold) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pending := d.pendingPlacements[m.ID]
	if pending == nil || pending.owner != owner || m.MaxWaitUS <= 0 {
		return
	}
	select {
	case pending.hold <- min(time.Duration(m.MaxWaitUS)*time.Microsecond, maxHold):
	default:
	}
}

// maxHold bounds the wait that an owner may ask for: more than any owner of this version does.
const maxHold = 5 * time.Second
