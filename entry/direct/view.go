package direct

import (
	"math"
	"slices"
	"time"

	"lycheepond/core/admit"
	"lycheepond/core/canary"
	"lycheepond/core/drain"
	"lycheepond/core/fair"
	"lycheepond/core/health"
	"lycheepond/core/lend"
	"lycheepond/core/limit"
	"lycheepond/core/origin"
	"lycheepond/core/poison"
	"lycheepond/core/quota"
	"lycheepond/core/rest"
	"lycheepond/core/retry"
	"lycheepond/core/route"
	"lycheepond/core/shard"
	"lycheepond/core/waitq"
	"lycheepond/core/wire"
)

const (
	// engineSilenceBound and serviceSilenceBound are how long an endpoint may send nothing
	// while requests wait there before it is skipped. A busy engine sends an event every few
	// milliseconds over all its streams; a service answers in about ten milliseconds.
	engineSilenceBound  = 1200 * time.Millisecond
	serviceSilenceBound = 500 * time.Millisecond
	// retryRatioShare and retrySlackShare are the shares of the operator's bounds on retries
	// that the entries use. The rest covers the edges of the operator's measuring windows and
	// entries that are not known yet.
	retryRatioShare = 0.85
	retrySlackShare = 0.6
	// driftDivisor and driftTokens bound how far the outstanding output of an endpoint may
	// differ from the value last reported to the peers: by an eighth of that value plus twenty
	// tokens. Each event of each stream changes the output, but only a difference that changes
	// a prediction is reported.
	driftDivisor = 8
	driftTokens  = 20
	// minSlackEntries is the minimum number of entries among which the slack is divided,
	// because not all entries may be known yet.
	minSlackEntries = 4
)

// view is what the entry knows of endpoints, customers and the other entries' work.
// Director's mutex guards it.
type view struct {
	zone      string
	table     *route.Table
	roster    route.Roster
	endpoints map[string]*endpoint
	// starts holds the endpoints by the ID of their start.
	starts map[string]*endpoint
	pools  map[string]*pool
	health *health.Tracker
	poison *poison.Tracker
	limits *limit.Limiter
	// conns holds how many connections to endpoints this entry may have. knownEntries is how many
	// entries may be running.
	conns        *lend.Ledger
	knownEntries int
	quota        *quota.Limiter
	rollouts     *canary.Controller
	leaving      *drain.Tracker
	// rests holds the rests that endpoints have asked this entry for, peerRests those that
	// they have asked peers for, as far as these have reported them.
	rests     rest.Tracker
	peerRests map[string]*rest.Tracker
	// origins holds where streams began, versions which versions each pool has had. Origins are
	// kept for streamAge.
	origins   origin.Records
	versions  map[string]*origin.Versions
	streamAge time.Duration
	// peerLoads holds the work in flight that the peers have reported, by peer and endpoint.
	peerLoads map[string]map[string]wire.EndpointLoad
	// tallyAt is when each peer's last tally arrived, and lostPeerAt when the last one of a peer
	// arrived that has become silent.
	tallyAt    map[string]time.Time
	lostPeerAt time.Time
	// unreportedWork and unreportedUsage are the endpoints and customers whose changes have
	// not been reported to the peers yet.
	unreportedWork  map[string]bool
	unreportedUsage map[string]bool
	queueCounts     queueCounts
	// limitShare returns this entry's share of an endpoint's rate limit.
	limitShare func(e *endpoint) limit.Share
}

// pool is the state that the entry keeps for a pool.
type pool struct {
	name      string
	learner   *admit.Learner
	budget    *retry.Budget
	endpoints []*endpoint
	// trialEndpoints holds the endpoints of a version that is on trial.
	trialEndpoints []*endpoint
	// tiers are the tiers in use, highest first.
	tiers []route.Tier
	// layout divides the endpoints into shards; owners holds the owner of each shard as of
	// ownersAt.
	layout   shard.Layout
	shards   map[shard.Key]*poolShard
	owners   map[shard.Key]string
	ownersAt time.Time
	// scratch is the argument of the last decision, kept to avoid allocation.
	scratch []admit.Endpoint
	queue   waitq.Queue[*waiter]
	// floor keeps the order of the queues from starving large requests.
	floor waitq.Floor
	// dispatched counts the requests that have left the queues for an endpoint, by tier.
	dispatched map[route.Tier]int
}

// poolShard is a shard of a pool.
type poolShard struct {
	key       shard.Key
	endpoints []*endpoint
	// queue holds the requests that wait for a slot of the shard. It is empty unless
	// this entry owns the shard.
	queue waitq.Queue[*waiter]
	late  lateWork
	// shares divides the room of each tier between the customers. It is empty unless this entry
	// owns the shard and shares room by customer.
	shares map[route.Tier]*fair.Tier
}

// endpoint is an endpoint with the work in flight there.
type endpoint struct {
	route.Endpoint
	// startName is the ID of the endpoint's start, empty if the instance list does not have it.
	startName string
	ownWork   inFlight
	// peerWork is the sum of the peers' work there.
	peerWork inFlight
	// reportedOutput is ownWork.outputTokens as last reported to the peers.
	reportedOutput int
	// reportedRequests is the same for ownWork.requests.
	reportedRequests int
	// lastByteAt is when the last byte came from the endpoint, waitingSince when own work
	// began to wait there.
	lastByteAt, waitingSince time.Time
	// declineExcess is how many more requests than were counted the endpoint reported at
	// declinedAt, when it declined one.
	declineExcess int
	declinedAt    time.Time
	// stated is what the endpoint has stated of its load.
	stated stated
	// movedAt is when another endpoint last answered at its address.
	movedAt time.Time
	// warmAt is when the endpoint reaches its full speed, as a time since the director's
	// start.
	warmAt time.Duration
}

// applyListing applies what the instance list says about the endpoint.
func (e *endpoint) applyListing(listed route.Endpoint, now time.Duration) {
	if listed.ColdFor != e.ColdFor {
		e.warmAt = now + listed.ColdFor
	}
	e.Endpoint = listed
	e.startName = e.start().ID()
}

// movedTimeout is how long an endpoint is skipped after another one has answered at its
// address. By then the instance list should have been updated.
const movedTimeout = time.Second

// hasMoved reports whether another endpoint has recently answered at the address.
func (e *endpoint) hasMoved(now time.Time) bool {
	return !e.movedAt.IsZero() && now.Sub(e.movedAt) < movedTimeout
}

// declineDecay is how long an endpoint that has declined a request is assumed to have more
// requests than are counted. The assumed excess decreases over this time.
const declineDecay = 500 * time.Millisecond

// uncountedRequests returns how many more requests than are counted the endpoint is assumed to
// have.
func (e *endpoint) uncountedRequests(now time.Time) int {
	remaining := declineDecay - now.Sub(e.declinedAt)
	if e.declineExcess == 0 || remaining <= 0 {
		return 0
	}
	return int(math.Ceil(float64(e.declineExcess) * float64(remaining) / float64(declineDecay)))
}

// recordDecline records that the endpoint has declined a request, which is no longer counted.
// endpointRequests is how many requests the endpoint said it has, zero if it did not say.
func (e *endpoint) recordDecline(now time.Time, endpointRequests, slots int) {
	e.declineExcess, e.declinedAt = max(max(endpointRequests, slots)-e.ownWork.requests-e.peerWork.requests, 0), now
}

// inFlight is an amount of work in flight: the requests, the prompt tokens still to be
// processed, the output tokens still expected, and the tokens held in the KV cache.
type inFlight struct{ requests, promptTokens, outputTokens, kvTokens int }

func (w *inFlight) add(other inFlight, sign int) {
	w.requests += sign * other.requests
	w.promptTokens += sign * other.promptTokens
	w.outputTokens += sign * other.outputTokens
	w.kvTokens += sign * other.kvTokens
}

func newView(zone string, rule canary.Limit) *view {
	return &view{
		zone: zone, table: route.NewTable(route.Config{}), endpoints: make(map[string]*endpoint), knownEntries: 1,
		pools: make(map[string]*pool), health: health.New(), poison: poison.New(), limits: limit.New(), quota: quota.New(), rollouts: canary.New(rule), leaving: drain.New(), peerRests: make(map[string]*rest.Tracker),
		peerLoads: make(map[string]map[string]wire.EndpointLoad), unreportedWork: make(map[string]bool), unreportedUsage: make(map[string]bool),
		versions: make(map[string]*origin.Versions), streamAge: minStreamAge, queueCounts: newQueueCounts(), tallyAt: make(map[string]time.Time),
	}
}

// pool returns the state of a pool, which is created on first use.
func (v *view) pool(name string, budget RetryBudget, entries int) *pool {
	p := v.pools[name]
	if p == nil {
		p = &pool{name: name, dispatched: make(map[route.Tier]int), learner: admit.NewLearner(), budget: retry.New(retry.Config{
			Ratio: budget.Ratio * retryRatioShare,
			Burst: max(int(budget.Slack*retrySlackShare)/max(entries, minSlackEntries), 1),
		})}
		v.pools[name] = p
		p.tiers = v.table.Tiers(name)
		v.assignEndpoints(p)
	}
	return p
}

// setEndpoints sets the endpoints of a pool and divides them into shards.
func (p *pool) setEndpoints(endpoints []*endpoint) {
	p.endpoints = endpoints
	zones := make(map[string]int)
	for _, e := range endpoints {
		zones[e.Zone]++
	}
	p.layout, p.owners = shard.NewLayout(zones), nil
	old := p.shards
	p.shards = make(map[shard.Key]*poolShard)
	for _, e := range endpoints {
		k := p.layout.Key(e.ID, e.Zone)
		s := p.shards[k]
		if s == nil {
			// Requests that wait for a slot of the shard stay in its queue.
			if s = old[k]; s == nil {
				s = &poolShard{key: k}
			}
			s.endpoints = nil
			p.shards[k] = s
		}
		s.endpoints = append(s.endpoints, e)
	}
}

// endpointsInRole returns the endpoints of a pool whose version has the given role and that
// are not leaving.
func (v *view) endpointsInRole(name string, role canary.Role) []*endpoint {
	var out []*endpoint
	for i := range v.roster.Endpoints {
		e := v.endpoints[v.roster.Endpoints[i].ID]
		if e != nil && e.Pool == name && !e.Leaving && v.rollouts.RoleOf(name, e.Version) == role {
			out = append(out, e)
		}
	}
	return out
}

// assignEndpoints updates which endpoints of a pool are in service and on trial.
func (v *view) assignEndpoints(p *pool) {
	p.setEndpoints(v.endpointsInRole(p.name, canary.InService))
	p.trialEndpoints = v.endpointsInRole(p.name, canary.OnTrial)
}

func (v *view) assignAllEndpoints() {
	v.rollouts.TakeRolesChanged()
	for _, p := range v.pools {
		v.assignEndpoints(p)
	}
}

// setRoster applies a newer instance list and returns the addresses that no longer belong to
// the endpoint they belonged to.
func (v *view) setRoster(r route.Roster, now time.Duration) (staleAddrs []string) {
	old := v.endpoints
	v.roster, v.endpoints = r, make(map[string]*endpoint, len(r.Endpoints))
	for _, listed := range r.Endpoints {
		e := old[listed.ID]
		if e != nil && e.Incarnation == listed.Incarnation && e.Pool == listed.Pool {
			if e.Addr != listed.Addr {
				staleAddrs = append(staleAddrs, e.Addr)
				e.movedAt = time.Time{}
			}
			e.applyListing(listed, now)
			v.endpoints[listed.ID] = e
			continue
		}
		e = new(endpoint)
		e.applyListing(listed, now)
		v.endpoints[listed.ID] = e
	}
	for id, e := range old {
		if v.endpoints[id] == e {
			continue
		}
		staleAddrs = append(staleAddrs, e.Addr)
		if !e.Leaving && v.poison.MayHaveCrashed(now, e.startID()) {
			v.poison.RecordCrash(now, e.startID())
		}
		v.health.Forget(id)
		if p := v.pools[e.Pool]; p != nil {
			p.learner.Forget(id)
		}
	}
	for _, e := range v.endpoints {
		e.Leaving = e.Leaving || v.leaving.IsLeaving(e.start())
	}
	v.starts = make(map[string]*endpoint, len(v.endpoints))
	for _, e := range v.endpoints {
		v.starts[e.startID()] = e
	}
	v.noteVersions(now)
	v.forgetStaleLimits(now)
	v.updateVersions(now)
	v.assignAllEndpoints()
	v.recountPeerWork()
	return staleAddrs
}

// peerReportAge returns the age of the oldest of the last tallies of those peers that have
// requests at an endpoint; zero if no peer has any.
func (v *view) peerReportAge(endpoint string, now time.Time) time.Duration {
	var age time.Duration
	for peer, loads := range v.peerLoads {
		if _, ok := loads[endpoint]; ok {
			age = max(age, now.Sub(v.tallyAt[peer]))
		}
	}
	return age
}

// oldestTallyAt returns when the oldest among the last tallies of the reachable peers arrived, or now
// if there is no such peer.
func (v *view) oldestTallyAt(now time.Time) time.Time {
	oldest := now
	for _, at := range v.tallyAt {
		if at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// applyTally applies a peer's tally.
func (v *view) applyTally(peer string, restarted bool, t *wire.Tally) {
	if restarted {
		v.limits.Forget(peer)
	}
	if t.Full {
		v.forgetPeer(peer)
	}
	v.tallyAt[peer] = time.Now()
	v.queueCounts.applyReport(peer, t.Queues)
	loads := v.peerLoads[peer]
	if loads == nil {
		loads = make(map[string]wire.EndpointLoad)
		v.peerLoads[peer] = loads
	}
	for _, h := range t.Endpoints {
		if e := v.endpoints[h.Endpoint]; e != nil {
			e.noteCounted(v.tallyAt[peer])
		}
		v.addPeerWork(loads[h.Endpoint], -1)
		v.addPeerWork(h, 1)
		if h.Requests == 0 {
			delete(loads, h.Endpoint)
			continue
		}
		loads[h.Endpoint] = h
	}
}

// addPeerWork adds the work of a peer at an endpoint to the sum over all peers, or subtracts
// it if sign is -1.
func (v *view) addPeerWork(h wire.EndpointLoad, sign int) {
	if e := v.endpoints[h.Endpoint]; e != nil && h.Requests > 0 {
		e.peerWork.add(inFlight{int(h.Requests), int(h.PromptTokens), int(h.OutputTokens), int(h.MemoryTokens)}, sign)
	}
}

// forgetPeer forgets the work of a peer that is in flight or queued.
func (v *view) forgetPeer(peer string) {
	for _, h := range v.peerLoads[peer] {
		v.addPeerWork(h, -1)
	}
	delete(v.peerLoads, peer)
	delete(v.tallyAt, peer)
	v.queueCounts.forgetPeer(peer)
}

// handlePeerLoss drops the work of a peer that is silent: if it is dead, the endpoints have
// dropped its requests too.
func (v *view) handlePeerLoss(peer string) {
	if at := v.tallyAt[peer]; at.After(v.lostPeerAt) {
		v.lostPeerAt = at
	}
	v.forgetPeer(peer)
}

// recountPeerWork recounts the peers' work at the endpoints of a new list.
func (v *view) recountPeerWork() {
	for _, e := range v.endpoints {
		e.peerWork = inFlight{}
	}
	for _, loads := range v.peerLoads {
		for _, h := range loads {
			v.addPeerWork(h, 1)
		}
	}
}

// describePool returns the state of a pool's endpoints as the argument of a decision.
func (v *view) describePool(p *pool, cfg *route.Pool, now time.Time, sinceStart time.Duration) []admit.Endpoint {
	return v.describeEndpoints(p, p.endpoints, sender{zone: v.zone}, cfg, now, sinceStart)
}

// sender is the entry that sends a request. peer is empty for this entry.
type sender struct{ peer, zone string }

// describeEndpoints is like describePool for the given endpoints of the pool and a request that
// an entry sends. The result is valid until the next call for the pool.
func (v *view) describeEndpoints(p *pool, endpoints []*endpoint, from sender, cfg *route.Pool, now time.Time, sinceStart time.Duration) []admit.Endpoint {
	out := p.scratch[:0]
	silenceBound := serviceSilenceBound
	if cfg.Engine {
		silenceBound = engineSilenceBound
	}
	rests := v.restsOf(from.peer)
	for _, e := range endpoints {
		slots, restLeft := e.slots(cfg), time.Duration(0)
		if !rests.Empty() {
			slots, restLeft = rests.Slots(sinceStart, e.startID(), slots), rests.Left(sinceStart, e.startID())
		}
		sum := e.peerWork
		sum.add(e.ownWork, 1)
		sum.requests += max(e.uncountedRequests(now), e.statedExcess(now))
		out = append(out, admit.Endpoint{
			RateLimit: v.endpointLimit(e, sinceStart),
			RestLeft:  restLeft,
			SameZone:  e.Zone == from.zone, Usable: v.health.Usable(sinceStart, e.ID) && !e.isSilent(now, silenceBound) && !e.hasMoved(now), Slots: slots,
			Requests: sum.requests, PromptTokens: sum.promptTokens, OutputTokens: sum.outputTokens,
			KVTokensNeeded: sum.kvTokens, KVTokens: cfg.KVTokens, Pace: p.learner.Pace(e.ID),
			Slowdown: e.stated.factor(sinceStart),
		})
	}
	p.scratch = out
	return out
}

// slots returns how many requests the endpoint serves at once, as far as known.
func (e *endpoint) slots(cfg *route.Pool) int {
	if e.Slots == 0 {
		return cfg.Slots
	}
	return e.Slots
}

// isSilent reports whether work has waited at the endpoint for longer than limit
// without a byte from it.
func (e *endpoint) isSilent(now time.Time, limit time.Duration) bool {
	if e.ownWork.requests == 0 {
		return false
	}
	silentSince := e.waitingSince
	if e.lastByteAt.After(silentSince) {
		silentSince = e.lastByteAt
	}
	return now.Sub(silentSince) > limit
}

// tierRank returns the position of a tier among those in use in the pool; zero is the highest.
func (p *pool) tierRank(t route.Tier) int {
	n, _ := slices.BinarySearchFunc(p.tiers, t, route.Tier.Compare)
	return n
}
