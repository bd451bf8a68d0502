package bound

import (
	"math"
	"time"

	"lycheepond/core/spec"
)

const (
	// longRatio is how many times the short work's length long work has.
	longRatio = 8
	// shortFade is how much the length of short work rises with each piece of
	// work that is longer, so that it is found again when it changes.
	shortFade = 1.02
	// reserveFrom is the least number of places of which any is kept for short
	// work.
	reserveFrom = 3
	// shortFor is the time over which the places that short work takes are
	// averaged, and shortRoom how many times that average, and one, is kept.
	shortFor  = 10 * time.Second
	shortRoom = 1.5
	// shortWeight is the weight of one dispatch in the share of short work.
	shortWeight = 1.0 / 64
	// rare is the share of short work in all work below which no more than one
	// place is kept for it.
	rare = 0.1
)

// lengths tells long work from short, as seen by one tier: only work of that
// and higher tiers counts, because places are not kept for lower work against
// higher.
type lengths struct {
	// short is the length of the shortest work seen of late, zero before any.
	short time.Duration
	// shorts is the share of short work among the work dispatched, by number.
	shorts float64
}

func (l *lengths) isLong(cost time.Duration) bool {
	return l.short > 0 && cost > longRatio*l.short
}

// learn takes in one piece of work.
func (l *lengths) learn(cost time.Duration) {
	if cost <= 0 {
		return
	}
	switch {
	case l.short == 0:
		l.short = cost
		l.shorts = 1
	case cost < l.short:
		l.short += (cost - l.short) / 2
	default:
		l.short = min(cost, time.Duration(float64(l.short)*shortFade))
	}
	l.shorts += (share(!l.isLong(cost)) - l.shorts) * shortWeight
}

// reserveParts are the largest parts of the places that long work of a tier
// leaves to short work. The lower the tier the more: long work that has begun
// can't be refused any more, and holds its place for long when higher tiers
// burst. The highest tier leaves one place, however long its work is.
var reserveParts = [spec.Tiers]float64{0, 1.0 / 4, 1.0 / 3, 1.0 / 2}

// reserve is how many of limit places long work of a tier leaves free, where
// short work takes so many on average.
func (l *lengths) reserve(limit int, tier uint8, taken float64) int {
	if limit < reserveFrom {
		return 0
	}
	if l.shorts < rare {
		return 1
	}
	most := math.Ceil(float64(limit) * reserveParts[min(tier, spec.Tiers-1)])
	return int(max(min(most, math.Round(taken*shortRoom)+1), 1))
}

// places averages the places that short work takes, from startTaken on.
type places struct {
	taken float64
	seen  bool
	last  time.Duration
}

func (p *places) observe(now time.Duration, short int) {
	if !p.seen {
		p.seen, p.taken, p.last = true, startTaken, now
	}
	part := 1 - math.Exp(-(now-p.last).Seconds()/shortFor.Seconds())
	p.taken += (float64(short) - p.taken) * part
	p.last = now
}

// startTaken is how many places short work is taken to need before any time
// has passed.
const startTaken = 16
