package direct

import (
	"math"
	"slices"
	"time"

	"lycheepond/core/admit"
	"lycheepond/core/await"
	"lycheepond/core/canary"
	"lycheepond/core/limit"
	"lycheepond/core/poison"
	"lycheepond/core/quota"
	"lycheepond/core/retry"
	"lycheepond/core/route"
	"lycheepond/core/shard"
	"lycheepond/core/trust"
	"lycheepond/core/wire"
)

const (
	// silentEngine and silentService are how long an endpoint may send nothing
	// while requests wait there before it is passed over. A busy engine sends
	// an event every few milliseconds over all its streams; a service answers
	// in some ten.
	silentEngine  = 1200 * time.Millisecond
	silentService = 500 * time.Millisecond
	// retryRatio and retrySlack are the parts of the operator's bounds on
	// repeats that the entries use; the rest is for the edges of the operator's
	// windows and for entries that are not known yet.
	retryRatio = 0.85
	retrySlack = 0.6
	// driftPart and driftTokens bound by how much less output an endpoint may owe
	// than the peers were told: an eighth, and twenty tokens. Each event of each
	// stream changes it, and is told as soon as it changes a prediction.
	driftPart   = 8
	driftTokens = 20
	// fewEntries is the least number of entries among which the slack is split
	// while not all of them are known.
	fewEntries = 4
)

// view is what the entry knows of endpoints, customers and the other entries'
// work. Director's mutex guards it.
type view struct {
	zone      string
	table     *route.Table
	roster    route.Roster
	endpoints map[string]*endpoint
	pools     map[string]*pool
	trust     *trust.Tracker
	poison    *poison.Tracker
	limits    *limit.Limiter
	quota     *quota.Limiter
	rollouts  *canary.Controller
	// peers holds what each peer has in flight, by endpoint.
	peers map[string]map[string]wire.EndpointLoad
	// heardAt is when each peer's last tally came.
	heardAt map[string]time.Time
	// changedHeld and changedUsed are what the peers have not been told yet.
	changedHeld map[string]bool
	changedUsed map[string]bool
	waits       waits
	// share returns this entry's share in the limit of an endpoint.
	share func(e *endpoint) limit.Share
}

// pool is what the entry learns of a pool.
type pool struct {
	name      string
	learner   *admit.Learner
	budget    *retry.Budget
	endpoints []*endpoint
	// trial holds the endpoints of a version that is on trial.
	trial []*endpoint
	// tiers are those in use, in order.
	tiers []route.Tier
	// layout divides the endpoints into shards; owners holds the owner of each as of
	// ownedAt.
	layout  shard.Layout
	shards  map[shard.Key]*part
	owners  map[shard.Key]string
	ownedAt time.Time
	// scratch is the argument of the last decision, kept to spare allocation.
	scratch []admit.Endpoint
	line    await.Queue[*waiter]
}

// part is a shard of a pool.
type part struct {
	key       shard.Key
	endpoints []*endpoint
	// line holds the requests that wait for a slot of the shard. It is empty unless
	// this entry owns the shard.
	line await.Queue[*waiter]
}

// endpoint is one endpoint with the entry's own requests there.
type endpoint struct {
	route.Endpoint
	own hold
	// others sums up what peers have there.
	others hold
	// told is the output of own when the peers were last told of it.
	told int
	// toldRequests is the same for its requests.
	toldRequests int
	// heard is when the last byte came from it, since when own work began to
	// wait there.
	heard, since time.Time
	// excess is how many more requests than were counted it said to have at
	// excessAt, when it declined one.
	excess   int
	excessAt time.Time
	// movedAt is when another endpoint last answered at its address.
	movedAt time.Time
	// warm is when it is as fast as it gets.
	warm time.Duration
}

// list takes in what the instance list says of the endpoint.
func (e *endpoint) list(listed route.Endpoint, now time.Duration) {
	if listed.ColdFor != e.ColdFor {
		e.warm = now + listed.ColdFor
	}
	e.Endpoint = listed
}

// awayFor is how long an endpoint is passed over whose address belongs to another
// one: the instance list tells of it soon.
const awayFor = time.Second

// away reports whether another endpoint has lately answered at the address.
func (e *endpoint) away(now time.Time) bool {
	return !e.movedAt.IsZero() && now.Sub(e.movedAt) < awayFor
}

// excessFor is how long an endpoint that has declined a request is taken for having
// more of them than are counted, fewer as time passes.
const excessFor = 500 * time.Millisecond

// uncounted returns how many more requests than are counted the endpoint seems to
// have.
func (e *endpoint) uncounted(now time.Time) int {
	left := excessFor - now.Sub(e.excessAt)
	if e.excess == 0 || left <= 0 {
		return 0
	}
	return int(math.Ceil(float64(e.excess) * float64(left) / float64(excessFor)))
}

// declined notes that the endpoint has declined a request, which is not counted any
// more. load is how many requests it said that it has, zero if it did not say.
func (e *endpoint) declined(now time.Time, load, slots int) {
	e.excess, e.excessAt = max(max(load, slots)-e.own.requests-e.others.requests, 0), now
}

// hold is work in flight.
type hold struct{ requests, prompt, output, tokens int }

func (h *hold) add(o hold, sign int) {
	h.requests += sign * o.requests
	h.prompt += sign * o.prompt
	h.output += sign * o.output
	h.tokens += sign * o.tokens
}

func newView(zone string, rollouts canary.Limit) *view {
	return &view{
		zone: zone, table: route.NewTable(route.Config{}), endpoints: make(map[string]*endpoint),
		pools: make(map[string]*pool), trust: trust.New(), poison: poison.New(), limits: limit.New(), quota: quota.New(), rollouts: canary.New(rollouts),
		peers: make(map[string]map[string]wire.EndpointLoad), changedHeld: make(map[string]bool), changedUsed: make(map[string]bool),
		waits: newWaits(), heardAt: make(map[string]time.Time),
	}
}

// pool returns the state of a pool, made at the first use.
func (v *view) pool(name string, repeats Repeats, entries int) *pool {
	p := v.pools[name]
	if p == nil {
		p = &pool{name: name, learner: admit.NewLearner(), budget: retry.New(retry.Config{
			Ratio: repeats.Ratio * retryRatio,
			Burst: max(int(repeats.Slack*retrySlack)/max(entries, fewEntries), 1),
		})}
		v.pools[name] = p
		p.tiers = v.table.Tiers(name)
		v.group(p)
	}
	return p
}

// setEndpoints takes in the endpoints of a pool and divides them into shards.
func (p *pool) setEndpoints(all []*endpoint) {
	p.endpoints = all
	zones := make(map[string]int)
	for _, e := range all {
		zones[e.Zone]++
	}
	p.layout, p.owners = shard.NewLayout(zones), nil
	old := p.shards
	p.shards = make(map[shard.Key]*part)
	for _, e := range all {
		k := p.layout.Key(e.ID, e.Zone)
		s := p.shards[k]
		if s == nil {
			// What waits for a slot of the shard stays in its line.
			if s = old[k]; s == nil {
				s = &part{key: k}
			}
			s.endpoints = nil
			p.shards[k] = s
		}
		s.endpoints = append(s.endpoints, e)
	}
}

// members returns the endpoints of a pool that are used for something.
func (v *view) members(name string, use canary.Role) []*endpoint {
	var out []*endpoint
	for i := range v.roster.Endpoints {
		e := v.endpoints[v.roster.Endpoints[i].ID]
		if e != nil && e.Pool == name && !e.Leaving && v.rollouts.RoleOf(name, e.Version) == use {
			out = append(out, e)
		}
	}
	return out
}

// group takes in what the endpoints of a pool are used for.
func (v *view) group(p *pool) {
	p.setEndpoints(v.members(p.name, canary.InService))
	p.trial = v.members(p.name, canary.OnTrial)
}

func (v *view) groupAll() {
	v.rollouts.TakeRolesChanged()
	for _, p := range v.pools {
		v.group(p)
	}
}

// setRoster takes in a newer instance list and returns the addresses that no
// longer belong to the endpoint they belonged to.
func (v *view) setRoster(r route.Roster, now time.Duration) (gone []string) {
	old := v.endpoints
	v.roster, v.endpoints = r, make(map[string]*endpoint, len(r.Endpoints))
	for _, listed := range r.Endpoints {
		e := old[listed.ID]
		if e != nil && e.Incarnation == listed.Incarnation && e.Pool == listed.Pool {
			if e.Addr != listed.Addr {
				gone = append(gone, e.Addr)
				e.movedAt = time.Time{}
			}
			e.list(listed, now)
			v.endpoints[listed.ID] = e
			continue
		}
		e = new(endpoint)
		e.list(listed, now)
		v.endpoints[listed.ID] = e
	}
	for id, e := range old {
		if v.endpoints[id] == e {
			continue
		}
		gone = append(gone, e.Addr)
		if !e.Leaving && v.poison.MayHaveCrashed(now, e.start()) {
			v.poison.RecordCrash(now, e.start())
		}
		v.trust.Forget(id)
		if p := v.pools[e.Pool]; p != nil {
			p.learner.Forget(id)
		}
	}
	v.keepLimits()
	v.listVersions(now)
	v.groupAll()
	v.countOthers()
	return gone
}

// age returns how long ago the peers that have requests at an endpoint told last, the
// longest of these times; zero if none has any.
func (v *view) age(endpoint string, now time.Time) time.Duration {
	var age time.Duration
	for peer, held := range v.peers {
		if _, ok := held[endpoint]; ok {
			age = max(age, now.Sub(v.heardAt[peer]))
		}
	}
	return age
}

// heard takes in a peer's tally.
func (v *view) heard(peer string, anew bool, t *wire.Tally) {
	v.heardAt[peer] = time.Now()
	if anew {
		v.quota.Forget(peer)
		v.limits.Forget(peer)
	}
	if t.Full {
		v.drop(peer)
	}
	for _, u := range t.Customers {
		v.quota.MergeTotal(peer, u.Customer, u.Total)
	}
	v.waits.heard(peer, t.Queues)
	held := v.peers[peer]
	if held == nil {
		held = make(map[string]wire.EndpointLoad)
		v.peers[peer] = held
	}
	for _, h := range t.Endpoints {
		v.count(held[h.Endpoint], -1)
		v.count(h, 1)
		if h.Requests == 0 {
			delete(held, h.Endpoint)
			continue
		}
		held[h.Endpoint] = h
	}
}

// count adds what a peer has at an endpoint to what all peers have there, or
// takes it away.
func (v *view) count(h wire.EndpointLoad, sign int) {
	if e := v.endpoints[h.Endpoint]; e != nil && h.Requests > 0 {
		e.others.add(hold{int(h.Requests), int(h.PromptTokens), int(h.OutputTokens), int(h.MemoryTokens)}, sign)
	}
}

// drop forgets what a peer has in flight.
func (v *view) drop(peer string) {
	for _, h := range v.peers[peer] {
		v.count(h, -1)
	}
	delete(v.peers, peer)
	delete(v.heardAt, peer)
	v.waits.drop(peer)
}

// lost drops the work of a peer that is silent: if it is dead the endpoints
// have dropped its requests too.
func (v *view) lost(peer string) {
	v.drop(peer)
}

// countOthers counts anew what peers have at the endpoints of a new list.
func (v *view) countOthers() {
	for _, e := range v.endpoints {
		e.others = hold{}
	}
	for _, held := range v.peers {
		for _, h := range held {
			v.count(h, 1)
		}
	}
}

// describe fills the argument of a decision for the endpoints of a pool.
func (v *view) describe(p *pool, cfg *route.Pool, now time.Time, since time.Duration) []admit.Endpoint {
	return v.describeFor(p, p.endpoints, v.zone, cfg, now, since)
}

// describeFor does the same for some of the endpoints, as an entry of a zone sees them.
func (v *view) describeFor(p *pool, endpoints []*endpoint, zone string, cfg *route.Pool, now time.Time, since time.Duration) []admit.Endpoint {
	out := p.scratch[:0]
	silent := silentService
	if cfg.Engine {
		silent = silentEngine
	}
	for _, e := range endpoints {
		sum := e.others
		sum.add(e.own, 1)
		sum.requests += e.uncounted(now)
		out = append(out, admit.Endpoint{
			RateLimit: v.limitOf(e, since),
			SameZone:  e.Zone == zone, Usable: v.trust.Usable(since, e.ID) && !e.silent(now, silent) && !e.away(now), Slots: e.slots(cfg),
			Requests: sum.requests, PromptTokens: sum.prompt, OutputTokens: sum.output,
			KVTokensNeeded: sum.tokens, KVTokens: cfg.KVTokens, Pace: p.learner.Pace(e.ID),
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

// silent reports whether work has waited at the endpoint for longer than limit
// without a byte from it.
func (e *endpoint) silent(now time.Time, limit time.Duration) bool {
	if e.own.requests == 0 {
		return false
	}
	last := e.since
	if e.heard.After(last) {
		last = e.heard
	}
	return now.Sub(last) > limit
}

// rank returns the place of a tier among those in use in the pool, zero the
// highest.
func (p *pool) rank(t route.Tier) int {
	n, _ := slices.BinarySearchFunc(p.tiers, t, route.Tier.Compare)
	return n
}
