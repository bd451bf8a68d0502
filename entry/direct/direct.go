// Package direct serves requests by calling endpoints from the entry itself. It is for
// endpoints without an agent and for platforms on which an entry can't rely on any other
// process.
//
// The decisions are made by core/admit (admission and placement), core/health (usability of
// endpoints) and core/quota (customer limits). This package keeps their state, forwards
// requests and answers, and decides what a failure means: whether the request may be sent
// again, and which outcome the caller gets.
package direct

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/canary"
	"lycheepond/core/grace"
	"lycheepond/core/health"
	"lycheepond/core/memory"
	"lycheepond/core/meter"
	"lycheepond/core/origin"
	"lycheepond/core/poison"
	"lycheepond/core/quota"
	"lycheepond/core/route"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

// RetryBudget bounds how many requests all entries together may send again.
type RetryBudget struct {
	// Ratio is a share of a pool's requests, Slack a number of requests on top of it.
	Ratio, Slack float64
}

// Config holds the settings and dependencies of a Director.
type Config struct {
	Zone string
	// Addr is the address at which peers reach this entry. Incarnation identifies this process.
	Addr        string
	Incarnation uint64
	RetryBudget RetryBudget
	// Tolerance is by how much customers may exceed their limits.
	Tolerance quota.Tolerance
	Client    *hop.Client
	// EntryCounts returns how many entries this one can reach and how many may be running.
	EntryCounts func() (reachable, known int)
	Peers       Peers
	// RosterIsCurrent reports whether the instance list is known not to be too old. It must not
	// block; nil stands for a list that is always current.
	RosterIsCurrent func() bool
	// RosterVerifiedAt returns the latest time at which the instance list is known to have been
	// current. It must not block; nil stands for a list that is always current.
	RosterVerifiedAt func() time.Time
	// StampHeaders sets the headers that describe the attempt to the endpoint.
	StampHeaders func(r *hop.Request, o AttemptInfo)
	// MatchAnswer relates the head of an answer to the request with the given ID.
	MatchAnswer func(id string, status int, h http.Header) hop.Match
	// ReadMeta reads the head of an answer.
	ReadMeta func(a *hop.Answer) Meta
	// RolloutRule bounds how many requests a version that turns out to be bad may get.
	// WriteRollout is called when the state of a rollout order is to be written; it must not
	// block.
	RolloutRule  canary.Limit
	WriteRollout func(w canary.StateWrite)
	// OnQuarantine is called when a quarantine begins or is lifted. It must not block; it may
	// be nil.
	OnQuarantine func(c poison.Change)
	Overload     Overload
	// AnswerMemory is how many bytes the answers of all requests may take together while they
	// are held. An answer that gets none is forwarded as it arrives.
	AnswerMemory int64
	Metrics      *meter.Set
	Log          *zap.Logger
}

// Overload switches the decisions that owners of shards make while a pool has less room than
// its callers ask for. The zero value makes none of them.
type Overload struct {
	// PlanReturns has refused callers told when to return.
	PlanReturns bool
	// ShareByCustomer divides the room within a tier between the customers.
	ShareByCustomer bool
	// MinOwnedEntries is the number of entries from which on shards have owners, zero for the
	// default.
	MinOwnedEntries int
}

// Director serves requests. It is safe for concurrent use.
type Director struct {
	cfg   Config
	start time.Time
	// answerTimes holds the answer times by customer, retryTimes the retry delays given to
	// refused callers, both in milliseconds.
	answerTimes, retryTimes *meter.CustomerHistograms
	// refusedShares holds, for refused requests by customer, the share of the work that was
	// placed in percent of the share that is due.
	refusedShares *meter.CustomerHistograms
	// stopping ends when BeginStop is called, by markStopping.
	stopping     context.Context
	markStopping context.CancelFunc
	// answerMemory is what the answers that are held may take.
	answerMemory *memory.Budget

	mu   sync.Mutex
	view *view
	// stopAt is when the entry stops, zero before BeginStop.
	stopAt time.Time
	// answers holds how long the latest whole answers took.
	answers     map[answerKind]*grace.Answers
	bodyLengths bodyLengths
	// runningJobs counts the jobs without a final answer.
	runningJobs int
	// lastPlacementID is the ID of the latest placement request to a shard owner.
	// pendingPlacements holds the placement requests without an answer. ownerAttempts holds,
	// by owner and ID, the attempts that owners count.
	lastPlacementID   uint64
	pendingPlacements map[uint64]*pendingPlacement
	ownerAttempts     map[string]map[uint64]*attempt
	// ownerBackoff holds, for owners that did not answer, until when they get no placement
	// requests.
	ownerBackoff map[string]time.Time
	// ownBookings holds copies of the bookings of callers that this entry has refused, by
	// fingerprint. ownBookingCount is their number, at most maxOwnBookings.
	ownBookings     map[uint64][]ownBooking
	ownBookingCount int
	// candidates holds the entries that could keep records of streams at candidatesAt.
	candidates   []origin.Candidate
	candidatesAt time.Time
	// lastOriginQuery is the ID of the latest query about a stream's origin, originQueries
	// holds the channels for the answers to those that are open. unsentOrigins holds the
	// records of pools with one version only.
	lastOriginQuery uint64
	originQueries   map[uint64]chan *wire.OriginReply
	unsentOrigins   []unsentOrigin
}

// New returns a director without a configuration.
func New(cfg Config) *Director {
	d := &Director{
		cfg: cfg, start: time.Now(), view: newView(cfg.Zone, cfg.RolloutRule),
		pendingPlacements: make(map[uint64]*pendingPlacement), ownerAttempts: make(map[string]map[uint64]*attempt), ownerBackoff: make(map[string]time.Time), originQueries: make(map[uint64]chan *wire.OriginReply),
		ownBookings: make(map[uint64][]ownBooking), answers: make(map[answerKind]*grace.Answers), bodyLengths: make(bodyLengths), answerMemory: memory.New(cfg.AnswerMemory),
		answerTimes: cfg.Metrics.CustomerHistograms("customer_answer_ms"), retryTimes: cfg.Metrics.CustomerHistograms("customer_retry_ms"),
	}
	if cfg.Overload.ShareByCustomer {
		d.refusedShares = cfg.Metrics.CustomerHistograms("customer_share")
	}
	d.view.limitShare = d.limitShare
	d.view.conns = d.newConnLedger()
	cfg.Metrics.GaugeFunc("answer_bytes", d.answerMemory.Held)
	cfg.Metrics.GaugeFunc("endpoint_connections", cfg.Client.AllConns)
	d.stopping, d.markStopping = context.WithCancel(context.Background())
	return d
}

// Table returns the configuration in force. Its revision is zero before the first
// configuration is known.
func (d *Director) Table() *route.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.table
}

// SetConfig puts a configuration in force if it is newer than the current one, and returns
// what became of it.
func (d *Director) SetConfig(c route.Config) route.Merge {
	d.mu.Lock()
	defer d.mu.Unlock()
	table, m := d.view.table.Merge(c)
	d.view.table = table
	d.view.setStreamAge()
	if m == route.Replaced {
		d.forgetAnswers()
		for name, p := range d.view.pools {
			p.tiers = table.Tiers(name)
		}
	}
	return m
}

// Roster returns the instance list in force.
func (d *Director) Roster() route.Roster {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.roster
}

// SetRoster puts an instance list in force unless it is older than the current one, and
// reports whether it did. A list of the same revision may differ: an endpoint whose removal
// was in doubt is missing from the later one.
func (d *Director) SetRoster(r route.Roster) bool {
	d.mu.Lock()
	if r.Revision < d.view.roster.Revision {
		d.mu.Unlock()
		return false
	}
	staleAddrs := d.view.setRoster(r, d.sinceStart(time.Now()))
	d.applyQuarantineChanges("missing from the instance list")
	d.dispatchAllQueued()
	d.mu.Unlock()
	for _, addr := range staleAddrs {
		d.cfg.Client.CloseIdle(addr)
	}
	return true
}

// HasSynced reports whether a configuration, an instance list and the rollout orders are
// known, so that requests can be served.
func (d *Director) HasSynced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.table.Revision() > 0 && d.view.roster.Revision > 0 && d.view.rollouts.OrdersKnown()
}

// RunningJobs returns how many jobs have no final answer yet.
func (d *Director) RunningJobs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runningJobs
}

// HandleTally applies a peer's tally. restarted is set for the first tally of a peer's
// process, whose counters start at zero.
func (d *Director) HandleTally(peer string, restarted bool, t *wire.Tally) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.applyTally(peer, restarted, t)
	d.mergeUsage(peer, restarted, t.Customers)
	d.mergeSuspects(peer, t.Suspects, t.Parts)
	d.mergeLimits(peer, t.Limits)
	d.mergeRollouts(peer, restarted, t.Rollouts)
	d.mergeLeaving(peer, t.Leaving)
	d.mergeRests(peer, restarted, t.Rests)
	d.mergeLending(peer, restarted, t.Lending)
	d.dispatchAllQueued()
}

// mergeUsage merges what a peer has admitted for customers. The caller holds d.mu.
func (d *Director) mergeUsage(peer string, restarted bool, usage []wire.CustomerUsage) {
	if restarted {
		d.view.quota.Forget(peer)
	}
	now := d.sinceStart(time.Now())
	for _, u := range usage {
		var l quota.Limit
		if c, ok := d.view.table.CustomerNamed(u.Customer); ok {
			l = d.limitOf(c)
		}
		d.view.quota.MergeTotal(now, peer, u.Customer, l, u.Total)
	}
}

// limitOf returns the limit up to which requests of a customer are admitted.
func (d *Director) limitOf(c *route.Customer) quota.Limit {
	return quota.Limit{Rate: c.Rate, Burst: c.Burst}.WithTolerance(d.cfg.Tolerance)
}

// PeerTally returns everything that a peer has reported, as one tally.
func (d *Director) PeerTally(peer string) *wire.Tally {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := new(wire.Tally)
	for _, h := range d.view.peerLoads[peer] {
		t.Endpoints = append(t.Endpoints, h)
	}
	d.view.quota.PeerTotals(peer, func(customer string, total float64) {
		t.Customers = append(t.Customers, wire.CustomerUsage{Customer: customer, Total: total})
	})
	t.Queues = d.view.queueCounts.peerReport(peer)
	return t
}

// HandlePeerLoss drops the work of a peer that is silent.
func (d *Director) HandlePeerLoss(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.handlePeerLoss(peer)
	d.view.quota.NoteSilence(d.sinceStart(time.Now()), peer)
	d.dispatchAllQueued()
}

// Tally returns what the peers need to know: the changes since the last call, or everything if
// full is set.
func (d *Director) Tally(full bool) *wire.Tally {
	reachableEntries, knownEntries := d.cfg.EntryCounts()
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view
	now := time.Now()
	v.quota.SetEntries(d.sinceStart(now), reachableEntries, knownEntries, d.sinceStart(v.oldestTallyAt(now)))
	t := &wire.Tally{ConfigRevision: v.table.Revision(), ConfigAhead: v.table.Ahead(), RosterRevision: v.roster.Revision, Queues: v.queueCounts.report(full)}
	if full {
		t.Addr = d.cfg.Addr
	}
	v.quota.OwnTotals(func(customer string, total float64) {
		if full || v.unreportedUsage[customer] {
			t.Customers = append(t.Customers, wire.CustomerUsage{Customer: customer, Total: total})
		}
	})
	for id, e := range v.endpoints {
		if full && e.ownWork.requests > 0 || v.unreportedWork[id] {
			t.Endpoints = append(t.Endpoints, e.loadReport())
		}
	}
	if full {
		// Peers that got earlier tallies still need the changes, so they stay unreported.
		return t
	}
	for id := range v.unreportedWork {
		if e := v.endpoints[id]; e != nil {
			e.reportedOutput, e.reportedRequests = e.ownWork.outputTokens, e.ownWork.requests
		}
	}
	clear(v.unreportedWork)
	clear(v.unreportedUsage)
	return t
}

// loadReport returns this entry's own work at the endpoint, as reported to the peers.
func (e *endpoint) loadReport() wire.EndpointLoad {
	return wire.EndpointLoad{
		Endpoint: e.ID, Requests: uint32(e.ownWork.requests), PromptTokens: uint32(max(e.ownWork.promptTokens, 0)),
		OutputTokens: uint32(max(e.ownWork.outputTokens, 0)), MemoryTokens: uint32(max(e.ownWork.kvTokens, 0)),
	}
}

// sinceStart returns a time as the duration since the start of the director, as decisions take
// it.
func (d *Director) sinceStart(now time.Time) time.Duration { return now.Sub(d.start) }

// charge takes the units of a job from its customer's limit. If the limit is used up, it
// returns false and the time after which to retry.
func (d *Director) charge(j *Job) (time.Duration, bool) {
	if j.Customer == nil {
		return 0, true
	}
	c := j.Customer
	d.mu.Lock()
	defer d.mu.Unlock()
	wait, ok := d.view.quota.Take(d.sinceStart(time.Now()), c.Name, d.limitOf(c), j.Units)
	j.customerLeft = d.view.quota.Left(c.Name)
	j.reachableEntries, j.knownEntries = d.view.quota.Entries()
	if ok {
		d.view.unreportedUsage[c.Name] = true
	}
	return wait, ok
}

// refund returns what charge took for a job that never ran.
func (d *Director) refund(j *Job) {
	if j.Customer == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.quota.Return(j.Customer.Name, j.Units)
	d.view.unreportedUsage[j.Customer.Name] = true
}

// Run does the periodic work of the director until ctx ends.
func (d *Director) Run(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if round%sweepRounds == 0 {
			d.cfg.Client.CloseExpired()
			d.sweepOrigins()
		}
		d.settleConns()
		d.dispatchTimed()
		d.sweepReturns()
		d.evaluateRollouts()
		d.sendUnsentOrigins()
		if entries := d.linkedEntries(); len(entries) > 0 {
			d.cfg.Peers.KeepLinks(entries)
		}
		for id, addr := range d.endpointsToProbe() {
			probes.Go(func() { d.probeEndpoint(ctx, id, addr) })
		}
	}
}

const (
	// roundInterval is the time between two rounds of periodic work, which includes the search
	// for endpoints to probe: a fraction of the shortest time for which endpoints are avoided.
	roundInterval = 100 * time.Millisecond
	// sweepRounds is the number of rounds for each sweep of idle connections and origins.
	sweepRounds = 10
)

// endpointsToProbe returns the addresses, by ID, of the endpoints to probe with a connection.
func (d *Director) endpointsToProbe() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]string)
	now := d.sinceStart(time.Now())
	d.view.health.StartConnectProbes(now, func(id string) {
		if e := d.view.endpoints[id]; e != nil && !e.Leaving {
			out[id] = e.Addr
		}
	})
	d.addUnverified(now, out)
	return out
}

// probeEndpoint opens a connection to an endpoint and records the result.
func (d *Director) probeEndpoint(ctx context.Context, id, addr string) {
	err := d.cfg.Client.Connect(ctx, addr)
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := d.sinceStart(time.Now()); err != nil {
		d.view.health.RecordResult(now, id, health.Unreachable)
		if e := d.view.endpoints[id]; e != nil && e.Addr == addr && hop.IsRefused(err) {
			d.recordCrash(e, "connection refused")
		}
	} else {
		d.view.health.RecordConnected(now, id)
	}
}
