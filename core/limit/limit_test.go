package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A limit must not end because of an answer that was overtaken by another one, and must not
// last forever.
func TestAnswersBeginAndEndLimits(t *testing.T) {
	l := New()
	if l.Observe(1, "e", 0, 0, false) {
		t.Error("an answer without a limit changes the state")
	}
	if !l.Observe(2*time.Second, "e", time.Second, 3, true) || l.Observe(3*time.Second, "e", time.Second, 3, true) {
		t.Error("a limit does not begin exactly once")
	}
	if l.Observe(4*time.Second, "e", 2*time.Second, 0, false) {
		t.Error("an answer to a request sent before the last stated limit ends the limit")
	}
	if !l.Observe(5*time.Second, "e", 4*time.Second, 0, false) {
		t.Error("an answer without a limit does not end it")
	}
	if n, _ := l.Available(5*time.Second, "e", Share{RateShare: 1, Entries: 1}); n != math.MaxInt {
		t.Errorf("%d available without a limit", n)
	}
}

// An endpoint that states a limit of zero must still get a request now and then, or it
// could never end the limit.
func TestZeroLimitCanEnd(t *testing.T) {
	l := New()
	l.Observe(0, "e", 0, 0, true)
	n, next := l.Available(0, "e", Share{RateShare: 1, Entries: 1})
	if n > 0 || next <= 0 || next > 10*time.Second {
		t.Errorf("%d available, next after %v", n, next)
	}
}

// The memory of a limiter must not grow with endpoints that no longer exist.
func TestNumberOfEndpointsIsBounded(t *testing.T) {
	l := New()
	for i := range maxEndpoints + 10 {
		l.Merge(0, "p", Report{Endpoint: fmt.Sprint(i), Rate: 1, Limited: true})
	}
	if len(l.endpoints) != maxEndpoints {
		t.Errorf("%d endpoints", len(l.endpoints))
	}
	l.Retain(func(id string) bool { return id == "1" })
	if _, ok := l.Rate("1"); !ok || len(l.endpoints) != 1 {
		t.Errorf("%d endpoints are kept, the known one: %v", len(l.endpoints), ok)
	}
}

const (
	simStep     = time.Millisecond
	simDuration = 40 * time.Second
	// countWindow is the time over which requests are counted against the limit.
	countWindow = 4 * time.Second
)

// sim simulates entries that send requests to one endpoint.
type sim struct {
	rnd            *rand.Rand
	delay          time.Duration
	reportInterval time.Duration
	limiters       []*Limiter
	// cutUntil is the time until which an entry is cut off from all others.
	cutUntil  []time.Duration
	inTransit []simReport
	sentAt    []time.Duration
	// limitRate is the limit of the endpoint, in requests per second.
	limitRate float64
	// entryDemand is the rate of the requests that callers send to each entry, per second.
	entryDemand float64
	// hasOwner is set if one entry places nearly all requests. The owner changes from time
	// to time, and two entries then act as the owner for a while.
	hasOwner bool
}

type simReport struct {
	at       time.Duration
	from, to int
	report   Report
}

// reachable returns the number of entries that an entry receives reports from, itself
// included.
func (s *sim) reachable(now time.Duration, i int) int {
	if now < s.cutUntil[i] {
		return 1
	}
	n := 0
	for _, until := range s.cutUntil {
		if now >= until {
			n++
		}
	}
	return n
}

// share returns an entry's share of the limit and the rate of its callers' requests, per
// second.
func (s *sim) share(now time.Duration, i int) (Share, float64) {
	n := len(s.limiters)
	if !s.hasOwner {
		return Share{RateShare: float64(s.reachable(now, i)) / float64(n), Rank: i, Entries: n}, s.entryDemand
	}
	const term, overlap = 13 * time.Second, 1500 * time.Millisecond
	owner := int(now/term) % n
	if i == owner || now%term < overlap && i == (owner+n-1)%n {
		return Share{RateShare: 1, Entries: 1}, s.entryDemand * float64(n)
	}
	return Share{RateShare: 1 / float64(n), Entries: 1}, s.entryDemand / 20
}

func (s *sim) run() {
	reportedAt := make([]time.Duration, len(s.limiters))
	for now := simStep; now < simDuration; now += simStep {
		for i, l := range s.limiters {
			share, demand := s.share(now, i)
			if s.rnd.Float64() < demand*simStep.Seconds() {
				if n, _ := l.Available(now, "e", share); n > 0 {
					l.Take("e")
					s.sentAt = append(s.sentAt, now)
					l.Observe(now, "e", now, s.limitRate, true)
				}
			}
			if now-reportedAt[i] >= s.reportInterval {
				reportedAt[i] = now
				for _, r := range l.Reports(now, false) {
					for j := range s.limiters {
						if j != i {
							s.inTransit = append(s.inTransit, simReport{now + s.delay, i, j, r})
						}
					}
				}
			}
			switch s.rnd.IntN(20000 * len(s.limiters)) {
			case 0:
				s.cutUntil[i] = now + 3*time.Second
			case 1:
				s.limiters[i] = New()
				for j, o := range s.limiters {
					o.Forget(fmt.Sprint(i))
					for _, r := range o.Reports(now, true) {
						s.inTransit = append(s.inTransit, simReport{now + s.delay, j, i, r})
					}
				}
			}
		}
		n := 0
		for _, r := range s.inTransit {
			switch {
			case now < r.at:
				s.inTransit[n] = r
				n++
			case now >= s.cutUntil[r.from] && now >= s.cutUntil[r.to] && r.from != r.to:
				s.limiters[r.to].Merge(now, fmt.Sprint(r.from), r.report)
			}
		}
		s.inTransit = s.inTransit[:n]
	}
}

// maxInWindow returns the largest number of requests sent within countWindow.
func (s *sim) maxInWindow() int {
	highest, from := 0, 0
	for i, at := range s.sentAt {
		for s.sentAt[from] <= at-countWindow {
			from++
		}
		highest = max(highest, i-from+1)
	}
	return highest
}

// Entries must not exceed a limit together while reports are in transit, during partitions
// or after restarts. They must also not leave it mostly unused.
func TestEntriesEnforceLimitTogether(t *testing.T) {
	for _, tc := range []struct {
		entries               int
		delay, reportInterval time.Duration
		hasOwner              bool
	}{
		{1, 0, 25 * time.Millisecond, false},
		{3, 5 * time.Millisecond, 25 * time.Millisecond, false},
		{5, 10 * time.Millisecond, 25 * time.Millisecond, false},
		{8, 30 * time.Millisecond, 40 * time.Millisecond, false},
		{30, 50 * time.Millisecond, 75 * time.Millisecond, true},
		{103, 100 * time.Millisecond, 250 * time.Millisecond, true},
	} {
		for _, rate := range []float64{0.3, 1, 2.2, 3.3, 10, 60} {
			for _, demand := range []float64{0.5, 3} {
				s := &sim{
					rnd: rand.New(rand.NewPCG(uint64(tc.entries), uint64(10*rate))), delay: tc.delay, reportInterval: tc.reportInterval, cutUntil: make([]time.Duration, tc.entries), limitRate: rate,
					entryDemand: demand * max(rate, 1), hasOwner: tc.hasOwner,
				}
				for range tc.entries {
					l := New()
					l.Observe(0, "e", 0, rate, true)
					s.limiters = append(s.limiters, l)
				}
				s.run()
				if highest, allowed := s.maxInWindow(), 1.5*rate*countWindow.Seconds()+5; float64(highest) > allowed {
					t.Errorf("%d entries, limit %v, demand %v: %d requests in %v, %.0f allowed", tc.entries, rate, s.entryDemand, highest, countWindow, allowed)
				}
				used := float64(len(s.sentAt)) / simDuration.Seconds()
				if used < 0.7*min(rate, s.entryDemand*float64(tc.entries)) {
					t.Errorf("%d entries, limit %v, demand %v: %.2f requests per second sent", tc.entries, rate, s.entryDemand, used)
				}
			}
		}
	}
}
