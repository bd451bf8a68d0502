package poison

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var seedCount = flag.Int("fleet.seeds", 4, "number of simulated fleets, one per seed")

// simFleet simulates entries and endpoints.
type simFleet struct {
	rnd      *rand.Rand
	now      time.Duration
	trackers []*Tracker
	// cutUntil is the time until which an entry is cut off from all others. connectedSince
	// is the time since which it has been connected to them.
	cutUntil, connectedSince []time.Duration
	// delay is the latency of a report; inTransit holds the reports that have not arrived.
	delay     time.Duration
	inTransit []message
	runs      []simRun
	// restartAt is the time at which a crashed endpoint accepts requests again, zero if it
	// is running. starts counts the starts of all endpoints.
	restartAt   []time.Duration
	endpointIDs []string
	starts      int
	// crashes counts crashed endpoints, and thirdCrashAt is the time of the third crash.
	// lateSends counts how often the poison request was sent more than reportWindow after
	// the third crash, by entries that had been connected for that long.
	crashes      int
	thirdCrashAt time.Duration
	lateSends    int
	// store holds the quarantines that outlive the entries.
	store map[Fingerprint]storedQuarantine
	// popularSent and popularServed count the popular requests in the last third of the
	// simulation.
	popularSent, popularServed int
}

// storedQuarantine is a quarantine that was stored at storedAt and ends at until.
type storedQuarantine struct {
	storedAt, until time.Duration
	quarantines     int
	part, customer  string
}

type message struct {
	arrivesAt time.Duration
	from      int
	to        int
	report    Report
}

type simRun struct {
	entry, endpoint, attempts int
	id                        string
	fingerprint               Fingerprint
	endsAt                    time.Duration
	// lostAt is the time at which the entry learns that the run has broken off.
	lostAt time.Duration
}

const (
	simStep      = 5 * time.Millisecond
	reportWindow = 3 * time.Second
	restartTime  = 2 * time.Second
	simDuration  = 60 * time.Second
)

var poisonRequest, popularRequest = fingerprint("bad"), fingerprint("popular")

func newSimFleet(seed uint64, entries, endpoints int, delay time.Duration) *simFleet {
	f := &simFleet{rnd: rand.New(rand.NewPCG(seed, 1)), delay: delay, store: make(map[Fingerprint]storedQuarantine), cutUntil: make([]time.Duration, entries), connectedSince: make([]time.Duration, entries)}
	for range entries {
		f.trackers = append(f.trackers, New())
	}
	for range endpoints {
		f.restartAt, f.endpointIDs = append(f.restartAt, 0), append(f.endpointIDs, "")
		f.startEndpoint(len(f.restartAt) - 1)
	}
	return f
}

func (f *simFleet) startEndpoint(i int) {
	f.starts++
	f.endpointIDs[i] = fmt.Sprint("e", f.starts)
}

func (f *simFleet) probeDelay(entry int) func() time.Duration {
	return func() time.Duration { return time.Duration(entry) * time.Second }
}

// send sends a request unless the entry has it in quarantine, and reports whether it was
// sent.
func (f *simFleet) send(entry int, fingerprint Fingerprint, attempts int) bool {
	if f.trackers[entry].Admit(f.now, whole(fingerprint), f.probeDelay(entry)) > 0 {
		return false
	}
	for range 10 {
		i := f.rnd.IntN(len(f.restartAt))
		if f.now < f.restartAt[i] {
			continue
		}
		if fingerprint == poisonRequest && f.thirdCrashAt > 0 && f.now > f.thirdCrashAt+reportWindow && f.now > f.connectedSince[entry]+reportWindow {
			f.lateSends++
		}
		f.runs = append(f.runs, simRun{entry: entry, endpoint: i, id: f.endpointIDs[i], attempts: attempts, fingerprint: fingerprint, endsAt: f.now + time.Duration(50+f.rnd.IntN(100))*time.Millisecond*4})
		return true
	}
	f.trackers[entry].RecordNotRun(whole(fingerprint))
	return false
}

// step advances the simulation by one step.
func (f *simFleet) step() {
	f.now += simStep
	for i, restartAt := range f.restartAt {
		if restartAt > 0 && f.now >= restartAt {
			f.restartAt[i] = 0
			f.startEndpoint(i)
		}
	}
	for i := range f.runs {
		if r := &f.runs[i]; r.fingerprint == poisonRequest && r.lostAt == 0 && f.now >= r.endsAt-300*time.Millisecond {
			f.kill(r.endpoint)
		}
	}
	all := f.runs
	f.runs = nil
	for _, r := range all {
		tracker := f.trackers[r.entry]
		switch {
		case r.lostAt > 0 && f.now >= r.lostAt:
			tracker.RecordLostRun(f.now, whole(r.fingerprint), r.id, true)
			tracker.RecordCrash(f.now, r.id)
			f.storeChanges(tracker)
			if r.attempts > 1 && !tracker.IsSuspect(f.now, whole(r.fingerprint)) {
				f.send(r.entry, r.fingerprint, r.attempts-1)
			}
		case r.lostAt == 0 && f.now >= r.endsAt:
			tracker.RecordCompleted(f.now, whole(r.fingerprint), r.id, true)
			if r.fingerprint == popularRequest && f.now > simDuration*2/3 {
				f.popularServed++
			}
		default:
			f.runs = append(f.runs, r)
		}
	}
	f.exchangeReports()
}

func (f *simFleet) storeChanges(tracker *Tracker) {
	for _, c := range tracker.TakeChanges() {
		if c.Local && !c.Released {
			f.store[c.Fingerprint] = storedQuarantine{f.now, f.now + c.Duration, c.Quarantines, c.Part, c.Customer}
		} else if c.Local {
			delete(f.store, c.Fingerprint)
		}
	}
}

// kill crashes an endpoint and breaks off all requests that run there.
func (f *simFleet) kill(i int) {
	if f.restartAt[i] > 0 {
		return
	}
	f.restartAt[i] = f.now + restartTime
	if f.crashes++; f.crashes == 3 {
		f.thirdCrashAt = f.now
	}
	for j := range f.runs {
		if r := &f.runs[j]; r.endpoint == i && r.id == f.endpointIDs[i] && r.lostAt == 0 {
			r.lostAt = f.now + time.Duration(f.rnd.IntN(100))*time.Millisecond + simStep
		}
	}
}

// exchangeReports sends the new reports of all entries and delivers those that arrive now.
func (f *simFleet) exchangeReports() {
	for i, tracker := range f.trackers {
		for _, r := range tracker.Reports(f.now, false) {
			for j := range f.trackers {
				if j != i {
					f.inTransit = append(f.inTransit, message{f.now + f.delay, i, j, r})
				}
			}
		}
	}
	n := 0
	for _, m := range f.inTransit {
		switch {
		case f.now < m.arrivesAt:
			f.inTransit[n] = m
			n++
		case f.now >= f.cutUntil[m.from] && f.now >= f.cutUntil[m.to]:
			f.trackers[m.to].Merge(f.now, fmt.Sprint(m.from), m.report)
			f.storeChanges(f.trackers[m.to])
		}
	}
	f.inTransit = f.inTransit[:n]
}

// exchangeAllReports makes an entry and all others send each other their complete state.
func (f *simFleet) exchangeAllReports(entry int) {
	for i, tracker := range f.trackers {
		for _, r := range tracker.Reports(f.now, true) {
			for j := range f.trackers {
				if i != j && (i == entry || j == entry) {
					f.inTransit = append(f.inTransit, message{f.now + f.delay, i, j, r})
				}
			}
		}
	}
}

// restart clears the state of an entry and restores it from the store.
func (f *simFleet) restart(entry int) {
	f.trackers[entry], f.connectedSince[entry] = New(), f.now
	for fingerprint, quarantine := range f.store {
		f.trackers[entry].Restore(f.now, Stored{Fingerprint: fingerprint, Part: quarantine.part, Customer: quarantine.customer, Age: f.now - quarantine.storedAt, Left: quarantine.until - f.now, Quarantines: quarantine.quarantines})
	}
	f.exchangeAllReports(entry)
}

// run simulates poison and popular requests together with faults of entries and of the
// network.
func (f *simFleet) run(rate float64) {
	for f.now < simDuration {
		for _, fingerprint := range []Fingerprint{poisonRequest, popularRequest} {
			if f.rnd.Float64() < rate*simStep.Seconds() {
				if fingerprint == popularRequest && f.now > simDuration*2/3 {
					f.popularSent++
				}
				f.send(f.rnd.IntN(len(f.trackers)), fingerprint, 2)
			}
		}
		f.step()
		entry := f.rnd.IntN(len(f.trackers))
		switch f.rnd.IntN(3000) {
		case 0:
			f.restart(entry)
		case 1:
			f.cutUntil[entry], f.connectedSince[entry] = f.now+2*time.Second, f.now+2*time.Second
		case 2:
			if f.rnd.IntN(3) == 0 {
				for i := range f.trackers {
					f.restart(i)
				}
			}
		}
		for i, until := range f.cutUntil {
			if until > 0 && f.now >= until {
				f.cutUntil[i] = 0
				f.exchangeAllReports(i)
			}
		}
	}
}

// Entries must share crash reports, so that the poison request does not crash endpoints
// once per entry, and must not lose them through partitions or restarts. A popular request
// that runs at the same time must not stay in quarantine.
func TestFleetSharesCrashReports(t *testing.T) {
	for _, tc := range []struct {
		entries, endpoints int
		delay              time.Duration
		rate               float64
	}{
		{1, 4, 0, 5},
		{5, 9, 30 * time.Millisecond, 5},
		{30, 60, 100 * time.Millisecond, 20},
		{103, 180, 350 * time.Millisecond, 20},
	} {
		t.Run(fmt.Sprint(tc.entries), func(t *testing.T) {
			maxCrashes, sent, served := 0, 0, 0
			for seed := range uint64(*seedCount) {
				f := newSimFleet(seed, tc.entries, tc.endpoints, tc.delay)
				f.run(tc.rate)
				if f.lateSends > 3 {
					t.Errorf("seed %d: sent %d times more than %v after the third crash; %d endpoints crashed", seed, f.lateSends, reportWindow, f.crashes)
				}
				maxCrashes, sent, served = max(maxCrashes, f.crashes), sent+f.popularSent, served+f.popularServed
			}
			t.Logf("%d endpoints crashed at most; %d of %d popular requests were served in the last third", maxCrashes, served, sent)
			if served*10 < sent*9 {
				t.Errorf("%d of %d popular requests were served in the last third", served, sent)
			}
		})
	}
}
