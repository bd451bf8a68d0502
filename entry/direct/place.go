package direct

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/await"
	"lycheepond/core/canary"
	"lycheepond/core/logs"
	"lycheepond/core/relay"
	"lycheepond/core/route"
	"lycheepond/core/shard"
	"lycheepond/core/wire"
)

const (
	// ownedFor is for how long the owners of shards are taken for known.
	ownedFor = 100 * time.Millisecond
	// answerTime is how long an owner's answer is waited for beside the time for
	// which the request may stand in line there.
	answerTime = 60 * time.Millisecond
	// maxAsks is how many shards a request asks for a place, maxTopAsks one of the
	// highest tier, as long as they refuse within atOnce: whoever has waited longer has
	// no time left for another line.
	maxAsks    = 2
	maxTopAsks = 4
	atOnce     = 20 * time.Millisecond
	// passFor is for how long an owner that did not answer is not asked.
	passFor = 500 * time.Millisecond
	// notePart is the part of the expected output, and noteEvery the time, after
	// which an owner is told of output again.
	notePart  = 4
	noteEvery = 300 * time.Millisecond
)

// Peers is what a Director needs of the other entries to have them place its
// requests. The zero value has it place all of them itself.
type Peers struct {
	// Self is this entry's name among them.
	Self string
	// Entries returns the entries that are heard, this one included.
	Entries func() []relay.Entry
	// Link has links to these entries kept.
	Link func(entries []string)
	// Send sends a message to an entry; it reports false if there is no link to it.
	Send func(entry string, m wire.Message) bool
}

// place is a request's place at an endpoint that another entry counts.
type place struct {
	owner string
	id    uint64
	// output is how many tokens were expected, tokens how many have come that the
	// owner was not told, toldAt when it was last told.
	output, tokens int
	toldAt         time.Time
	// load is how many requests the endpoint said that it has.
	load int
}

// asked is a request for a place that has no answer.
type asked struct {
	owner string
	// answer gets the answer; it is closed if the link to the owner ends.
	answer chan *wire.PlaceReply
}

// note tells the owner of the try's place, if there is one, what has become of it;
// d.mu is held.
func (v *visit) note(now time.Time, tokens int, end uint8) {
	p := v.place
	if p == nil {
		return
	}
	p.tokens += tokens
	first := p.toldAt.IsZero()
	if end == wire.PlaceOpen && !first && p.tokens*notePart <= p.output && now.Sub(p.toldAt) < noteEvery {
		return
	}
	v.d.cfg.Peers.Send(p.owner, &wire.PlaceReport{ID: p.id, OutputTokens: uint32(p.tokens), Outcome: end, EndpointRequests: uint32(max(p.load, 0))})
	p.tokens, p.toldAt = 0, now
	if end != wire.PlaceOpen {
		delete(v.d.placed[p.owner], p.id)
		v.place = nil
	}
}

// sharded reports whether places are asked of the owners of shards.
func (d *Director) sharded(known int) bool {
	return d.cfg.Peers.Entries != nil && shard.HasOwners(known)
}

// owner returns the entry that owns a shard, empty if there is none; d.mu is held.
func (d *Director) owner(pool string, p *pool, k shard.Key, now time.Time) string {
	if p.owners == nil || now.Sub(p.ownedAt) > ownedFor {
		entries := d.cfg.Peers.Entries()
		p.owners, p.ownedAt = make(map[shard.Key]string, len(p.shards)), now
		for k := range p.shards {
			p.owners[k] = shard.Owner(pool, k, entries)
		}
	}
	return p.owners[k]
}

// owners returns the entries that own shards of the pools in use.
func (d *Director) owners() []string {
	_, known := d.cfg.Reach()
	if !d.sharded(known) {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	seen := make(map[string]bool)
	var out []string
	for _, c := range d.v.table.Config().Pools {
		p := d.v.pool(c.Name, d.cfg.Repeats, known)
		for k := range p.shards {
			if o := d.owner(c.Name, p, k, now); o != "" && o != d.cfg.Peers.Self && !seen[o] {
				seen[o] = true
				out = append(out, o)
			}
		}
	}
	return out
}

// loads returns what is known of the shards of a job's pool whose owners may be
// asked; d.mu is held.
func (d *Director) loads(p *pool, j *Job, now time.Time) []shard.Load {
	out := make([]shard.Load, 0, len(p.shards))
	for k, s := range p.shards {
		o := d.owner(j.Pool.Name, p, k, now)
		if o == "" || now.Before(d.passed[o]) {
			continue
		}
		l := shard.Load{Key: k}
		all := d.v.describeFor(p, s.endpoints, d.v.zone, j.Pool, now, d.since(now))
		l.Slots, l.FreeSlots = admit.UsableSlots(all), admit.FreeSlots(all)
		l.RequestsAhead = d.v.waits.ahead(o, tierIn{j.Pool.Name, j.Tier}, o == d.cfg.Peers.Self)
		out = append(out, l)
	}
	return out
}

// enterShard has a job placed by the owner of a shard, or by that of another one if
// the first finds no room. It returns false if no owner has decided. d.mu is held.
func (d *Director) enterShard(ctx context.Context, j *Job, p *pool) (*visit, admit.Decision, bool) {
	began := time.Now()
	loads := d.loads(p, j, began)
	var (
		v   *visit
		dec admit.Decision
		ok  bool
	)
	most := maxAsks
	if p.rank(j.Tier) == 0 {
		most = maxTopAsks
	}
	for try := range most {
		if len(loads) == 0 {
			break
		}
		i, stand := shard.Choose(loads, d.v.zone, rand.Float64())
		v, dec, ok = d.enterAt(ctx, j, p, loads[i].Key, stand || try > 0)
		if !ok || dec.Endpoint >= 0 || dec.Reason != admit.Full || ctx.Err() != nil || time.Since(began) > atOnce {
			break
		}
		// What is known of the shard is older than this answer.
		loads[i].FreeSlots, loads[i].RequestsAhead = 0, loads[i].Slots
	}
	if ok {
		v.basis.Stood = time.Since(began)
	}
	return v, dec, ok
}

// enterAt has a job placed in a shard. d.mu is held.
func (d *Director) enterAt(ctx context.Context, j *Job, p *pool, k shard.Key, stand bool) (*visit, admit.Decision, bool) {
	owner := d.owner(j.Pool.Name, p, k, time.Now())
	if owner != d.cfg.Peers.Self {
		return d.ask(ctx, j, p, k, owner, stand)
	}
	s := p.shards[k]
	if s == nil {
		return nil, admit.Decision{}, false
	}
	v, dec := d.queue(ctx, j, p, lineup{shard: s, zone: d.v.zone, stand: stand})
	return v, dec, true
}

// ask asks the owner of a shard for a place. d.mu is held, but not while the answer
// is awaited.
func (d *Director) ask(ctx context.Context, j *Job, p *pool, k shard.Key, owner string, stand bool) (*visit, admit.Decision, bool) {
	now := time.Now()
	d.asks++
	id := d.asks
	a := &asked{owner: owner, answer: make(chan *wire.PlaceReply, 1)}
	m := &wire.PlaceRequest{
		ID: id, Pool: j.Pool.Name, Zone: k.Zone, ShardIndex: k.Index, CustomerTier: j.Tier.Customer, RouteTier: j.Tier.Route,
		TargetUS: j.Route.Target.Microseconds(), TargetLeftUS: j.due().Sub(now).Microseconds(), DeadlineLeftUS: j.End().Sub(now).Microseconds(), MayQueue: stand,
	}
	if j.Pool.Engine {
		m.PromptTokens, m.OutputTokens = uint32(max(j.Prompt, 0)), uint32(max(j.Output, 0))
	}
	if !d.cfg.Peers.Send(owner, m) {
		return nil, admit.Decision{}, false
	}
	d.asking[id] = a
	wait := answerTime
	if stand {
		wait += await.MaxWait(j.Route.Target, j.due().Sub(now), 0)
	}
	d.mu.Unlock()
	timer := time.NewTimer(wait)
	var got *wire.PlaceReply
	late := false
	select {
	case got = <-a.answer:
	case <-ctx.Done():
	case <-timer.C:
		late = true
	}
	timer.Stop()
	d.mu.Lock()
	if d.asking[id] == a {
		delete(d.asking, id)
		d.cfg.Peers.Send(owner, &wire.PlaceReport{ID: id, Outcome: wire.PlaceDropped})
	} else if got == nil {
		// The answer, or the end of the link, came at the same moment.
		got = <-a.answer
	}
	switch {
	case got != nil:
		return d.granted(j, p, owner, got)
	case ctx.Err() != nil:
		return &visit{}, admit.Decision{Endpoint: -1, Reason: admit.Full}, true
	case late:
		d.passed[owner] = time.Now().Add(passFor)
		logs.Warn(d.cfg.Log, logs.EventOwnerLate, zap.String("peer", owner), zap.String("request_id", j.ID), zap.Duration("waited", wait))
	}
	return nil, admit.Decision{}, false
}

// granted turns an owner's answer into a try, or into a refusal. It returns false if
// the owner could not decide or does not know yet that the endpoint leaves. d.mu is
// held.
func (d *Director) granted(j *Job, p *pool, owner string, m *wire.PlaceReply) (*visit, admit.Decision, bool) {
	if !m.Decided {
		return nil, admit.Decision{}, false
	}
	heard, known := d.cfg.Reach()
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	dec := admit.Decision{Endpoint: -1, FirstEvent: us(m.FirstEventUS), SlotWait: us(m.WaitUS), RetryAfter: us(m.RetryAfterUS), SlotInterval: us(m.SlotIntervalUS), Reason: admit.Reason(m.RefusalReason)}
	v := &visit{basis: Basis{
		Endpoint: m.Endpoint, Predicted: dec.FirstEvent, Wait: dec.SlotWait, Ahead: int(m.RequestsAhead), Prompt: int(m.PromptTokens), Heard: heard, Known: known, Owner: owner,
	}}
	if m.Endpoint == "" {
		return v, dec, true
	}
	e := d.v.endpoints[m.Endpoint]
	switch {
	case e != nil && !e.Leaving && e.Pool == j.Pool.Name && d.v.rollouts.RoleOf(e.Pool, e.Version) == canary.InService:
	case e == nil && m.RosterRevision > d.v.roster.Revision && !d.v.rollouts.HasOpenOrder(j.Pool.Name):
		e = &endpoint{Endpoint: route.Endpoint{ID: m.Endpoint, Addr: m.Addr, Pool: j.Pool.Name, Slots: m.Slots}}
	default:
		d.cfg.Peers.Send(owner, &wire.PlaceReport{ID: m.ID, Outcome: wire.PlaceDropped})
		return nil, admit.Decision{}, false
	}
	dec.Endpoint, dec.Reason = 0, admit.Admitted
	v.d, v.pool, v.e, v.id, v.addr = d, p, e, e.ID, e.Addr
	v.alone, v.sent, v.free, v.ahead, v.wait, v.rest = len(p.endpoints) < 2, time.Now(), m.HadFreeSlot, int(m.PromptTokens), dec.SlotWait, dec.FirstEvent-dec.SlotWait
	v.held, v.fingerprint, v.route, v.version = holdOf(j, j.Output), j.fingerprint, j.Route.Name, e.Version
	v.place = &place{owner: owner, id: m.ID, output: v.held.output}
	if d.placed[owner] == nil {
		d.placed[owner] = make(map[uint64]*visit)
	}
	d.placed[owner][m.ID] = v
	return v, dec, true
}

// Acked takes in the answer of an owner.
func (d *Director) Acked(owner string, m *wire.PlaceReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.asking[m.ID]
	if a == nil || a.owner != owner {
		// The request has been given up.
		if m.Endpoint != "" {
			d.cfg.Peers.Send(owner, &wire.PlaceReport{ID: m.ID, Outcome: wire.PlaceDropped})
		}
		return
	}
	delete(d.asking, m.ID)
	a.answer <- m
}

// Parted notes that the link over which an owner was asked has ended. What it counted
// is counted here from now on.
func (d *Director) Parted(owner string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, a := range d.asking {
		if a.owner == owner {
			delete(d.asking, id)
			close(a.answer)
		}
	}
	now := time.Now()
	for _, v := range d.placed[owner] {
		v.place = nil
		if e := d.v.endpoints[v.id]; e != nil {
			v.e = e
		}
		v.count(now)
	}
	delete(d.placed, owner)
}
