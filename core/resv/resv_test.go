package resv

import (
	"testing"
	"time"

	"lycheepond/core/route"
)

const ms = time.Millisecond

// Guards against callers that are all sent into the same crowd again, that are told a time which
// they cannot honour, and that are booked for room which the shard does not have.
func TestDecide(t *testing.T) {
	usual := Refusal{ServedRate: 0.1, RetryAfter: 100 * ms, UntilTarget: 400 * ms, TimeLeft: 12 * time.Second, SlotInterval: 4 * ms}
	for _, tt := range []struct {
		name string
		set  func(r *Refusal)
		plan Plan
		wait time.Duration
	}{
		{"rarely served", func(*Refusal) {}, Later, 4 * time.Second},
		{"often served", func(r *Refusal) { r.ServedRate = 0.3 }, Soon, 100 * ms},
		{"no room soon", func(r *Refusal) { r.ServedRate, r.SoonThen = 0.9, 25 }, Later, 4 * time.Second},
		{"room soon", func(r *Refusal) { r.ServedRate, r.SoonThen = 0.9, 24 }, Soon, 100 * ms},
		{"target missed on return", func(r *Refusal) { r.ServedRate, r.UntilTarget = 0.9, 90*ms }, Later, 4 * time.Second},
		{"deadline near", func(r *Refusal) { r.ServedRate, r.TimeLeft = 0.9, 240*ms }, Later, 80 * ms},
		{"booked up to the deadline", func(r *Refusal) { r.Booked = 3001 }, None, 0},
		{"booked up at the return", func(r *Refusal) { r.Booked, r.BookedThen = 251, 251 }, None, 0},
		{"room at the return", func(r *Refusal) { r.Booked, r.BookedThen = 3000, 250 }, Later, 4 * time.Second},
		{"past the deadline", func(r *Refusal) { r.TimeLeft = -1 }, None, 0},
	} {
		r := usual
		tt.set(&r)
		if plan, wait := Decide(r); plan != tt.plan || wait != tt.wait {
			t.Errorf("%s: %v in %v", tt.name, plan, wait)
		}
	}
}

// Guards against late work that waits in vain behind a long queue, waits past what the caller
// bears, or never begins to be placed again after a crowd.
func TestMaxWait(t *testing.T) {
	usual := Late{Ahead: 50, PlacedPerSecond: 100, SlotInterval: 4 * ms, Target: 500 * ms, TimeLeft: 4 * time.Second, HoldTime: time.Second}
	for _, tt := range []struct {
		name string
		set  func(l *Late)
		want time.Duration
	}{
		{"short queue", func(*Late) {}, time.Second},
		{"queue of more than the wait", func(l *Late) { l.Ahead = 101 }, 0},
		{"caller leaves soon", func(l *Late) { l.TimeLeft = 1700 * ms }, 560 * ms},
		{"caller leaves before the queue is served", func(l *Late) { l.Ahead, l.TimeLeft = 70, 1600*ms }, 0},
		{"no time for the answer", func(l *Late) { l.TimeLeft = time.Second }, 0},
		{"nothing placed, few ahead", func(l *Late) { l.PlacedPerSecond, l.Ahead = 0, 62 }, time.Second},
		{"nothing placed, many ahead", func(l *Late) { l.PlacedPerSecond, l.Ahead = 0, 63 }, 0},
		{"nothing placed, refused soon before", func(l *Late) { l.PlacedPerSecond, l.Ahead, l.NeedsRate = 0, 0, true }, 0},
		{"placed, refused soon before", func(l *Late) { l.NeedsRate = true }, time.Second},
		{"nothing known", func(l *Late) { *l = Late{Target: 500 * ms, TimeLeft: 4 * time.Second} }, time.Second},
		{"nothing known, one ahead", func(l *Late) { *l = Late{Ahead: 1, Target: 500 * ms, TimeLeft: 4 * time.Second} }, 0},
	} {
		l := usual
		tt.set(&l)
		if got := l.MaxWait(); got != tt.want {
			t.Errorf("%s: waits %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against late work that takes the last slot, so that a request within its target finds
// none, and against late work that never gets a slot of a small shard.
func TestLateRoom(t *testing.T) {
	for _, tt := range [][3]int{{360, 9, 2}, {40, 2, 1}, {8, 1, 0}, {4, 1, 1}, {360, 3, 0}} {
		if got := LateRoom(tt[0], tt[1]); got != tt[2] {
			t.Errorf("%d slots, %d of them free: room for %d, want %d", tt[0], tt[1], got, tt[2])
		}
	}
}

func booking(fingerprint uint64, due time.Duration) Booking {
	return Booking{Fingerprint: fingerprint, Tier: route.Tier{Route: 1}, FirstAt: time.Second, DueAt: due, EndAt: 13 * time.Second, Plan: Later}
}

// Guards against a booking that is used twice, is lost to an early return or another request of
// equal content, is revived after it has ended, or keeps room then.
func TestBookingIsUsedOnce(t *testing.T) {
	var b Book
	claim := func(at, end time.Duration, want Arrival, due time.Duration) {
		t.Helper()
		if r, got := b.Claim(at, 7, end); got != want || r.DueAt != due {
			t.Errorf("at %v: arrival %d due %v, want %d due %v", at, got, r.DueAt, want, due)
		}
	}
	end := 13 * time.Second
	b.Add(booking(7, 5*time.Second))
	claim(2*time.Second, end, Early, 5*time.Second)
	claim(2*time.Second, end+time.Second, Newcomer, 0)
	claim(5*time.Second, end+time.Second, Newcomer, 0)
	claim(4960*ms, end+200*ms, Due, 5*time.Second)
	claim(5*time.Second, end, Newcomer, 0)
	b.Add(booking(7, 5*time.Second))
	b.Add(booking(7, 5500*ms))
	claim(5400*ms, end, Due, 5*time.Second)
	claim(5400*ms, end, Early, 5500*ms)
	claim(6400*ms, end, Due, 5500*ms)
	b.Add(booking(7, 5*time.Second))
	claim(6001*ms, end, Newcomer, 0)
	b.Add(booking(7, 9*time.Second))
	claim(6001*ms, end, Early, 9*time.Second)
	if n := b.Sweep(6001 * ms); n != 1 || b.Len() != 1 {
		t.Errorf("%d ended, %d left", n, b.Len())
	}
	b.Use(booking(7, 9*time.Second))
	if b.Len() != 0 || len(b.bookings)+len(b.later) != 0 {
		t.Errorf("%d left in %d lists and %d counts", b.Len(), len(b.bookings), len(b.later))
	}
}

// Guards against requests of equal content that take each other's bookings, so that a first attempt
// is refused as the return of an older request, and against a list of them that grows with the crowd.
func TestEqualContentIsBookedSeparately(t *testing.T) {
	var b Book
	for i := range time.Duration(20) {
		r := booking(7, 5*time.Second+i*100*ms)
		r.FirstAt, r.EndAt = i*300*ms, (13000+i*300)*ms
		if isBooked := b.Add(r); isBooked != (i < maxSameContent) {
			t.Errorf("request %d: booked %v", i, isBooked)
		}
	}
	if b.Len() != maxSameContent {
		t.Fatalf("%d bookings", b.Len())
	}
	for i := time.Duration(maxSameContent) - 1; i >= 0; i-- {
		if r, got := b.Claim(5*time.Second+i*100*ms, 7, (12900+i*300)*ms); got != Due || r.FirstAt != i*300*ms {
			t.Errorf("request %d: arrival %d with the first attempt of %v", i, got, r.FirstAt)
		}
	}
}

// Guards against memory that grows with the crowd, and against a full book that loses the callers
// that come next.
func TestFullBookDropsLatestDue(t *testing.T) {
	var b Book
	for i := range uint64(3 * maxBookings) {
		b.Add(booking(i+1, time.Duration(i%1000)*ms+5*time.Second))
	}
	if b.Len() > maxBookings || len(b.bookings) != b.Len() {
		t.Fatalf("%d bookings in %d lists", b.Len(), len(b.bookings))
	}
	for i := range uint64(100) {
		if _, got := b.Claim(5100*ms, i+1, 13*time.Second); got != Due {
			t.Fatalf("the booking due after %d ms was dropped", 5000+i)
		}
	}
}

// Guards against more callers that return at one moment than slots become free.
func TestSoonThen(t *testing.T) {
	var b Book
	for i := range uint64(3) {
		r := booking(i+1, time.Second+time.Duration(i)*60*ms)
		r.Plan = Soon
		b.Add(r)
	}
	if higher, same, next := b.SoonThen(route.Tier{}, 1090*ms), b.SoonThen(route.Tier{Route: 1}, 1090*ms), b.SoonThen(route.Tier{Route: 2}, 1100*ms); higher != 0 || same != 2 || next != 1 {
		t.Errorf("%d, %d and %d return then", higher, same, next)
	}
	if b.Sweep(3 * time.Second); len(b.soon) != 0 {
		t.Errorf("%d counts are left", len(b.soon))
	}
}

// Guards against room that lower tiers have booked ahead of higher ones, and against a copy that
// an entry reports twice.
func TestLaterAhead(t *testing.T) {
	var b Book
	low := booking(2, 6500*ms)
	low.Tier.Route = 2
	for _, restored := range []Booking{low, low, booking(1, 5*time.Second)} {
		b.Restore(restored)
	}
	for tier, want := range [][2]int{{0, 0}, {1, 0}, {2, 1}} {
		if all, then := b.LaterAhead(route.Tier{Route: tier}, 6*time.Second); all != want[0] || then != want[1] {
			t.Errorf("tier %d: %d booked, %d of them then, want %v", tier, all, then, want)
		}
	}
}
