package direct

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lycheepond/core/route"
	"lycheepond/core/waitq"
)

// unevenSpeed is the speed of an engine that takes duration times as long as usual, and 2.5 times as
// long again during spells of 0.6 s, 15% of the time. The first one begins before offset.
type unevenSpeed struct {
	start    time.Time
	duration float64
	offset   time.Duration
}

func newUnevenSpeed(f fleet, i int, start time.Time) *unevenSpeed {
	return &unevenSpeed{start, []float64{0.55, 1, 2.8}[i%3], time.Duration(rand.New(rand.NewPCG(f.seed, uint64(i))).Int64N(int64(4 * time.Second)))}
}

// slowdown returns the momentary slowdown at a time and when it changes next.
func (s *unevenSpeed) slowdown(at time.Duration) (factor float64, until time.Duration) {
	phase := (at + s.offset) % (4 * time.Second)
	if phase < 600*time.Millisecond {
		return 2.5, at - phase + 600*time.Millisecond
	}
	return 1, at - phase + 4*time.Second
}

// doneAt returns when work that begins at a time is done.
func (s *unevenSpeed) doneAt(at, work time.Duration) time.Duration {
	for {
		factor, until := s.slowdown(at)
		if end := at + time.Duration(float64(work)*factor*s.duration); end <= until {
			return end
		}
		work, at = work-time.Duration(float64(until-at)/factor/s.duration), until
	}
}

// sendHead sends the head of an answer, if it has figures.
func (e *countingEngine) sendHead(a *attempt) {
	if e.state == nil {
		return
	}
	slowdown, _ := e.uneven.slowdown(time.Since(e.uneven.start))
	e.mu.Lock()
	m := Meta{Signed: true, Slots: cap(e.slots), Requests: e.requests, Waiting: max(e.requests-cap(e.slots), 0), SlowdownPercent: e.state(slowdown)}
	e.mu.Unlock()
	a.recordHead(m)
}

// plan serves requests as one would that knows speeds and spells: in the order and with the bounds
// of the queue, each where it is done first among the free slots at which it meets its target.
func (f fleet) plan(requests []requestResult) (out []requestResult) {
	ends, speeds := make([][]time.Duration, f.engines), make([]*unevenSpeed, f.engines)
	for i := range speeds {
		speeds[i] = newUnevenSpeed(f, i, time.Time{})
	}
	slices.SortFunc(requests, func(a, b requestResult) int { return int(a.arrivedAt - b.arrivedAt) })
	var queue waitq.Queue[*requestResult]
	var floor waitq.Floor
	class := func(r *requestResult) waitq.Class { return waitq.Class{Tier: route.Tier{Route: r.tier}} }
	for now := time.Duration(0); len(requests) > 0 || queue.Len() > 0; now += time.Millisecond {
		for ; len(requests) > 0 && requests[0].arrivedAt <= now; requests = requests[1:] {
			r := &requests[0]
			target, _ := f.limitsOf(r.kind)
			_, all := r.usualTimes()
			p := waitq.Priority{Tier: route.Tier{Route: r.tier}, TargetAt: r.arrivedAt + target, HoldTime: all}
			p.Owed = floor.Claim(class(r), p.HoldTime)
			queue.Add(r, p)
		}
		for i := range ends {
			ends[i] = slices.DeleteFunc(ends[i], func(end time.Duration) bool { return end <= now })
		}
		queue.SendInOrder(func(q *waitq.Request[*requestResult]) (sent, more bool) {
			r, best, bestEnd := q.Value, -1, time.Duration(0)
			target, deadline := f.limitsOf(r.kind)
			firstWork, allWork := r.usualTimes()
			served := requestResult{arrivedAt: r.arrivedAt, tier: r.tier, refused: true}
			for i, s := range speeds {
				first, end := s.doneAt(now, firstWork), s.doneAt(now, allWork)
				if len(ends[i]) < f.slots && first <= r.arrivedAt+target && end <= r.arrivedAt+deadline && (best < 0 || end < bestEnd) {
					best, bestEnd, served.refused, served.metTarget, served.firstEvent = i, end, false, true, first-r.arrivedAt
				}
			}
			if best < 0 && now <= r.arrivedAt+waitq.MaxWait(target, target, 0) {
				return false, true
			}
			if best >= 0 {
				ends[best] = append(ends[best], bestEnd)
			}
			floor.Record(class(r), q.Priority().HoldTime, q.Priority().Owed, best >= 0)
			out = append(out, served)
			return true, true
		})
	}
	return out
}

// usualTimes returns how long a countingEngine takes to the first event and to the end.
func (r *requestResult) usualTimes() (first, all time.Duration) {
	first = 30*time.Millisecond + time.Duration(r.prompt)*9*time.Microsecond
	return first, first + time.Duration(r.output)*4*time.Millisecond
}

// crowdResult is what became of the requests that arrived during a crowd.
type crowdResult struct {
	inTime [3]int // by tier
	late   int
	p99    time.Duration
}

func (c crowdResult) served() int { return c.inTime[0] + c.inTime[1] + c.inTime[2] }

func (f fleet) crowdResult(requests []requestResult) (out crowdResult) {
	var firsts []time.Duration
	for _, r := range requests {
		if r.arrivedAt < f.burstAt || r.refused {
			continue
		}
		firsts = append(firsts, r.firstEvent)
		if r.metTarget {
			out.inTime[r.tier]++
		}
	}
	slices.Sort(firsts)
	out.late, out.p99 = len(firsts)-out.served(), firsts[len(firsts)*99/100]
	return out
}

// unevenFleet returns a fleet of endpoints of different speeds with slow spells, to which twice as
// many requests come as it has room for.
func unevenFleet() fleet {
	return fleet{
		workload: workload{
			entries: 10, engines: 24, slots: 9, duration: 10 * time.Second, seed: 1, burst: 4, burstAt: 4 * time.Second, burstFor: 6 * time.Second,
			kinds:  []requestKind{{0, 20, 2500, 360}, {1, 50, 1500, 280}, {2, 140, 300, 17}},
			limits: [][2]time.Duration{{time.Second, 15 * time.Second}, {time.Second / 2, 12 * time.Second}, {time.Second / 2, 3 * time.Second}},
		},
		usesOwners: true, uneven: true,
	}
}

// replayCrowds replays the fleet's load with some seeds and endpoints that state state(slowdown), and
// what a plan that knows speeds and spells serves of it.
func (f fleet) replayCrowds(t *testing.T, state func(slowdown float64) int, seeds uint64) (served, planned crowdResult) {
	var all, plan []requestResult
	for f.seed = range seeds {
		f.state = state
		requests := f.replay(t).requests
		all, plan = append(all, requests...), append(plan, f.plan(requests)...)
	}
	return f.crowdResult(all), f.crowdResult(plan)
}

// statedPercent is what endpoints with correct figures state.
func statedPercent(slowdown float64) int { return int(slowdown * 100) }

// Guards against figures of endpoints that make first events little earlier, and serve little more,
// than without them.
func TestStatedSlowdownsHelp(t *testing.T) {
	f := unevenFleet()
	before, _ := f.replayCrowds(t, nil, 4)
	now, _ := f.replayCrowds(t, statedPercent, 4)
	if now.served()*100 < before.served()*110 || now.p99*100 > before.p99*70 {
		t.Errorf("with figures %+v, without %+v", now, before)
	}
}

// Guards against first events that wait at slow endpoints and in slow spells, against room that is
// left unused at the worst load, and against wrong figures that cost answers.
func TestUnevenEndpointsAtWorstLoad(t *testing.T) {
	f := unevenFleet()
	before, plan := f.replayCrowds(t, nil, 4)
	now, _ := f.replayCrowds(t, statedPercent, 4)
	t.Logf("plan %+v\nwithout figures %+v\nwith figures %+v", plan, before, now)
	if now.served()*100 < plan.served()*95 || now.served()*100 < before.served()*98 || now.p99 > before.p99 || now.late*50 > now.served() {
		t.Error("worse than without figures, or than a plan that knows speeds and spells")
	}
	before, _ = f.replayCrowds(t, nil, 1)
	for name, state := range map[string]func(float64) int{
		"praise": func(float64) int { return 20 }, "too high": func(float64) int { return 250 }, "absurd": func(float64) int { return 1_000_000 },
		"inverted": func(slowdown float64) int { return int(250 / slowdown) },
	} {
		if u, _ := f.replayCrowds(t, state, 1); u.served()*100 < before.served()*95 || u.late*50 > u.served() {
			t.Errorf("%s: %+v, without figures %+v", name, u, before)
		}
	}
}
