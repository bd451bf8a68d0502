package poison

import (
	"fmt"
	"testing"
	"time"
)

// partFleet simulates entries that serve requests with a deadly part beside sound ones of the same
// customer.
type partFleet struct {
	*simFleet
	runsWithParts []partRun
	// crashTimes holds when an endpoint crashed under the deadly part, lateSends how often a
	// request with it was sent more than reportWindow after the fifth crash, by entries that had
	// been connected for that long.
	crashTimes []time.Duration
	lateSends  int
	// soundSent and soundAdmitted count the sound requests from twice reportWindow after the
	// fifth crash on.
	soundSent, soundAdmitted int
}

type partRun struct {
	simRun
	request  Request
	isDeadly bool
	// beginsAt is when the endpoint begins to write.
	beginsAt  time.Duration
	hasPassed bool
}

func (f *partFleet) sendPart(entry int, r Request, isDeadly bool, attempts int) bool {
	if f.trackers[entry].Admit(f.now, r, f.probeDelay(entry)) > 0 {
		return false
	}
	for range 10 {
		i := f.rnd.IntN(len(f.restartAt))
		if f.now < f.restartAt[i] {
			continue
		}
		if n := len(f.crashTimes); isDeadly && n >= 5 && f.now > f.crashTimes[4]+reportWindow && f.now > f.connectedSince[entry]+reportWindow {
			f.lateSends++
		}
		begin := f.now + time.Duration(50+f.rnd.IntN(400))*time.Millisecond
		f.runsWithParts = append(f.runsWithParts, partRun{
			simRun:  simRun{entry: entry, endpoint: i, id: f.endpointIDs[i], attempts: attempts, endsAt: begin + time.Duration(f.rnd.IntN(3000))*time.Millisecond},
			request: r, isDeadly: isDeadly, beginsAt: begin,
		})
		return true
	}
	f.trackers[entry].RecordNotRun(r)
	return false
}

// stepParts advances the simulation by one step.
func (f *partFleet) stepParts() {
	f.step()
	for _, r := range f.runsWithParts {
		if r.isDeadly && r.lostAt == 0 && f.now >= r.beginsAt {
			f.killUnder(r.endpoint)
		}
	}
	all := f.runsWithParts
	f.runsWithParts = nil
	for _, r := range all {
		tracker := f.trackers[r.entry]
		switch {
		case r.lostAt > 0 && f.now >= r.lostAt:
			tracker.RecordLostRun(f.now, r.request, r.id, r.hasPassed)
			tracker.RecordCrash(f.now, r.id)
			f.storeChanges(tracker)
			if r.attempts > 1 && !tracker.IsSuspect(f.now, r.request) {
				f.sendPart(r.entry, r.request, r.isDeadly, r.attempts-1)
			}
			continue
		case r.lostAt == 0 && f.now >= r.endsAt:
			tracker.RecordCompleted(f.now, r.request, r.id, true)
			continue
		case r.lostAt == 0 && !r.hasPassed && f.now >= r.beginsAt+PassTime:
			r.hasPassed = true
			tracker.RecordPassed(f.now, r.request)
		}
		f.runsWithParts = append(f.runsWithParts, r)
	}
}

// killUnder crashes an endpoint under the deadly part.
func (f *partFleet) killUnder(i int) {
	if f.restartAt[i] > 0 {
		return
	}
	f.crashTimes = append(f.crashTimes, f.now)
	f.kill(i)
	for j := range f.runsWithParts {
		if r := &f.runsWithParts[j]; r.endpoint == i && r.id == f.endpointIDs[i] && r.lostAt == 0 {
			r.lostAt = f.now + time.Duration(f.rnd.IntN(100))*time.Millisecond + simStep
		}
	}
}

// Entries must share evidence against a part, so that requests with it crash few endpoints over
// the whole fleet, and must not refuse what shares the other parts with them.
func TestFleetSharesEvidenceAgainstPart(t *testing.T) {
	for _, tc := range []struct {
		entries, endpoints int
		delay              time.Duration
		rate               float64
	}{
		{1, 6, 0, 5},
		{5, 9, 30 * time.Millisecond, 8},
		{29, 60, 100 * time.Millisecond, 8},
		{103, 180, 350 * time.Millisecond, 8},
		{299, 500, 350 * time.Millisecond, 8},
	} {
		t.Run(fmt.Sprint(tc.entries), func(t *testing.T) {
			maxCrashes, sent, admitted := 0, 0, 0
			// Large fleets take long to simulate.
			for seed := range uint64(max(*seedCount*50/(50+tc.entries), 1)) {
				f := &partFleet{simFleet: newSimFleet(seed, tc.entries, tc.endpoints, tc.delay)}
				for f.now < 20*time.Second {
					for _, isDeadly := range []bool{true, false, false, false} {
						if f.rnd.Float64() >= tc.rate*simStep.Seconds() || isDeadly && f.now < 2*time.Second {
							continue
						}
						parts := []string{"first", fmt.Sprint("session", f.rnd.IntN(20))}
						if isDeadly {
							parts = append(parts, "deadly")
						}
						ok := f.sendPart(f.rnd.IntN(len(f.trackers)), part("c", parts...), isDeadly, 2)
						if n := len(f.crashTimes); !isDeadly && n > 0 && f.now > f.crashTimes[min(n, 5)-1]+2*reportWindow {
							f.soundSent++
							if ok {
								f.soundAdmitted++
							}
						}
					}
					if f.rnd.IntN(1500) == 0 {
						f.restart(f.rnd.IntN(len(f.trackers)))
					}
					f.stepParts()
				}
				if f.lateSends > 3 {
					t.Errorf("seed %d: sent %d times more than %v after the fifth crash; %d endpoints crashed", seed, f.lateSends, reportWindow, len(f.crashTimes))
				}
				maxCrashes, sent, admitted = max(maxCrashes, len(f.crashTimes)), sent+f.soundSent, admitted+f.soundAdmitted
			}
			t.Logf("%d endpoints crashed at most; %d of %d sound requests were sent", maxCrashes, admitted, sent)
			if admitted*10 < sent*9 {
				t.Errorf("%d of %d sound requests were sent", admitted, sent)
			}
		})
	}
}
