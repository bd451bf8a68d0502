package direct

import (
	"cmp"
	"math"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/canary"
	"lycheepond/core/drain"
	"lycheepond/core/grace"
	"lycheepond/core/health"
	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/poison"
	"lycheepond/core/waitq"
	"lycheepond/core/wire"
)

// yieldsSlot reports whether the entry leaves a free slot of an endpoint to other entries with
// queued requests. It does not yield the slots that its own requests have freed and that no
// other entry knows of yet.
func (d *Director) yieldsSlot(e *endpoint, freeSlots int, entryShare float64, now time.Time) bool {
	if entryShare >= 1 || e.ownWork.requests < e.reportedRequests {
		return false
	}
	return waitq.Draw(d.cfg.Addr, e.ID, d.sinceStart(now)) >= entryShare*float64(max(freeSlots, 1))
}

// placementOptions says how a job is to be placed.
type placementOptions struct {
	// avoidID is the endpoint that has failed the job, empty if there is none.
	avoidID string
	// version is the version at which the job must run, unless the job itself has one.
	version boundVersion
	// outputTokens is how many output tokens are still expected.
	outputTokens int
	// entryShare is this entry's share of the queued requests.
	entryShare float64
	// othersFirst is set if other requests go first.
	othersFirst bool
	// needsRoom is set if the job may be placed only at a usable endpoint other than avoidID
	// that has room for a new request.
	needsRoom bool
	// shard is the shard to place the job in, nil for the whole pool.
	shard *poolShard
	// from is the entry for which a shard's owner places the job.
	from sender
	// late is set if the job can no longer meet its target. It is placed only in a free slot.
	late bool
}

// placeJob chooses an endpoint for a job and counts the job there. If it refuses the job, the
// returned attempt holds only what the refusal was based on. The caller holds d.mu.
func (d *Director) placeJob(j *Job, opts placementOptions) (*attempt, admit.Decision) {
	now := time.Now()
	reachableEntries, knownEntries := d.cfg.EntryCounts()
	p := d.view.pool(j.Pool.Name, d.cfg.RetryBudget, knownEntries)
	req := d.placementRequest(j, p, now)
	req.OthersFirst, req.ExactCounts = opts.othersFirst, opts.shard != nil
	if j.Pool.Engine {
		req.OutputTokens = opts.outputTokens
	}
	j.share.limitWait(&req)
	endpoints, from := p.endpoints, sender{zone: d.view.zone}
	if opts.shard != nil {
		endpoints, from = opts.shard.endpoints, opts.from
	}
	version := cmp.Or(j.version, opts.version)
	if version.isSet {
		endpoints = d.view.endpointsAt(p.name, version.version)
	}
	for i, e := range endpoints {
		if e.ID == opts.avoidID {
			req.AvoidEndpoint = i
		}
	}
	if opts.late {
		req.UntilTarget, req.Target = math.MaxInt64, 0
	}
	if opts.avoidID != "" {
		// A job that was admitted once is not refused for its second attempt: its caller has
		// waited already.
		req.UntilTarget = math.MaxInt64
		if !opts.needsRoom {
			req.Target = math.MaxInt64
		}
	}
	candidates := d.view.describeEndpoints(p, endpoints, from, j.Pool, now, d.sinceStart(now))
	for i, e := range endpoints {
		candidates[i].Bias = waitq.FixedDraw(d.cfg.Addr, e.ID)
		// A job that the owner of a shard places waits for its connection once it is placed, because
		// the owner does not know the connections of the other entries.
		candidates[i].NoConnection = opts.shard == nil && d.hasNoConn(e, j.Pool)
		candidates[i].YieldSlots = d.yieldsSlot(e, candidates[i].Slots-candidates[i].Requests, opts.entryShare, now)
	}
	dec := admit.Decide(req, candidates)
	d.recordShortConns(endpoints, candidates, dec)
	if opts.needsRoom && dec.Endpoint >= 0 && (!candidates[dec.Endpoint].Usable || dec.Endpoint == req.AvoidEndpoint) {
		// If no other endpoint is usable, the late one is as good as any.
		dec = admit.Decision{Endpoint: -1, FirstEvent: dec.FirstEvent, SlotWait: dec.SlotWait, Reason: admit.NoEndpoint}
	}
	if dec.Endpoint < 0 {
		return &attempt{placement: Placement{PredictedFirst: dec.FirstEvent, PredictedWait: dec.SlotWait, ReachableEntries: reachableEntries, KnownEntries: knownEntries}}, dec
	}
	a := d.startAttempt(j, p, endpoints[dec.Endpoint], candidates[dec.Endpoint], req, dec, now)
	a.required = version
	return a, dec
}

// placementRequest returns what placement needs to know of a job.
func (d *Director) placementRequest(j *Job, p *pool, now time.Time) admit.Request {
	req := admit.Request{
		TierRank: p.tierRank(j.Tier), TierCount: len(p.tiers), Target: j.Route.Target, UntilTarget: j.firstEventDue().Sub(now), UntilDeadline: j.End().Sub(now), AvoidEndpoint: -1,
	}
	if j.Pool.Engine {
		req.PromptTokens, req.OutputTokens = j.PromptTokens, j.OutputTokens
	}
	return req
}

// startAttempt counts a job at the endpoint that was chosen for it. The caller holds d.mu.
func (d *Director) startAttempt(j *Job, p *pool, e *endpoint, chosen admit.Endpoint, req admit.Request, dec admit.Decision, now time.Time) *attempt {
	reachableEntries, knownEntries := d.cfg.EntryCounts()
	a := &attempt{
		d: d, pool: p, endpoint: e, id: e.ID, start: e.start(), sentAddr: e.Addr, isOnlyEndpoint: len(p.endpoints) < 2, sentAt: now,
		hadFreeSlot: chosen.Requests < chosen.Slots, promptAhead: chosen.PromptTokens + req.PromptTokens,
		predictedWait: dec.SlotWait, predictedService: dec.FirstEvent - dec.SlotWait,
		placement: Placement{Endpoint: e.ID, Version: e.Version, PredictedFirst: dec.FirstEvent, PredictedWait: dec.SlotWait, RequestsAhead: chosen.Requests, PromptTokensAhead: chosen.PromptTokens + req.PromptTokens, ReachableEntries: reachableEntries, KnownEntries: knownEntries},
		work:      jobWork(j, req.OutputTokens), suspect: j.suspect, route: j.Route.Name, version: e.Version,
	}
	a.placement.Slowdown, a.sentClock = chosen.Slowdown, a.slowdownClock(now)
	a.placement.PeerReportAge = d.view.peerReportAge(e.ID, now)
	a.tookToken = chosen.Limited
	if a.tookToken {
		d.view.limits.Take(e.startID())
	}
	d.recordPlacement(a, p, chosen)
	a.countWork(now)
	d.view.health.RecordSent(d.sinceStart(now), e.ID)
	return a
}

// jobWork returns the work that an attempt of a job counts for; output is the expected output
// in tokens.
func jobWork(j *Job, output int) inFlight {
	if !j.Pool.Engine {
		return inFlight{requests: 1}
	}
	return inFlight{requests: 1, promptTokens: j.PromptTokens, outputTokens: output, kvTokens: j.PromptTokens + output}
}

// countWork counts the attempt at its endpoint. The caller holds d.mu.
func (a *attempt) countWork(now time.Time) {
	if a.endpoint.ownWork.requests == 0 {
		a.endpoint.waitingSince = now
	}
	a.endpoint.ownWork.add(a.work, 1)
	a.d.view.unreportedWork[a.id] = true
}

// recordPlacement records in the metrics how old the knowledge behind a placement was, and
// whether the endpoint was full according to it.
func (d *Director) recordPlacement(a *attempt, p *pool, e admit.Endpoint) {
	label := meter.Label{Key: "pool", Value: p.name}
	meter.UpdateMS(d.cfg.Metrics.Histogram("view_age_ms", label), a.placement.PeerReportAge)
	if e.Requests >= e.Slots {
		d.cfg.Metrics.Counter("placed_beyond_slots", label).Inc(1)
	}
}

// reserve places a job for an attempt that follows a and takes a retry from the budget for it,
// unless free is set. If the placement or the retry is missing, it keeps neither and returns
// what is missing.
func (d *Director) reserve(j *Job, a *attempt, opts placementOptions, free bool) (*attempt, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !free && !a.pool.budget.Spend() {
		return nil, "no repeat left in the budget"
	}
	next, dec := d.placeJob(j, opts)
	if dec.Endpoint >= 0 {
		return next, ""
	}
	if !free {
		a.pool.budget.Refund()
	}
	return nil, dec.Reason.String()
}

// cancelReserved cancels what reserve returned. The retry goes back to the budget unless the
// job was sent.
func (d *Director) cancelReserved(a *attempt) {
	if a.exchange != nil && a.exchange.cancelAndWait() {
		a.abandon()
		return
	}
	a.withdraw()
	d.returnRetry(a)
}

// returnRetry returns a retry that was not needed to the budget.
func (d *Director) returnRetry(a *attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.pool.budget.Refund()
}

// earnRetry credits the pool's retry budget for a first attempt.
func (d *Director) earnRetry(a *attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.pool.budget.Credit(1)
}

// attempt is one dispatch of a job to an endpoint.
type attempt struct {
	d    *Director
	pool *pool
	// endpoint is accessed only with d.mu held; id and sentAddr are copies of its ID and
	// address from the time of the placement.
	endpoint     *endpoint
	id, sentAddr string
	// start is the process of the endpoint that the attempt was placed at.
	start drain.Start
	// isOnlyEndpoint is set if there was no other endpoint to go to.
	isOnlyEndpoint bool
	sentAt         time.Time
	// hadFreeSlot is set if there was a free slot when the attempt was sent. promptAhead is
	// how many prompt tokens had to be processed before its first event.
	hadFreeSlot bool
	promptAhead int
	// predictedWait is the predicted wait for a slot, predictedService the rest of the
	// predicted time to the first event.
	predictedWait, predictedService time.Duration
	placement                       Placement
	// kind is the kind of the answer and expected its work, set when the request is sent.
	kind     answerKind
	expected grace.Work
	// work is what the attempt still counts for at the endpoint.
	work inFlight
	// firstAt is when the first part of the answer's body arrived, lastAt when the latest one
	// did. laterTokens counts the output tokens after the first part.
	firstAt, lastAt time.Time
	laterTokens     int
	// headSlowdown is how many times as long as usual work took at the endpoint by the head of
	// the answer, zero if it did not say. sentClock, firstClock and lastClock are the values of
	// slowdownClock at sentAt, firstAt and lastAt.
	headSlowdown                     float64
	sentClock, firstClock, lastClock time.Duration
	// received is how many bytes of the answer's body have arrived.
	received int64
	// wasSilent is set if, in the latest wait, the endpoint sent nothing for too long while
	// this process was running.
	wasSilent bool
	ended     bool
	// exchange is set if the attempt was sent as a replacement.
	exchange *exchange
	// ownerPlacement is set while another entry counts the attempt.
	ownerPlacement *ownerPlacement
	// suspect is the job's, zero for a job of another entry. hasPassed is set once the run has
	// got past its beginning.
	suspect   poison.Request
	hasPassed bool
	// tookToken is set if the attempt has taken a token of the endpoint's rate limit, isTrial
	// if the endpoint's version is on trial.
	tookToken, isTrial bool
	// route is the name of the job's route, empty for a job of another entry. version is the
	// endpoint's version when the attempt was sent.
	route, version string
	// required is the version at which the request must run. isBound is set once bindVersion has
	// checked the endpoint's version, isConfirmed once it has done so after listDelay.
	required             boundVersion
	isBound, isConfirmed bool
	// wasUnlisted is set if the endpoint was not in the instance list when it was chosen, so
	// that its version was not known.
	wasUnlisted bool
}

// recordHead records that the answer's head has arrived.
func (a *attempt) recordHead(m Meta) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	a.endpoint.lastByteAt = time.Now()
	if m.Slots > 0 && a.endpoint.Slots == 0 {
		a.endpoint.Slots = m.Slots
	}
	if !m.WrongEndpoint {
		a.observeLimit(m)
		a.observeLoad(time.Now(), m)
	}
	if !m.WrongEndpoint && !m.NotRun {
		a.countReached()
	}
}

// recordProgress records that output tokens have arrived.
func (a *attempt) recordProgress(tokens int) {
	now := time.Now()
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	a.endpoint.lastByteAt = now
	defer a.reportToOwner(now, tokens, wire.PlaceOpen)
	if a.firstAt.IsZero() {
		a.firstAt, a.firstClock = now, a.slowdownClock(now)
		a.placement.TimeToFirst = now.Sub(a.sentAt)
		a.observeSample(now, canary.Sample{Kind: canary.FirstEvent, Elapsed: a.placement.TimeToFirst})
		a.releaseWork(inFlight{promptTokens: a.work.promptTokens})
		defer a.d.dispatchQueued(a.pool)
		if a.hadFreeSlot && a.work.kvTokens > 0 {
			a.pool.learner.ObserveFirstEvent(a.endpoint.ID, a.promptAhead, now.Sub(a.sentAt), a.firstEventSlowdown(now))
		} else if a.work.kvTokens > 0 {
			a.pool.learner.ObserveWait(a.predictedWait, now.Sub(a.sentAt)-a.predictedService)
		}
	} else {
		a.laterTokens += tokens
	}
	a.lastAt, a.lastClock = now, a.slowdownClock(now)
	a.recordPassed(now)
	a.releaseWork(inFlight{outputTokens: min(tokens, a.work.outputTokens)})
}

// releaseWork subtracts part from the work of the attempt and, unless another entry counts
// the attempt, from that of its endpoint. The caller holds d.mu.
func (a *attempt) releaseWork(part inFlight) {
	a.work.add(part, -1)
	if a.ownerPlacement != nil {
		return
	}
	if part.requests != 0 {
		a.endpoint.noteCounted(time.Now())
	}
	a.endpoint.ownWork.add(part, -1)
	if part.requests != 0 || part.promptTokens != 0 || a.endpoint.outputDrifted() {
		a.d.view.unreportedWork[a.endpoint.ID] = true
	}
}

// outputDrifted reports whether the outstanding output of the endpoint differs too much from
// the value last reported to the peers.
func (e *endpoint) outputDrifted() bool {
	drift := e.reportedOutput - e.ownWork.outputTokens
	return max(drift, -drift) > e.reportedOutput/driftDivisor+driftTokens
}

// finish ends the attempt with a result. Calls after the first one have no effect.
func (a *attempt) finish(r health.Result) {
	if !a.markEnded() {
		return
	}
	switch a.recordResult(r) {
	case health.BecameUnusable:
		logs.Warn(a.d.cfg.Log, logs.EventEndpointAway, zap.String("endpoint", a.id), zap.String("result", r.String()))
	case health.BecameUsable:
		logs.Info(a.d.cfg.Log, logs.EventEndpointBack, zap.String("endpoint", a.id))
	}
}

// markEnded marks the attempt as ended and reports whether it had not ended before.
func (a *attempt) markEnded() bool {
	wasEnded := a.ended
	a.ended = true
	return !wasEnded
}

// recordResult applies a result to everything that is known of the endpoint.
func (a *attempt) recordResult(r health.Result) health.Change {
	now := time.Now()
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	a.observePace(now, r)
	if r == health.Success {
		a.recordAnswerTime(now)
		a.d.bodyLengths.observe(a.route, a.received)
	}
	a.observeResult(now, r)
	a.releaseWork(a.work)
	a.reportToOwner(now, 0, wire.PlaceResult+uint8(r))
	change := a.d.view.health.RecordResult(a.d.sinceStart(now), a.endpoint.ID, r)
	if r == health.Broken {
		a.recordLostRun()
	}
	a.d.dispatchQueued(a.pool)
	return change
}

// abandon ends an attempt without a result for the endpoint, unless its answer seems to have no
// end: whoever ended that one, it is the endpoint's failure.
func (a *attempt) abandon() {
	if a.seemsEndless() {
		a.finish(health.Broken)
		return
	}
	if !a.markEnded() {
		return
	}
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	a.observeUnfinished(time.Now())
	a.releaseAll()
}

// withdraw ends an attempt that was not sent to its endpoint.
func (a *attempt) withdraw() {
	a.abandon()
	a.returnReservations()
}

// releaseAll releases the remaining work of the attempt. The caller holds d.mu.
func (a *attempt) releaseAll() {
	a.releaseWork(a.work)
	a.reportToOwner(time.Now(), 0, wire.PlaceDropped)
	a.d.dispatchQueued(a.pool)
}

// handleDecline ends an attempt that the endpoint did not run. endpointRequests is how many
// requests the endpoint says it has, zero if it does not say.
func (a *attempt) handleDecline(endpointRequests int) {
	if !a.markEnded() {
		return
	}
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	a.d.cfg.Metrics.Counter("tries_declined").Inc(1)
	a.releaseWork(a.work)
	if a.ownerPlacement != nil {
		a.ownerPlacement.reportedRequests = endpointRequests
	}
	a.reportToOwner(time.Now(), 0, wire.PlaceDeclined)
	a.endpoint.recordDecline(time.Now(), endpointRequests, a.endpoint.Slots)
	a.d.dispatchQueued(a.pool)
}

// handleMoved ends an attempt that was declined by another endpoint, which has the address
// now.
func (a *attempt) handleMoved() {
	if !a.markEnded() {
		return
	}
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	now := time.Now()
	a.releaseWork(a.work)
	a.reportToOwner(now, 0, wire.PlaceMoved)
	a.endpoint.movedAt = now
	a.d.recordCrash(a.endpoint, "another endpoint has its address")
	logs.Warn(a.d.cfg.Log, logs.EventEndpointMoved, zap.String("endpoint", a.id), zap.String("remote", a.sentAddr))
	a.d.dispatchQueued(a.pool)
}

// handleTimeout ends an attempt that was running when its time was up. This is a fault of the
// endpoint only if it was silent for longer than allowed. After a pause of the process the
// elapsed time does not show that, because data that has arrived may not have been read yet.
func (a *attempt) handleTimeout() {
	if a.wasSilent {
		a.finish(health.Broken)
		return
	}
	a.abandon()
}
