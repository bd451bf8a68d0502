package bound

import (
	"math"
	"time"
)

const (
	// longRatio is how many times the short work's length long work has.
	longRatio = 8
	// shortFade is how much the length of short work rises with each piece of
	// work that is longer, so that it is found again when it changes.
	shortFade = 1.02
	// reservePart is the largest part of the places that is kept for short
	// work, and reserveFrom the least number of places of which any is kept.
	reservePart = 4
	reserveFrom = 3
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

// reserve is how many of limit places long work leaves free. Work of the
// highest tier leaves one, however long it is.
func (l *lengths) reserve(limit int, tier uint8) int {
	if limit < reserveFrom {
		return 0
	}
	n := int(math.Ceil(float64(limit) / reservePart))
	if tier == 0 || l.shorts < rare {
		return 1
	}
	return n
}
