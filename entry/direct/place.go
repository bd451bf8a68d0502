package direct

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/canary"
	"lycheepond/core/drain"
	"lycheepond/core/logs"
	"lycheepond/core/relay"
	"lycheepond/core/resv"
	"lycheepond/core/route"
	"lycheepond/core/shard"
	"lycheepond/core/waitq"
	"lycheepond/core/wire"
)

const (
	// ownerCacheTTL is how long the computed owners of shards stay valid.
	ownerCacheTTL = 100 * time.Millisecond
	// ownerAnswerTimeout is how long an owner's answer is awaited, in addition to the time for
	// which the request may be queued there.
	ownerAnswerTimeout = 60 * time.Millisecond
	// maxShards bounds the shards in which a placement is requested for one request, one after
	// the other; maxShardsTopTier is the bound for a request of the highest tier. After a
	// refusal the next shard follows only if no more than immediateRefusal has passed: a
	// request that has waited longer has no time left for another queue.
	maxShards        = 2
	maxShardsTopTier = 4
	immediateRefusal = 20 * time.Millisecond
	// lateOwnerBackoff is how long an owner that did not answer gets no placement requests.
	lateOwnerBackoff = 500 * time.Millisecond
	// reportDivisor and reportInterval determine when further output is reported to an owner:
	// once more than the expected tokens divided by reportDivisor have arrived, or after
	// reportInterval.
	reportDivisor  = 4
	reportInterval = 300 * time.Millisecond
)

// Peers is what a Director needs in order to have other entries place its requests. With the
// zero value it places all of them itself.
type Peers struct {
	// Self is the name of this entry.
	Self string
	// Entries returns the reachable entries, including this one.
	Entries func() []relay.Entry
	// IsKnown reports whether an entry may be running. If nil, all may.
	IsKnown func(entry string) bool
	// KeepLinks keeps links open to the given entries.
	KeepLinks func(entries []string)
	// Send sends a message to an entry; it reports false if there is no link to it.
	Send func(entry string, m wire.Message) bool
	// SendBookings is like Send for bookings, which entries of older versions can't read. If nil,
	// none are sent.
	SendBookings func(entry string, m wire.Message) bool
	// SendOrigins is like Send for messages about streams' origins. If nil, this entry tells
	// nobody where streams began and asks nobody.
	SendOrigins func(entry string, m wire.Message) bool
}

// ownerPlacement is the placement of an attempt that another entry counts.
type ownerPlacement struct {
	owner string
	id    uint64
	// expectedOutput is how many output tokens were expected, unreportedTokens how many have
	// arrived since the last report to the owner at reportedAt.
	expectedOutput, unreportedTokens int
	reportedAt                       time.Time
	// reportedRequests is how many requests the endpoint said it had when it declined the
	// attempt.
	reportedRequests int
	// slowdownPercent is by how much the owner scaled its predictions for the endpoint when it
	// placed the attempt; zero if the owner takes no reports of stated loads.
	slowdownPercent int
}

// pendingPlacement is a placement request without an answer.
type pendingPlacement struct {
	owner string
	// answer receives the answer; it is closed if the link to the owner ends.
	answer chan *wire.PlaceReply
	// hold receives the longest wait of a request that the owner holds.
	hold chan time.Duration
}

// reportToOwner reports the attempt's output or end to the owner of its placement, if there is
// one. end is wire.PlaceOpen unless the attempt has ended. The caller holds d.mu.
func (a *attempt) reportToOwner(now time.Time, tokens int, end uint8) {
	p := a.ownerPlacement
	if p == nil {
		return
	}
	p.unreportedTokens += tokens
	isFirst := p.reportedAt.IsZero()
	if end == wire.PlaceOpen && !isFirst && p.unreportedTokens*reportDivisor <= p.expectedOutput && now.Sub(p.reportedAt) < reportInterval {
		return
	}
	a.d.cfg.Peers.Send(p.owner, &wire.PlaceReport{ID: p.id, OutputTokens: uint32(p.unreportedTokens), Outcome: end, EndpointRequests: uint32(max(p.reportedRequests, 0))})
	p.unreportedTokens, p.reportedAt = 0, now
	if end != wire.PlaceOpen {
		delete(a.d.ownerAttempts[p.owner], p.id)
		a.ownerPlacement = nil
	}
}

// usesShardOwners reports whether placements are requested from the owners of shards.
func (d *Director) usesShardOwners(knownEntries int) bool {
	return d.cfg.Peers.Entries != nil && knownEntries >= d.minOwnedEntries()
}

// minOwnedEntries returns the number of entries from which on shards have owners.
func (d *Director) minOwnedEntries() int {
	return cmp.Or(d.cfg.Overload.MinOwnedEntries, shard.MinOwnedEntries)
}

// shardOwner returns the entry that owns a shard; empty if there is none. The caller holds
// d.mu.
func (d *Director) shardOwner(pool string, p *pool, k shard.Key, now time.Time) string {
	if p.owners == nil || now.Sub(p.ownersAt) > ownerCacheTTL {
		entries := d.cfg.Peers.Entries()
		p.owners, p.ownersAt = make(map[shard.Key]string, len(p.shards)), now
		for k := range p.shards {
			p.owners[k] = shard.Owner(pool, k, entries)
		}
	}
	return p.owners[k]
}

// linkedEntries returns the other entries to which this one needs links: the owners of shards and
// the keepers of streams' origins.
func (d *Director) linkedEntries() []string {
	_, knownEntries := d.cfg.EntryCounts()
	if !d.usesShardOwners(knownEntries) {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, e := range d.keeperCandidates() {
		if e.Name != d.cfg.Peers.Self {
			out = append(out, e.Name)
		}
	}
	return out
}

// ownersOfShards returns the entries that own shards of the configured pools. The caller holds
// d.mu.
func (d *Director) ownersOfShards(knownEntries int, now time.Time) map[string]bool {
	owners := make(map[string]bool)
	for _, c := range d.view.table.Config().Pools {
		p := d.view.pool(c.Name, d.cfg.RetryBudget, knownEntries)
		for k := range p.shards {
			if o := d.shardOwner(c.Name, p, k, now); o != "" {
				owners[o] = true
			}
		}
	}
	return owners
}

// shardLoads returns the known loads of those shards of a job's pool that have an owner which
// is not in backoff. The caller holds d.mu.
func (d *Director) shardLoads(p *pool, j *Job, now time.Time) []shard.Load {
	out := make([]shard.Load, 0, len(p.shards))
	for k, s := range p.shards {
		o := d.shardOwner(j.Pool.Name, p, k, now)
		if o == "" || now.Before(d.ownerBackoff[o]) {
			continue
		}
		l := shard.Load{Key: k}
		candidates := d.view.describeEndpoints(p, s.endpoints, sender{zone: d.view.zone}, j.Pool, now, d.sinceStart(now))
		l.Slots, l.FreeSlots = admit.UsableSlots(candidates), admit.FreeSlots(candidates)
		l.RequestsAhead = d.view.queueCounts.countAhead(o, poolTier{j.Pool.Name, j.Tier}, o == d.cfg.Peers.Self)
		out = append(out, l)
	}
	return out
}

// placeInShards has a job placed by the owner of a shard, or by that of another shard if the
// first has no room. It returns false if no owner has decided. The caller holds d.mu.
func (d *Director) placeInShards(ctx context.Context, j *Job, p *pool) (*attempt, admit.Decision, bool) {
	start := time.Now()
	loads := d.shardLoads(p, j, start)
	var (
		a   *attempt
		dec admit.Decision
		ok  bool
		// planned and plannedDec are the refusal with a plan for the caller's return, made at
		// plannedAt. It stands unless another shard has room.
		planned    *attempt
		plannedDec admit.Decision
		plannedAt  time.Time
	)
	plansReturn, home := d.plansReturns(j), p.homeShard(j.returnKey)
	shardLimit := maxShards
	if p.tierRank(j.Tier) == 0 {
		shardLimit = maxShardsTopTier
	}
	for round := range shardLimit {
		if len(loads) == 0 {
			break
		}
		i, mayQueue := shard.Choose(loads, d.view.zone, rand.Float64())
		opts, isHomeNext := queueOptions{mayQueue: mayQueue || round > 0}, false
		if h := slices.IndexFunc(loads, func(l shard.Load) bool { return l.Key == home }); plansReturn && h >= 0 {
			// Only the home shard lets the job wait or plans its return, after the shard that
			// appears to have room has refused it.
			if opts.mayQueue = round > 0 || loads[i].FreeSlots == 0 || i == h; opts.mayQueue {
				i, opts.plansReturn = h, true
			}
			isHomeNext = !opts.mayQueue
		}
		a, dec, ok = d.placeInShard(ctx, j, p, loads[i].Key, opts)
		isFull := dec.Reason == admit.Full || isHomeNext && dec.Reason == admit.Late
		if !ok || dec.Endpoint >= 0 || !isFull || ctx.Err() != nil || time.Since(start) > j.share.latestRefusal(j) && !isHomeNext {
			break
		}
		if !d.cfg.Overload.PlanReturns {
			// This answer is newer than what was known of the shard.
			loads[i].FreeSlots, loads[i].RequestsAhead = 0, loads[i].Slots
			continue
		}
		if a.placement.Plan == resv.None || a.placement.Returned > 0 {
			break
		}
		if a.placement.Plan.IsBooked() {
			planned, plannedDec, plannedAt = a, dec, time.Now()
		}
		loads = slices.Delete(loads, i, i+1)
	}
	if ok && planned != nil && dec.Endpoint < 0 {
		a, dec = planned, plannedDec
		dec.RetryAfter -= time.Since(plannedAt)
	}
	if ok {
		a.placement.QueuedFor = time.Since(start)
	}
	return a, dec, ok
}

// placeInShard has a job placed in a shard; opts names no shard. The caller holds d.mu.
func (d *Director) placeInShard(ctx context.Context, j *Job, p *pool, k shard.Key, opts queueOptions) (*attempt, admit.Decision, bool) {
	owner := d.shardOwner(j.Pool.Name, p, k, time.Now())
	if owner != d.cfg.Peers.Self {
		return d.requestPlacement(ctx, j, p, k, owner, opts)
	}
	s := p.shards[k]
	if s == nil {
		return nil, admit.Decision{}, false
	}
	opts.shard, opts.from = s, sender{zone: d.view.zone}
	a, dec := d.placeOrWait(ctx, j, p, opts)
	return a, dec, true
}

// requestPlacement requests a placement from the owner of a shard. The caller holds d.mu,
// which is released while the answer is awaited.
func (d *Director) requestPlacement(ctx context.Context, j *Job, p *pool, k shard.Key, owner string, opts queueOptions) (*attempt, admit.Decision, bool) {
	now := time.Now()
	d.lastPlacementID++
	id := d.lastPlacementID
	pending := &pendingPlacement{owner: owner, answer: make(chan *wire.PlaceReply, 1), hold: make(chan time.Duration, 1)}
	m := &wire.PlaceRequest{
		ID: id, Pool: j.Pool.Name, Zone: k.Zone, ShardIndex: k.Index, CustomerTier: j.Tier.Customer, RouteTier: j.Tier.Route,
		TargetUS: j.Route.Target.Microseconds(), TargetLeftUS: j.firstEventDue().Sub(now).Microseconds(), DeadlineLeftUS: j.End().Sub(now).Microseconds(), MayQueue: opts.mayQueue, Customer: j.customerName(),
	}
	if opts.plansReturn {
		m.Fingerprint = j.returnKey
		if j.Route.MaxSilence > 0 {
			m.SilenceLeftUS = j.silenceEnd().Sub(now).Microseconds()
		}
	}
	if j.Pool.Engine {
		m.PromptTokens, m.OutputTokens = uint32(max(j.PromptTokens, 0)), uint32(max(j.OutputTokens, 0))
	}
	if !d.cfg.Peers.Send(owner, m) {
		return nil, admit.Decision{}, false
	}
	d.pendingPlacements[id] = pending
	wait := ownerAnswerTimeout
	if opts.mayQueue {
		wait += waitq.MaxWait(j.Route.Target, j.firstEventDue().Sub(now), 0)
	}
	d.mu.Unlock()
	timer := time.NewTimer(wait)
	var (
		reply  *wire.PlaceReply
		heldAt time.Time
	)
	timedOut := false
	for isWaiting := true; isWaiting; {
		isWaiting = false
		select {
		case reply = <-pending.answer:
		case hold := <-pending.hold:
			wait, heldAt, isWaiting = hold+ownerAnswerTimeout, time.Now(), true
			timer.Reset(wait)
		case <-ctx.Done():
		case <-timer.C:
			timedOut = true
		}
	}
	timer.Stop()
	d.mu.Lock()
	if d.pendingPlacements[id] == pending {
		delete(d.pendingPlacements, id)
		d.cfg.Peers.Send(owner, &wire.PlaceReport{ID: id, Outcome: wire.PlaceDropped})
	} else if reply == nil {
		// The answer, or the end of the link, arrived at the same moment as the end of the
		// wait.
		reply = <-pending.answer
	}
	switch {
	case reply != nil:
		a, dec, ok := d.applyGrant(j, p, owner, reply)
		if ok && !heldAt.IsZero() {
			a.placement.Held = time.Since(heldAt)
		}
		return a, dec, ok
	case ctx.Err() != nil:
		return &attempt{}, admit.Decision{Endpoint: -1, Reason: admit.Full}, true
	case timedOut:
		d.ownerBackoff[owner] = time.Now().Add(lateOwnerBackoff)
		logs.Warn(d.cfg.Log, logs.EventOwnerLate, zap.String("peer", owner), zap.String("request_id", j.ID), zap.Duration("waited", wait))
	}
	return nil, admit.Decision{}, false
}

// applyGrant turns an owner's answer into an attempt or a refusal. It returns false if the
// owner could not decide or does not know yet that the endpoint is leaving or rests. The caller
// holds d.mu.
func (d *Director) applyGrant(j *Job, p *pool, owner string, reply *wire.PlaceReply) (*attempt, admit.Decision, bool) {
	if !reply.Decided {
		return nil, admit.Decision{}, false
	}
	reachableEntries, knownEntries := d.cfg.EntryCounts()
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	dec := admit.Decision{Endpoint: -1, FirstEvent: us(reply.FirstEventUS), SlotWait: us(reply.WaitUS), RetryAfter: us(reply.RetryAfterUS), SlotInterval: us(reply.SlotIntervalUS), Reason: admit.Reason(reply.RefusalReason)}
	a := &attempt{placement: Placement{
		Endpoint: reply.Endpoint, PredictedFirst: dec.FirstEvent, PredictedWait: dec.SlotWait, RequestsAhead: int(reply.RequestsAhead), PromptTokensAhead: int(reply.PromptTokens), ReachableEntries: reachableEntries, KnownEntries: knownEntries, Owner: owner,
		Plan: resv.Plan(reply.Plan), Returned: us(reply.FirstAgoUS),
	}}
	j.share.setFromReply(reply)
	if reply.Endpoint == "" {
		return a, dec, true
	}
	// What the endpoint states before the instance list has it is kept by its start, so that it
	// holds once the list comes.
	e, start := d.view.endpoints[reply.Endpoint], drain.Start{Endpoint: reply.Endpoint, Incarnation: reply.Incarnation}
	if e != nil {
		start = e.start()
	}
	switch {
	case !d.view.rests.Empty() && d.view.rests.Left(d.sinceStart(time.Now()), start.ID()) > 0:
		d.cfg.Peers.Send(owner, &wire.PlaceReport{ID: reply.ID, Outcome: wire.PlaceDropped})
		return nil, admit.Decision{}, false
	case e != nil && !e.Leaving && e.Pool == j.Pool.Name && d.view.rollouts.RoleOf(e.Pool, e.Version) == canary.InService:
	case e == nil && reply.RosterRevision > d.view.roster.Revision && !d.view.rollouts.HasOpenOrder(j.Pool.Name) && !d.view.leaving.IsLeaving(start):
		e = &endpoint{Endpoint: route.Endpoint{ID: reply.Endpoint, Incarnation: reply.Incarnation, Addr: reply.Addr, Pool: j.Pool.Name, Slots: reply.Slots}}
		a.wasUnlisted = true
	default:
		d.cfg.Peers.Send(owner, &wire.PlaceReport{ID: reply.ID, Outcome: wire.PlaceDropped})
		return nil, admit.Decision{}, false
	}
	dec.Endpoint, dec.Reason = 0, admit.Admitted
	a.d, a.pool, a.endpoint, a.id, a.start, a.sentAddr = d, p, e, e.ID, start, e.Addr
	a.isOnlyEndpoint, a.sentAt, a.hadFreeSlot, a.promptAhead, a.predictedWait, a.predictedService = len(p.endpoints) < 2, time.Now(), reply.HadFreeSlot, int(reply.PromptTokens), dec.SlotWait, dec.FirstEvent-dec.SlotWait
	a.placement.Version, a.placement.Slowdown = e.Version, float64(reply.SlowdownPercent)/100
	a.work, a.suspect, a.route, a.version = jobWork(j, j.OutputTokens), j.suspect, j.Route.Name, e.Version
	a.ownerPlacement = &ownerPlacement{owner: owner, id: reply.ID, expectedOutput: a.work.outputTokens, slowdownPercent: int(reply.SlowdownPercent)}
	a.sentClock = a.slowdownClock(a.sentAt)
	if d.ownerAttempts[owner] == nil {
		d.ownerAttempts[owner] = make(map[uint64]*attempt)
	}
	d.ownerAttempts[owner][reply.ID] = a
	return a, dec, true
}

// HandlePlaceReply processes an owner's answer to a placement request.
func (d *Director) HandlePlaceReply(owner string, m *wire.PlaceReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pending := d.pendingPlacements[m.ID]
	if pending == nil || pending.owner != owner {
		// The request has been given up.
		if m.Endpoint != "" {
			d.cfg.Peers.Send(owner, &wire.PlaceReport{ID: m.ID, Outcome: wire.PlaceDropped})
		}
		return
	}
	delete(d.pendingPlacements, m.ID)
	pending.answer <- m
}

// HandleLinkLost records that the link to an owner of shards has ended. The requests that the
// owner counted are counted here from now on.
func (d *Director) HandleLinkLost(owner string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, pending := range d.pendingPlacements {
		if pending.owner == owner {
			delete(d.pendingPlacements, id)
			close(pending.answer)
		}
	}
	now := time.Now()
	for _, a := range d.ownerAttempts[owner] {
		a.ownerPlacement = nil
		if e := d.view.endpoints[a.id]; e != nil {
			a.endpoint = e
		}
		a.countWork(now)
	}
	delete(d.ownerAttempts, owner)
	d.forgetBookingOwner(owner)
}
