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
	// soonInterval is dueInterval for callers that return soon: about as long as they wait
	// before they return, and as requests within a target of a second wait for a slot.
	soonInterval = 100 * time.Millisecond
	// maxSameContent is the largest number of bookings with one fingerprint. Further requests of
	// equal content get no plan, as without the setting, and return as newcomers.
	maxSameContent = 8
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
	// EndAt is the caller's deadline. It tells requests of equal content apart.
	EndAt time.Duration
	Plan  Plan
}

// IsFor reports whether a request with the booking's fingerprint and the deadline endAt may be
// another attempt of the booked request.
func (b *Booking) IsFor(endAt time.Duration) bool { return b.endDifference(endAt) <= sameEnd }

func (b *Booking) endDifference(endAt time.Duration) time.Duration {
	return max(endAt-b.EndAt, b.EndAt-endAt)
}

func (b *Booking) hasEnded(now time.Duration) bool { return now > b.DueAt+Grace }

// Arrival says how a request relates to the bookings.
type Arrival uint8

// The arrivals.
const (
	// Newcomer means that there is no booking.
	Newcomer Arrival = iota
	// Early means that the caller may have returned before its time. The booking stays.
	Early
	// Due means that the caller has used its booking.
	Due
)

// Book holds the bookings of one shard. The zero value is empty. It is owned by one goroutine.
type Book struct {
	// bookings holds the bookings by fingerprint, at most maxSameContent of each.
	bookings map[uint64][]Booking
	// count is the number of bookings, at most maxBookings.
	count int
	// later and soon are the numbers of bookings with these plans by tier and due time, without
	// zero counts.
	later, soon map[dueTier]int
	sweptAt     time.Duration
}

// dueTier identifies bookings of one tier that are due in one interval.
type dueTier struct {
	tier route.Tier
	// interval is the due time in multiples of dueInterval or, in soon, of soonInterval.
	interval int
}

// Len returns the number of bookings.
func (b *Book) Len() int { return b.count }

// Add books a request; it returns false if maxSameContent requests of equal content are booked
// already. If there are too many bookings, those with the latest due times are dropped.
func (b *Book) Add(booking Booking) bool {
	list := b.bookings[booking.Fingerprint]
	if len(list) >= maxSameContent {
		return false
	}
	if b.bookings == nil {
		b.bookings, b.later, b.soon = make(map[uint64][]Booking), make(map[dueTier]int), make(map[dueTier]int)
	}
	b.bookings[booking.Fingerprint] = append(list, booking)
	b.addCount(&booking, 1)
	if b.count > maxBookings {
		b.evictLatest()
	}
	return true
}

// Restore books a request that another owner had booked, unless it is booked already: an entry
// may report a booking twice.
func (b *Book) Restore(booking Booking) {
	if !slices.ContainsFunc(b.bookings[booking.Fingerprint], func(o Booking) bool { return o.IsFor(booking.EndAt) }) {
		b.Add(booking)
	}
}

// Claim uses the booking of a request that has arrived with the deadline endAt, if there is one
// and its caller is due. Of several bookings it takes one that is due, then the one with the
// closest deadline.
func (b *Book) Claim(now time.Duration, fingerprint uint64, endAt time.Duration) (Booking, Arrival) {
	list, found, arrival := b.bookings[fingerprint], -1, Newcomer
	for i := range list {
		r := &list[i]
		if r.hasEnded(now) || !r.IsFor(endAt) {
			continue
		}
		a := Due
		if now < r.DueAt-earlyTolerance {
			a = Early
		}
		if found < 0 || a > arrival || a == arrival && r.endDifference(endAt) < list[found].endDifference(endAt) {
			found, arrival = i, a
		}
	}
	if found < 0 {
		return Booking{}, Newcomer
	}
	booking := list[found]
	if arrival == Due {
		b.removeAt(fingerprint, found)
	}
	return booking, arrival
}

// Use removes the booking of a caller that was placed before its time.
func (b *Book) Use(booking Booking) {
	if i := slices.Index(b.bookings[booking.Fingerprint], booking); i >= 0 {
		b.removeAt(booking.Fingerprint, i)
	}
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

// SoonThen returns how many requests of the same or a higher tier are told to return soon, at
// about the time dueAt.
func (b *Book) SoonThen(t route.Tier, dueAt time.Duration) int {
	then := 0
	for k, count := range b.soon {
		if k.tier.Compare(t) <= 0 && k.interval == int(dueAt/soonInterval) {
			then += count
		}
	}
	return then
}

// Sweep drops the bookings that have ended unused and returns their number. It searches at most
// once in sweepInterval.
func (b *Book) Sweep(now time.Duration) int {
	if b.count == 0 || now-b.sweptAt < sweepInterval {
		return 0
	}
	b.sweptAt = now
	return b.removeFunc(func(r *Booking) bool { return r.hasEnded(now) })
}

// removeFunc removes the bookings for which drop returns true and returns their number.
func (b *Book) removeFunc(drop func(*Booking) bool) int {
	before := b.count
	for fingerprint, list := range b.bookings {
		for i := len(list) - 1; i >= 0; i-- {
			if drop(&list[i]) {
				b.removeAt(fingerprint, i)
			}
		}
	}
	return before - b.count
}

// removeAt removes the booking of a fingerprint with the index i.
func (b *Book) removeAt(fingerprint uint64, i int) {
	list := b.bookings[fingerprint]
	b.addCount(&list[i], -1)
	if len(list) == 1 {
		delete(b.bookings, fingerprint)
		return
	}
	b.bookings[fingerprint] = slices.Delete(list, i, i+1)
}

// addCount adds n to the counts of bookings like r.
func (b *Book) addCount(r *Booking, n int) {
	b.count += n
	counts, interval := b.later, dueInterval
	if r.Plan == Soon {
		counts, interval = b.soon, soonInterval
	}
	k := dueTier{r.Tier, int(r.DueAt / interval)}
	if counts[k] += n; counts[k] == 0 {
		delete(counts, k)
	}
}

// evictLatest drops the evictedShare of the bookings that are due last, at least one.
func (b *Book) evictLatest() {
	due := make([]time.Duration, 0, b.count)
	for _, list := range b.bookings {
		for i := range list {
			due = append(due, list[i].DueAt)
		}
	}
	slices.Sort(due)
	excess := max(int(evictedShare*float64(len(due))), 1)
	limit := due[len(due)-excess]
	b.removeFunc(func(r *Booking) bool {
		if excess == 0 || r.DueAt < limit {
			return false
		}
		excess--
		return true
	})
}
