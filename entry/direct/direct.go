// Package direct serves requests by calling endpoints from the entry itself,
// for endpoints without an agent and for platforms on which any other process
// may be missing. Admission and placement are core/admit's, trust in endpoints
// core/trust's, customers' limits core/quota's; this package keeps what they
// know in one place, carries requests and answers, and decides what a failure
// means: whether the request may be sent again, and what the caller may be told.
package direct

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/canary"
	"lycheepond/core/meter"
	"lycheepond/core/poison"
	"lycheepond/core/quota"
	"lycheepond/core/route"
	"lycheepond/core/trust"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

// Repeats bounds how many requests all entries together may send again.
type Repeats struct {
	// Ratio is the share of a pool's requests, Slack a number on top of it.
	Ratio, Slack float64
}

// Config is what a Director depends on.
type Config struct {
	Zone string
	// Addr is where peers reach this entry.
	Addr    string
	Repeats Repeats
	// Tolerance is by how much customers may exceed their limits.
	Tolerance quota.Tolerance
	Client    *hop.Client
	// Reach returns how many entries are heard and how many may be at work.
	Reach func() (heard, known int)
	Peers Peers
	// Stamp sets the headers by which the endpoint knows what it is told.
	Stamp func(r *hop.Request, o Order)
	// Own reports whether an answer's head belongs to the request of an ID.
	Own func(id string, status int, h http.Header) bool
	// Read reads the head of an answer.
	Read func(a *hop.Answer) Meta
	// Rollouts bounds what a version that turns out to be bad may get. WriteRollout is
	// called when the state of an order is to be written; it must not block.
	Rollouts     canary.Limit
	WriteRollout func(w canary.StateWrite)
	// Quarantine is called when a quarantine begins or is lifted. It must not block; it
	// may be nil.
	Quarantine func(c poison.Change)
	Metrics    *meter.Set
	Log        *zap.Logger
}

// Director serves requests. It is safe for concurrent use.
type Director struct {
	cfg   Config
	start time.Time
	// answered holds by customer how long answers took, refused the times to
	// come back that were told.
	answered, refused *meter.CustomerHistograms

	mu sync.Mutex
	v  *view
	// running counts jobs without a final answer.
	running int
	// asks counts the places that were asked of owners; asking holds those without an
	// answer, placed by owner and number the tries that owners count.
	asks   uint64
	asking map[uint64]*asked
	placed map[string]map[uint64]*visit
	// passed holds until when owners that did not answer are not asked.
	passed map[string]time.Time
}

// New returns a director without configuration.
func New(cfg Config) *Director {
	d := &Director{
		cfg: cfg, start: time.Now(), v: newView(cfg.Zone, cfg.Rollouts),
		asking: make(map[uint64]*asked), placed: make(map[string]map[uint64]*visit), passed: make(map[string]time.Time),
		answered: cfg.Metrics.CustomerHistograms("customer_answer_ms"), refused: cfg.Metrics.CustomerHistograms("customer_retry_ms"),
	}
	d.v.share = d.share
	return d
}

// Table returns the configuration in force; its revision is zero before the
// first one is known.
func (d *Director) Table() *route.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.table
}

// SetConfig puts a configuration in force unless it is older than the present
// one, and reports whether it did.
func (d *Director) SetConfig(c route.Config) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Revision <= d.v.table.Revision() {
		return false
	}
	d.v.table = route.NewTable(c)
	for name, p := range d.v.pools {
		p.tiers = d.v.table.Tiers(name)
	}
	return true
}

// Roster returns the instance list in force.
func (d *Director) Roster() route.Roster {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.roster
}

// SetRoster puts an instance list in force unless it is older than the present
// one, and reports whether it did. A list of the same revision may differ: an
// endpoint whose removal was in doubt is gone from the later one.
func (d *Director) SetRoster(r route.Roster) bool {
	d.mu.Lock()
	if r.Revision < d.v.roster.Revision {
		d.mu.Unlock()
		return false
	}
	gone := d.v.setRoster(r, d.since(time.Now()))
	d.notePoison()
	d.advanceAll()
	d.mu.Unlock()
	for _, addr := range gone {
		d.cfg.Client.Drop(addr)
	}
	return true
}

// Informed reports whether a configuration, an instance list and the orders to roll out
// versions are known.
func (d *Director) Informed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.table.Revision() > 0 && d.v.roster.Revision > 0 && d.v.rollouts.OrdersKnown()
}

// Running returns how many jobs have no final answer yet.
func (d *Director) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

// Heard takes in a peer's tally; anew is set for the first of a process, which
// counts from zero.
func (d *Director) Heard(peer string, anew bool, t *wire.Tally) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.v.heard(peer, anew, t)
	d.mergeSuspects(t.Suspects)
	d.mergeLimits(peer, t.Limits)
	d.mergeRollouts(peer, anew, t.Rollouts)
	d.advanceAll()
}

// Whole returns what a peer told, all of it together.
func (d *Director) Whole(peer string) *wire.Tally {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := new(wire.Tally)
	for _, h := range d.v.peers[peer] {
		t.Endpoints = append(t.Endpoints, h)
	}
	d.v.quota.PeerTotals(peer, func(customer string, total float64) {
		t.Customers = append(t.Customers, wire.CustomerUsage{Customer: customer, Total: total})
	})
	t.Queues = d.v.waits.of(peer)
	return t
}

// Lost drops the work of a peer that fell silent.
func (d *Director) Lost(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.v.lost(peer)
	d.advanceAll()
}

// Tally returns what the peers have to know: what has changed, or all of it.
func (d *Director) Tally(all bool) *wire.Tally {
	heard, known := d.cfg.Reach()
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.v
	v.quota.SetEntries(heard, known)
	t := &wire.Tally{ConfigRevision: v.table.Revision(), RosterRevision: v.roster.Revision, Queues: v.waits.tell(all)}
	if all {
		t.Addr = d.cfg.Addr
	}
	v.quota.OwnTotals(func(customer string, total float64) {
		if all || v.changedUsed[customer] {
			t.Customers = append(t.Customers, wire.CustomerUsage{Customer: customer, Total: total})
		}
	})
	for id, e := range v.endpoints {
		if all && e.own.requests > 0 || v.changedHeld[id] {
			t.Endpoints = append(t.Endpoints, e.held())
		}
	}
	if all {
		// Those that were told before still have to hear of the changes.
		return t
	}
	for id := range v.changedHeld {
		if e := v.endpoints[id]; e != nil {
			e.told, e.toldRequests = e.own.output, e.own.requests
		}
	}
	clear(v.changedHeld)
	clear(v.changedUsed)
	return t
}

func (e *endpoint) held() wire.EndpointLoad {
	return wire.EndpointLoad{
		Endpoint: e.ID, Requests: uint32(e.own.requests), PromptTokens: uint32(max(e.own.prompt, 0)),
		OutputTokens: uint32(max(e.own.output, 0)), MemoryTokens: uint32(max(e.own.tokens, 0)),
	}
}

// since is the time as decisions count it.
func (d *Director) since(now time.Time) time.Duration { return now.Sub(d.start) }

// charge admits a job against its customer's limit.
func (d *Director) charge(j *Job) (time.Duration, bool) {
	if j.Customer == nil {
		return 0, true
	}
	c := j.Customer
	d.mu.Lock()
	defer d.mu.Unlock()
	wait, ok := d.v.quota.Take(d.since(time.Now()), c.Name, quota.Limit{Rate: c.Rate, Burst: c.Burst}.WithTolerance(d.cfg.Tolerance), j.Units)
	if ok {
		d.v.changedUsed[c.Name] = true
	}
	return wait, ok
}

// refund gives back what charge took for a job that never ran.
func (d *Director) refund(j *Job) {
	if j.Customer == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.v.quota.Return(j.Customer.Name, j.Units)
	d.v.changedUsed[j.Customer.Name] = true
}

// Run does the chores of the director until ctx ends.
func (d *Director) Run(ctx context.Context) error {
	sweep, try := time.NewTicker(sweepEvery), time.NewTicker(tryEvery)
	defer sweep.Stop()
	defer try.Stop()
	var tries sync.WaitGroup
	defer tries.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sweep.C:
			d.cfg.Client.Sweep()
		case <-try.C:
			d.offerTokens()
			d.judgeRollouts()
			if owners := d.owners(); len(owners) > 0 {
				d.cfg.Peers.Link(owners)
			}
			for id, addr := range d.due() {
				tries.Go(func() { d.reach(ctx, id, addr) })
			}
		}
	}
}

const (
	// sweepEvery is how often idle connections are looked through.
	sweepEvery = time.Second
	// tryEvery is how often endpoints are looked for that may be tried again: a
	// fraction of the shortest time that they are avoided.
	tryEvery = 100 * time.Millisecond
)

// due returns the endpoints to try with a connection, and their addresses.
func (d *Director) due() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]string)
	now := d.since(time.Now())
	d.v.trust.StartConnectProbes(now, func(id string) {
		if e := d.v.endpoints[id]; e != nil {
			out[id] = e.Addr
		}
	})
	d.unverified(now, out)
	return out
}

// reach tries an endpoint with a connection.
func (d *Director) reach(ctx context.Context, id, addr string) {
	err := d.cfg.Client.Reach(ctx, addr)
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := d.since(time.Now()); err != nil {
		d.v.trust.RecordResult(now, id, trust.Unreachable)
		if e := d.v.endpoints[id]; e != nil && e.Addr == addr && hop.Refused(err) {
			d.crashed(e)
		}
	} else {
		d.v.trust.RecordConnected(now, id)
	}
}
