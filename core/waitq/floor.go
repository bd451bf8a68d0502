package waitq

import (
	"math"
	"time"

	"lycheepond/core/route"
)

const (
	// minServiceShare is the share of the service rate of its class below which no size falls
	// because of the order.
	minServiceShare = 0.6
	// rateWeight is the weight of one request in the service rate of its class.
	rateWeight = 1.0 / 32
	// binsPerDoubling is the number of size bins per doubling of the hold time.
	binsPerDoubling = 2
	// sizeBins covers hold times from a millisecond to about two minutes.
	sizeBins = 34
	// maxOwed and maxAhead bound, in requests, what a bin is owed and how far it may be ahead.
	// The bounds limit how long the past matters.
	maxOwed  = 3
	maxAhead = 1
)

// Class identifies the requests whose service rates by size are compared.
type Class struct {
	Tier   route.Tier
	Target time.Duration
}

// Floor guarantees each size of request a share of the service rate of its class. The order of a
// queue prefers short requests, and a request may wait only for a part of its target, so without
// a floor the longest ones would be refused for as long as a crowd lasts.
//
// Sizes are grouped into bins by hold time. Each bin is owed minServiceShare of the service rate
// of its class. While it has had less, its requests go first within their tier. Because the bound
// holds for every bin, it holds for any set of requests, even if their hold times are estimated
// wrongly.
//
// The zero value is ready. A Floor is owned by one goroutine.
type Floor struct{ classes map[Class]*classService }

// classService is the service that a class has had.
type classService struct {
	// rate is the decayed fraction of requests that were served.
	rate float64
	// owed is how many requests of each bin should have been served, less those that were:
	// from -maxAhead to maxOwed.
	owed [sizeBins]float64
}

// Claim reports whether a request goes first because its size is owed service. Until Record is
// called for the request, it counts as served, so that no more requests go first than are owed.
func (f *Floor) Claim(c Class, holdTime time.Duration) bool {
	s := f.classes[c]
	if s == nil || s.owed[sizeBin(holdTime)] <= 0 {
		return false
	}
	s.owed[sizeBin(holdTime)]--
	return true
}

// Record counts a request that was served or refused. claimed is what Claim returned for it.
func (f *Floor) Record(c Class, holdTime time.Duration, claimed, served bool) {
	s := f.classes[c]
	if s == nil {
		if f.classes == nil {
			f.classes = make(map[Class]*classService)
		}
		s = &classService{rate: 1}
		f.classes[c] = s
	}
	got := 0.0
	if served {
		got = 1
	}
	s.rate += (got - s.rate) * rateWeight
	owed := &s.owed[sizeBin(holdTime)]
	if claimed {
		*owed++
	}
	*owed = min(max(*owed+minServiceShare*s.rate-got, -maxAhead), maxOwed)
}

// Rate returns the decayed fraction of the requests of a class that were served; one if none were
// recorded.
func (f *Floor) Rate(c Class) float64 {
	if s := f.classes[c]; s != nil {
		return s.rate
	}
	return 1
}

// sizeBin returns the bin of a hold time.
func sizeBin(holdTime time.Duration) int {
	if holdTime <= time.Millisecond {
		return 0
	}
	return min(int(binsPerDoubling*math.Log2(float64(holdTime)/float64(time.Millisecond))), sizeBins-1)
}
