package direct

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/logs"
	"lycheepond/core/rest"
	"lycheepond/core/waitq"
	"lycheepond/core/wire"
)

// errResting reports that a request was placed at an endpoint before it asked for a rest.
var errResting = errors.New("direct: the endpoint has asked for a rest: send the request to another one")

// noRests stands for entries that were asked for no rest.
var noRests rest.Tracker

// restsOf returns the rests that endpoints have asked an entry for; the empty name stands for
// this entry. Only those of this entry may be changed.
func (v *view) restsOf(entry string) *rest.Tracker {
	if entry == "" {
		return &v.rests
	}
	if r := v.peerRests[entry]; r != nil {
		return r
	}
	return &noRests
}

// observeRest records the rest that the head of an answer asks for. The caller holds d.mu.
func (d *Director) observeRest(a *attempt, m Meta) {
	if !m.HasRest {
		return
	}
	now, id := d.sinceStart(time.Now()), a.start.ID()
	switch d.view.rests.Ask(now, id, m.Rest, waitq.FixedDraw(d.cfg.Addr, a.id)) {
	case rest.Rejected:
		d.cfg.Metrics.Counter("rests_rejected").Inc(1)
	case rest.Begun:
		d.cfg.Metrics.Counter("rests").Inc(1)
		logs.Info(d.cfg.Log, logs.EventEndpointRests, zap.String("endpoint", a.id), zap.Duration("asked", m.Rest), zap.Duration("left", d.view.rests.Left(now, id)))
	}
}

// sweepRests forgets rests that have ended. The caller holds d.mu.
func (v *view) sweepRests(now time.Duration) {
	v.rests.Sweep(now)
	for peer, r := range v.peerRests {
		if r.Sweep(now); r.Empty() {
			delete(v.peerRests, peer)
		}
	}
}

// refusal returns the result of a job that is refused. Its caller is to return after
// retryAfter, or later if all usable endpoints of the pool rest.
func (d *Director) refusal(j *Job, retryAfter time.Duration, reason string) Result {
	res := Result{Outcome: Refused, RetryAfter: retryAfter, Reason: reason}
	if wait, returnDelay := d.restWait(j); wait > 0 {
		res.RetryAfter, res.RefusedUntilRetry = max(retryAfter, wait+returnDelay), true
	}
	return res
}

// restWait returns the time until the first endpoint ends its rest if all usable endpoints of
// a job's pool rest, zero if they do not, and how much later than that its caller is to return.
func (d *Director) restWait(j *Job) (wait, returnDelay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view.rests.Empty() {
		return 0, 0
	}
	now := time.Now()
	_, knownEntries := d.cfg.EntryCounts()
	p := d.view.pool(j.Pool.Name, d.cfg.RetryBudget, knownEntries)
	r := d.placementRequest(j, p, now)
	dec := admit.Decide(r, d.view.describePool(p, j.Pool, now, d.sinceStart(now)))
	return dec.RestWait, rest.ReturnDelay(r.TierRank, r.TierCount, waitq.FixedDraw(j.ID, ""))
}

// maxQueueTime returns how long a job may be queued for which dec found no room. A rest ends
// at a known time, so a job waits for that as long as it can still meet its target.
func maxQueueTime(j *Job, now time.Time, dec admit.Decision) time.Duration {
	untilTarget, service := j.firstEventDue().Sub(now), dec.FirstEvent-dec.SlotWait
	maxWait := waitq.MaxWait(j.Route.Target, untilTarget, service)
	if dec.RestWait == 0 {
		return maxWait
	}
	return min(untilTarget-service, dec.RestWait+maxWait)
}

// reserveAfterRest queues a job whose placement found that all usable endpoints rest, and
// returns the attempt for which it leaves the queue, or nil if it cannot wait that long. It
// takes a retry from the budget unless free is set.
func (t *task) reserveAfterRest(a *attempt, free bool) *attempt {
	d := t.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if !free && !a.pool.budget.Spend() {
		return nil
	}
	ctx, release := d.admissionContext(t.ctx, t.job)
	defer release()
	next, dec := d.placeOrWait(ctx, t.job, a.pool, queueOptions{mayQueue: true})
	if dec.Endpoint >= 0 {
		return next
	}
	if !free {
		a.pool.budget.Refund()
	}
	return nil
}

// restReports returns the rests of this entry for a tally, if other entries place its
// requests: the changed ones, or with resend all of them. The caller holds d.mu.
func (d *Director) restReports(resend bool) []wire.Rest {
	_, knownEntries := d.cfg.EntryCounts()
	if d.view.rests.Empty() || !d.usesShardOwners(knownEntries) {
		return nil
	}
	var out []wire.Rest
	for _, r := range d.view.rests.Reports(d.sinceStart(time.Now()), resend) {
		out = append(out, wire.Rest{Start: r.Endpoint, LeftMS: toMS(r.Left)})
	}
	return out
}

// mergeRests records the rests that endpoints have asked a peer for. restarted is set for the
// first tally of the peer's process. The caller holds d.mu.
func (d *Director) mergeRests(peer string, restarted bool, reports []wire.Rest) {
	v := d.view
	if restarted {
		delete(v.peerRests, peer)
	}
	now := d.sinceStart(time.Now())
	for _, r := range reports {
		if v.peerRests[peer] == nil {
			v.peerRests[peer] = new(rest.Tracker)
		}
		v.peerRests[peer].Set(now, r.Start, fromMS(r.LeftMS))
	}
}
