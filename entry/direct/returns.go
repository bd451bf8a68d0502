package direct

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"lycheepond/core/admit"
	"lycheepond/core/bitmix"
	"lycheepond/core/meter"
	"lycheepond/core/resv"
	"lycheepond/core/route"
	"lycheepond/core/shard"
	"lycheepond/core/wire"
)

// maxOwnBookings bounds the copies that an entry keeps of bookings made for its callers. Each is
// sent to a new owner of the shard.
const maxOwnBookings = wire.MaxBookings

// ownBooking is the copy of a booking that the owner of a shard keeps for a caller which this
// entry refused.
type ownBooking struct {
	resv.Booking
	pool string
	// owner has the booking for the shard. It is empty if no owner is known to have it.
	owner string
	shard shard.Key
}

// setReturnKey sets the fingerprint by which the owner of a shard recognises the job's caller
// when it returns.
func (j *Job) setReturnKey() {
	f := j.suspect.Fingerprint()
	j.returnKey = binary.LittleEndian.Uint64(f[:8])
}

// silenceEnd returns the time at which the caller leaves unless the answer has begun.
func (j *Job) silenceEnd() time.Time {
	if j.Route.MaxSilence <= 0 {
		return j.End()
	}
	return j.AcceptedAt.Add(j.Route.MaxSilence)
}

// plansReturns reports whether a refusal of the job comes with a plan for its return.
func (d *Director) plansReturns(j *Job) bool {
	return d.cfg.Overload.PlanReturns && j.returnKey != 0
}

// homeShard returns the shard whose owner books a job. All entries choose the same one, so that
// a caller that returns to another entry is recognised.
func (p *pool) homeShard(returnKey uint64) shard.Key {
	var (
		home shard.Key
		best uint64
	)
	for k := range p.shards {
		if len(p.shards) == 1 {
			return k
		}
		// Rendezvous hashing.
		h := fnv.New64a()
		h.Write([]byte(k.Zone))
		h.Write(binary.LittleEndian.AppendUint64([]byte{0, byte(k.Index), byte(k.Index >> 8)}, returnKey))
		if score := bitmix.Mix(h.Sum64()); score >= best {
			home, best = k, score
		}
	}
	return home
}

// countReturn adds n to a counter of returns of the pool.
func (d *Director) countReturn(p *pool, counter string, n int) {
	d.cfg.Metrics.Counter(counter, meter.Label{Key: "pool", Value: p.name}).Inc(int64(n))
}

// placeOrEnqueue places, refuses or queues a job; it returns the waiter of a queued one. The
// caller holds d.mu.
func (d *Director) placeOrEnqueue(j *Job, p *pool, opts queueOptions) (*attempt, admit.Decision, *waiter) {
	if !opts.plansReturn {
		return d.placeForTarget(j, p, opts)
	}
	now, s := time.Now(), opts.shard
	booking, arrival := s.late.book.Claim(d.sinceStart(now), j.returnKey, d.sinceStart(j.End()))
	switch arrival {
	case resv.Early:
		if a, dec, ok := d.placeEarly(j, p, opts); ok {
			s.late.book.Use(booking)
			d.countReturn(p, "returns_served", 1)
			return a, dec, nil
		}
		j.firstAt = d.start.Add(booking.FirstAt)
		d.countReturn(p, "returns_early", 1)
		a := d.newRefusal()
		a.placement.Plan, a.placement.Returned = booking.Plan, now.Sub(j.firstAt)
		return a, admit.Decision{Endpoint: -1, Reason: admit.Full, RetryAfter: booking.DueAt - d.sinceStart(now)}, nil
	case resv.Due:
		j.firstAt = d.start.Add(booking.FirstAt)
		d.countReturn(p, "returns_recognised", 1)
		if j.firstEventDue().Sub(now) < p.firstEventTime(j) {
			return d.placeReturnLate(j, p, opts, d.newRefusal(), admit.Decision{Endpoint: -1, Reason: admit.Full}, false)
		}
	}
	a, dec, w := d.placeForTarget(j, p, opts)
	switch {
	case w != nil:
	case dec.Endpoint < 0:
		return d.planRefused(j, p, opts, a, dec)
	case arrival == resv.Due:
		d.recordServedReturn(j, p, a)
	}
	return a, dec, w
}

// placeEarly places a job whose caller may have returned before its time, if there is room now and
// nobody waits for it. The job may also be the first attempt of a request of equal content, so its
// target counts from its arrival. The caller holds d.mu.
func (d *Director) placeEarly(j *Job, p *pool, opts queueOptions) (a *attempt, dec admit.Decision, ok bool) {
	s := opts.shard
	if s.queue.Len()+s.late.queue.Len() > 0 {
		return nil, admit.Decision{}, false
	}
	a, dec = d.placeJob(j, placementOptions{outputTokens: j.OutputTokens, entryShare: 1, shard: s, from: opts.from})
	if dec.Endpoint < 0 {
		return nil, admit.Decision{}, false
	}
	position := d.queuePosition(j, p)
	position.Owed = p.floor.Claim(queueClass(j), position.HoldTime)
	p.recordService(j, position, true)
	return a, dec, true
}

// newRefusal returns what placeJob returns for a refusal, for a job that it was not called for.
func (d *Director) newRefusal() *attempt {
	reachableEntries, knownEntries := d.cfg.EntryCounts()
	return &attempt{placement: Placement{ReachableEntries: reachableEntries, KnownEntries: knownEntries}}
}

// recordServedReturn records that a caller that returned has got a slot.
func (d *Director) recordServedReturn(j *Job, p *pool, a *attempt) {
	a.placement.Returned = time.Since(j.firstAt)
	d.countReturn(p, "returns_served", 1)
}

// planRefused decides what becomes of a job that cannot be placed in time: a caller that has
// returned gets the room for late work or is refused with finality, a newcomer is told when to
// return. The caller holds d.mu.
func (d *Director) planRefused(j *Job, p *pool, opts queueOptions, a *attempt, dec admit.Decision) (*attempt, admit.Decision, *waiter) {
	s := opts.shard
	if dec.SlotInterval > 0 {
		s.late.slotInterval = dec.SlotInterval
	}
	if dec.Reason != admit.Full && dec.Reason != admit.Late || dec.RestWait > 0 {
		// It is not known when there will be room, or there is not enough time left.
		if !j.firstAt.IsZero() {
			d.refuseReturn(j, p, a, resv.Unplanned)
		}
		return a, dec, nil
	}
	if !j.firstAt.IsZero() {
		return d.placeReturnLate(j, p, opts, a, dec, true)
	}
	now := time.Now()
	booked, bookedThen := s.late.book.LaterAhead(j.Tier, d.sinceStart(now)+resv.LatestReturn(j.End().Sub(now)))
	plan, wait := resv.Decide(resv.Refusal{
		ServedRate: p.floor.Rate(queueClass(j)), RetryAfter: dec.RetryAfter,
		UntilTarget: j.firstEventDue().Sub(now) - p.firstEventTime(j), TimeLeft: j.End().Sub(now),
		SlotInterval: s.late.slotInterval, Booked: booked, BookedThen: bookedThen,
		SoonThen: s.late.book.SoonThen(j.Tier, d.sinceStart(now)+dec.RetryAfter),
	})
	if plan.IsBooked() {
		if !s.late.book.Add(resv.Booking{
			Fingerprint: j.returnKey, Tier: j.Tier, Target: j.Route.Target, FirstAt: d.sinceStart(j.AcceptedAt), DueAt: d.sinceStart(now) + wait, EndAt: d.sinceStart(j.End()), Plan: plan,
		}) {
			return a, dec, nil
		}
		dec.RetryAfter = wait
		d.countReturn(p, "returns_booked", 1)
	}
	a.placement.Plan = plan
	return a, dec, nil
}

// keepBooking keeps a copy of the booking that an owner has made for a job refused by this
// entry, and drops the copy of a booking made for an earlier attempt of the job. The caller holds
// d.mu.
func (d *Director) keepBooking(j *Job, p *pool, a *attempt, dec admit.Decision) {
	if !d.plansReturns(j) {
		return
	}
	list, end := d.ownBookings[j.returnKey], d.sinceStart(j.End())
	if i := slices.IndexFunc(list, func(b ownBooking) bool { return b.IsFor(end) }); i >= 0 {
		list = slices.Delete(list, i, i+1)
		d.setOwnBookings(j.returnKey, list)
	}
	if dec.Endpoint >= 0 || !a.placement.Plan.IsBooked() || d.ownBookingCount >= maxOwnBookings {
		return
	}
	now := time.Now()
	firstAt := j.AcceptedAt
	if a.placement.Returned > 0 {
		firstAt = now.Add(-a.placement.Returned)
	}
	b := ownBooking{pool: p.name, shard: p.homeShard(j.returnKey), owner: a.placement.Owner}
	if b.owner == "" {
		b.owner = d.cfg.Peers.Self
	}
	b.Booking = resv.Booking{Fingerprint: j.returnKey, Tier: j.Tier, Target: j.Route.Target, FirstAt: d.sinceStart(firstAt), DueAt: d.sinceStart(now) + dec.RetryAfter, EndAt: end, Plan: a.placement.Plan}
	d.setOwnBookings(j.returnKey, append(list, b))
}

// setOwnBookings replaces the copies of bookings with a fingerprint.
func (d *Director) setOwnBookings(key uint64, list []ownBooking) {
	d.ownBookingCount += len(list) - len(d.ownBookings[key])
	d.ownBookings[key] = list
	if len(list) == 0 {
		delete(d.ownBookings, key)
	}
}

// sweepReturns drops bookings that have ended, sends copies to new owners and dispatches late
// work to endpoints that have room again because time has passed.
func (d *Director) sweepReturns() {
	if !d.cfg.Overload.PlanReturns {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, p := range d.view.pools {
		for _, s := range p.shards {
			if n := s.late.book.Sweep(d.sinceStart(now)); n > 0 {
				d.countReturn(p, "returns_expired", n)
			}
			d.dispatchLate(p, s)
		}
	}
	d.sendBookings(now)
}

// bookingTarget is the shard and the owner that get copies of bookings.
type bookingTarget struct {
	pool, owner string
	shard       shard.Key
}

// sendBookings sends the copies of bookings to the owners that do not have them. The caller
// holds d.mu.
func (d *Director) sendBookings(now time.Time) {
	unsent := make(map[bookingTarget][]*ownBooking)
	for key, list := range d.ownBookings {
		list = slices.DeleteFunc(list, func(b ownBooking) bool { return d.sinceStart(now) > b.DueAt+resv.Grace })
		d.setOwnBookings(key, list)
		for i := range list {
			b := &list[i]
			p := d.view.pools[b.pool]
			if p == nil {
				continue
			}
			t := bookingTarget{pool: b.pool, shard: p.homeShard(key)}
			t.owner = d.shardOwner(b.pool, p, t.shard, now)
			if t.owner != "" && (t.owner != b.owner || t.shard != b.shard) {
				unsent[t] = append(unsent[t], b)
			}
		}
	}
	for t, list := range unsent {
		if !d.sendBookingsTo(t, list, now) {
			continue
		}
		for _, b := range list {
			b.owner, b.shard = t.owner, t.shard
		}
	}
}

// sendBookingsTo sends copies of bookings to an owner, which may be this entry. It returns false
// if there is no link to the owner.
func (d *Director) sendBookingsTo(t bookingTarget, list []*ownBooking, now time.Time) bool {
	if t.owner == d.cfg.Peers.Self {
		for _, b := range list {
			d.view.pools[t.pool].restoreBooking(t.shard, b.Booking)
		}
		return true
	}
	m := &wire.PlaceBookings{Pool: t.pool, Zone: t.shard.Zone, ShardIndex: t.shard.Index}
	at := d.sinceStart(now)
	for _, b := range list {
		m.Bookings = append(m.Bookings, wire.Booking{
			Fingerprint: b.Fingerprint, CustomerTier: b.Tier.Customer, RouteTier: b.Tier.Route, AcceptedAgoUS: (at - b.FirstAt).Microseconds(),
			DueUS: (b.DueAt - at).Microseconds(), TargetUS: b.Target.Microseconds(), DeadlineLeftUS: (b.EndAt - at).Microseconds(), Plan: uint8(b.Plan),
		})
	}
	return d.cfg.Peers.SendBookings != nil && d.cfg.Peers.SendBookings(t.owner, m)
}

// forgetBookingOwner records that an entry may have lost the bookings of this entry's callers.
// The caller holds d.mu.
func (d *Director) forgetBookingOwner(owner string) {
	for _, list := range d.ownBookings {
		for i := range list {
			if list[i].owner == owner {
				list[i].owner = ""
			}
		}
	}
}

// restoreBooking books a caller that another owner of the shard expected.
func (p *pool) restoreBooking(k shard.Key, b resv.Booking) {
	if s := p.shards[k]; s != nil && b.Fingerprint != 0 && b.Plan.IsBooked() {
		s.late.book.Restore(b)
	}
}

// handleBookings books the callers that the peer has refused for another owner of a shard.
func (s *Session) handleBookings(m *wire.PlaceBookings) {
	d := s.d
	if !d.cfg.Overload.PlanReturns {
		return
	}
	_, knownEntries := d.cfg.EntryCounts()
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.view.table.Pool(m.Pool); !ok {
		return
	}
	p := d.view.pool(m.Pool, d.cfg.RetryBudget, knownEntries)
	now := d.sinceStart(time.Now())
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	for _, b := range m.Bookings {
		p.restoreBooking(shard.Key{Zone: m.Zone, Index: m.ShardIndex}, resv.Booking{
			Fingerprint: b.Fingerprint, Tier: route.Tier{Customer: b.CustomerTier, Route: b.RouteTier}, Target: us(b.TargetUS),
			FirstAt: now - us(b.AcceptedAgoUS), DueAt: now + us(b.DueUS), EndAt: now + us(b.DeadlineLeftUS), Plan: resv.Plan(b.Plan),
		})
	}
}
