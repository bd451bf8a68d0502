package resv

import (
	"slices"
	"time"

	"lycheepond/core/route"
)

const (
	// maxBookings is the largest number of bookings of a shard. At about 150 bytes each they
	// take 2.5 MB.
	maxBookings = 16384
	// evictedShare is the share of the bookings that is dropped when there are maxBookings, so
	// that the search for the latest ones is rare.
	evictedShare = 1.0 / 16
	// earlyTolerance is how much before its time a caller may return. It covers the latency of
	// the refusal and rounded times.
	earlyTolerance = 50 * time.Millisecond
	// Grace is how long after its time a booking is kept for a caller that is late.
	Grace = time.Second
	// sameEnd is by how much the deadlines that an entry computes for two attempts of one
	// request may differ. A request that is read late by a busy entry seems to have more time
	// left than it has.
	sameEnd = 250 * time.Millisecond
	// dueInterval is the width of the intervals of due times in which bookings are counted: about
	// as long as late work waits at most.
	dueInterval = time.Second
	// sweepInterval is the time between two searches for bookings that have ended.
	sweepInterval = 250 * time.Millisecond
)

// Booking is a refused request that is expected to come back.
type Booking struct {
	// Fingerprint identifies the request by its content; it is never zero.
	Fingerprint uint64
	Tier        route.Tier
	Target      time.Duration
	// FirstAt is the time of the first attempt, DueAt when the caller should return.
	FirstAt, DueAt time.Duration
	// EndAt is the caller's deadline, zero if it is not known.
	EndAt time.Duration
	Plan  Plan
}

// Arrival says how a request relates to the bookings.
type Arrival uint8

// The arrivals.
const (
	// Newcomer means that there is no booking.
	Newcomer Arrival = iota
	// Early means that the caller has returned before its time and keeps its booking.
	Early
	// Due means that the caller has used its booking.
	Due
)

// Book holds the bookings of one shard. The zero value is empty. It is owned by one goroutine.
type Book struct {
	records map[uint64]*record
	// count is the number of bookings, at most maxBookings.
	count int
	// later is the number of bookings with the plan Later by tier and due time, without zero
	// counts.
	later   map[dueTier]int
	sweptAt time.Duration
}

// dueTier identifies bookings of one tier that are due in one dueInterval.
type dueTier struct {
	tier route.Tier
	// interval is the due time in multiples of dueInterval.
	interval int
}

// record holds the bookings with one fingerprint. Requests of equal content cannot be told
// apart, so they are counted and share the earliest times.
type record struct {
	Booking
	count int
	// lastDueAt is the latest due time.
	lastDueAt time.Duration
}

func (r *record) hasEnded(now time.Duration) bool { return now > r.lastDueAt+Grace }

// Len returns the number of bookings.
func (b *Book) Len() int { return b.count }

// Add books a request. If there are too many bookings, those with the latest due times are
// dropped.
func (b *Book) Add(booking Booking) {
	r := b.records[booking.Fingerprint]
	if r == nil {
		if b.records == nil {
			b.records, b.later = make(map[uint64]*record), make(map[dueTier]int)
		}
		r = &record{Booking: booking}
	}
	// The due time of the record must not change while it is counted by that.
	n := r.count
	b.addCount(r, -n)
	r.FirstAt, r.DueAt, r.lastDueAt = min(r.FirstAt, booking.FirstAt), min(r.DueAt, booking.DueAt), max(r.lastDueAt, booking.DueAt)
	b.addCount(r, n+1)
	if b.count > maxBookings {
		b.evictLatest()
	}
}

// Restore books a request that another owner had booked, unless its fingerprint is booked
// already: an entry may report a booking twice.
func (b *Book) Restore(booking Booking) {
	if b.records[booking.Fingerprint] == nil {
		b.Add(booking)
	}
}

// Claim uses the booking of a request that has arrived, if there is one. endAt is the request's
// deadline: a request with a booked fingerprint but another deadline that comes before the due
// time is not an early return but another request of equal content.
func (b *Book) Claim(now time.Duration, fingerprint uint64, endAt time.Duration) (Booking, Arrival) {
	r := b.records[fingerprint]
	switch {
	case r == nil || r.hasEnded(now):
		return Booking{}, Newcomer
	case now < r.DueAt-earlyTolerance:
		if r.EndAt != 0 && max(endAt-r.EndAt, r.EndAt-endAt) > sameEnd {
			return Booking{}, Newcomer
		}
		return r.Booking, Early
	}
	b.addCount(r, -1)
	return r.Booking, Due
}

// LaterAhead returns how many requests of the same or a higher tier are booked for later, and how
// many of them for about the time dueAt.
func (b *Book) LaterAhead(t route.Tier, dueAt time.Duration) (all, then int) {
	for k, count := range b.later {
		if k.tier.Compare(t) > 0 {
			continue
		}
		all += count
		if k.interval == int(dueAt/dueInterval) {
			then += count
		}
	}
	return all, then
}

// Sweep drops the bookings that have ended unused and returns their number. It searches at most
// once in sweepInterval.
func (b *Book) Sweep(now time.Duration) int {
	if b.count == 0 || now-b.sweptAt < sweepInterval {
		return 0
	}
	b.sweptAt = now
	before := b.count
	for _, r := range b.records {
		if r.hasEnded(now) {
			b.addCount(r, -r.count)
		}
	}
	return before - b.count
}

// addCount adds n bookings to a record and removes it if none are left.
func (b *Book) addCount(r *record, n int) {
	r.count += n
	b.count += n
	if k := (dueTier{r.Tier, int(r.DueAt / dueInterval)}); r.Plan == Later {
		if b.later[k] += n; b.later[k] == 0 {
			delete(b.later, k)
		}
	}
	if r.count == 0 {
		delete(b.records, r.Fingerprint)
	} else {
		b.records[r.Fingerprint] = r
	}
}

// evictLatest drops the evictedShare of the fingerprints that are due last, at least one.
func (b *Book) evictLatest() {
	due := make([]time.Duration, 0, len(b.records))
	for _, r := range b.records {
		due = append(due, r.DueAt)
	}
	slices.Sort(due)
	excess := max(int(evictedShare*float64(len(due))), 1)
	limit := due[len(due)-excess]
	for _, r := range b.records {
		if excess > 0 && r.DueAt >= limit {
			b.addCount(r, -r.count)
			excess--
		}
	}
}
