// Package poison quarantines requests that crash endpoints.
//
// A poison request crashes each endpoint that starts to execute it, and its caller retries
// it. If it were placed like other requests, it would take down a whole pool and break off
// all requests running there.
//
// All requests that were running on an endpoint when it crashed are suspects. A request
// that was running on several crashed endpoints, without having completed in between, is
// quarantined. Completing once, on any endpoint, clears it. An innocent request that ran on
// the crashed endpoints by chance cannot complete while it is quarantined, so a quarantine
// ends with a probe: one request that is let through.
//
// Entries exchange reports, so that crashes are counted over the whole fleet.
//
// The package uses no network, clock or random source. A Tracker is owned by one goroutine.
package poison

import (
	"cmp"
	"slices"
	"time"

	"lycheepond/core/recent"
)

const (
	// crashLimit is the number of crashes after which a request is quarantined. For
	// requests that completed within provenTTL it is provenCrashLimit, because popular
	// requests are running during every crash.
	crashLimit       = 3
	provenCrashLimit = 5
	provenTTL        = 5 * time.Minute
	// retryCrashLimit is the number of crashes after which the entry does not retry a
	// request itself.
	retryCrashLimit = 2
	// crashSpread bounds the time over which the connections to a crashed endpoint break.
	// An answer completed later proves that the endpoint is running.
	crashSpread = 200 * time.Millisecond
	// crashConfirmTimeout is the longest time between the loss of a run and the crash of
	// its endpoint for the crash to explain the loss. The instance list may take several
	// heartbeats to drop an endpoint.
	crashConfirmTimeout = 10 * time.Second
	// firstQuarantine gives crashed endpoints time to restart. If the probe crashes another
	// endpoint, the next quarantine lasts nextQuarantine. The duration is doubled each time
	// up to maxQuarantine.
	firstQuarantine = 2 * time.Second
	nextQuarantine  = 5 * time.Minute
	maxQuarantine   = time.Hour
	// probeTimeout is how long a probe without a result blocks the next one.
	probeTimeout = 10 * time.Second
	// crashTTL is how long a crash counts against a request.
	crashTTL = 30 * time.Minute
)

// Memory bounds. Quarantined requests are evicted last.
const (
	maxSuspects     = 256
	maxCompleted    = 2048
	maxEndpoints    = 256
	maxLostRuns     = 256 // per endpoint
	maxCrashRecords = 8   // per suspect
)

// Tracker tracks suspects.
type Tracker struct {
	// suspects has at most maxSuspects elements.
	suspects map[Fingerprint]*suspect
	// completed holds the time at which each request last completed.
	completed *recent.Table[Fingerprint, time.Duration]
	// endpoints holds the endpoints with lost runs and those that crashed.
	endpoints *recent.Table[string, endpoint]
	// changes holds the changes that TakeChanges has not returned yet, crashes the crashes
	// that TakeCrashes has not returned yet.
	changes []Change
	crashes []Crash
}

// suspect is a request that was running on a crashed endpoint.
type suspect struct {
	// completedAt is the time of the last completion, valid if hasCompleted is set. All
	// crashes are later.
	completedAt  time.Duration
	hasCompleted bool
	crashes      []crash
	// quarantinedAt and quarantinedUntil are the bounds of the last quarantine, valid if
	// quarantineCount is above zero.
	quarantinedAt, quarantinedUntil time.Duration
	quarantineCount                 int
	// probedAt is the time at which the probe was sent, after quarantinedUntil. It is valid
	// while probing is set, until the probe has a result.
	probedAt time.Duration
	probing  bool
	// probeAborted is set if the last probe was not executed, until that has been reported
	// to peers.
	probeAborted bool
	// local is set if this entry has lost a run of the request.
	local bool
	// dirty is set while the latest change has not been reported to peers.
	dirty     bool
	changedAt time.Duration
}

// crash is the crash of an endpoint while the suspect was running on it.
type crash struct {
	endpoint  string
	crashedAt time.Duration
}

type endpoint struct {
	// lostRequests holds the requests whose runs broke off, until it is known whether the
	// endpoint has crashed.
	lostRequests []Fingerprint
	// lostAt is the time at which a run was last lost.
	lostAt time.Duration
	// crashed is set once the endpoint is known to have crashed.
	crashed   bool
	crashedAt time.Duration
	// checkStarted is set once a check of whether the endpoint accepts connections has been
	// started for these runs.
	checkStarted bool
	// culprit is the quarantined request to which the crash is attributed, valid if
	// explained is set.
	culprit   Fingerprint
	explained bool
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{
		suspects:  make(map[Fingerprint]*suspect),
		completed: recent.New[Fingerprint, time.Duration](maxCompleted),
		endpoints: recent.New[string, endpoint](maxEndpoints),
	}
}

// Wait returns zero if a request may be sent now, else the time after which to retry. delay
// returns how much later than the first entry this one may send a probe.
func (t *Tracker) Wait(now time.Duration, f Fingerprint, delay func() time.Duration) time.Duration {
	s := t.suspects[f]
	if s == nil || s.quarantineCount == 0 {
		return 0
	}
	if start := s.quarantinedUntil + delay(); now < start {
		return start - now
	}
	// If two probes ran at the same time, both could be blamed for one crash.
	for _, o := range t.suspects {
		if o.probing && now-o.probedAt < probeTimeout {
			return o.probedAt + probeTimeout - now
		}
	}
	return 0
}

// Admit is like Wait, for a request that is sent if Admit returns zero. After a quarantine,
// this request is the probe.
func (t *Tracker) Admit(now time.Duration, f Fingerprint, delay func() time.Duration) time.Duration {
	wait := t.Wait(now, f, delay)
	if s := t.suspects[f]; wait == 0 && s != nil && s.quarantineCount > 0 {
		s.probedAt, s.probing, s.dirty = now, true, true
	}
	return wait
}

// RecordNotRun records that an admitted request was not executed on any endpoint.
func (t *Tracker) RecordNotRun(f Fingerprint) {
	if s := t.suspects[f]; s != nil && s.probing {
		s.probing, s.probeAborted, s.dirty = false, true, true
	}
}

// IsSuspect reports whether the evidence against a request is strong enough to leave
// retries to its caller.
func (t *Tracker) IsSuspect(now time.Duration, f Fingerprint) bool {
	s := t.suspects[f]
	return s != nil && (now < s.quarantinedUntil || t.countEvidence(now, s, f) >= retryCrashLimit && !s.isProven(now))
}

// RecordLostRun records that a run broke off together with its connection.
func (t *Tracker) RecordLostRun(now time.Duration, f Fingerprint, id string) {
	e := t.endpoints.GetOrAdd(id)
	if e.crashed {
		t.addCrash(now, f, id)
		t.evaluate(now, f)
		return
	}
	if now-e.lostAt > crashConfirmTimeout {
		e.lostRequests = nil
	}
	if now-e.lostAt > crashSpread {
		e.checkStarted = false
	}
	e.lostAt = now
	if len(e.lostRequests) < maxLostRuns && !slices.Contains(e.lostRequests, f) {
		e.lostRequests = append(e.lostRequests, f)
	}
}

// RecordCrash records that an endpoint has crashed.
func (t *Tracker) RecordCrash(now time.Duration, id string) {
	e := t.endpoints.GetOrAdd(id)
	if e.crashed {
		return
	}
	lostRequests := e.lostRequests
	e.crashed, e.crashedAt, e.lostRequests = true, now, nil
	if now-e.lostAt > crashConfirmTimeout {
		return
	}
	t.noteCrash(id, lostRequests)
	for _, f := range lostRequests {
		t.addCrash(now, f, id)
	}
	for _, f := range lostRequests {
		t.evaluate(now, f)
	}
}

// Crash is a crash of an endpoint on which this entry lost runs.
type Crash struct {
	Endpoint string
	// Requests is how many requests were lost, and FirstOffenders how many of them had not been
	// running during a crash before.
	Requests, FirstOffenders int
}

// noteCrash adds a crash for TakeCrashes, if requests were lost.
func (t *Tracker) noteCrash(id string, lost []Fingerprint) {
	if len(lost) == 0 {
		return
	}
	c := Crash{Endpoint: id, Requests: len(lost)}
	for _, f := range lost {
		if s := t.suspects[f]; s == nil || len(s.crashes) == 0 {
			c.FirstOffenders++
		}
	}
	t.crashes = append(t.crashes, c)
}

// TakeCrashes returns the crashes since the last call.
func (t *Tracker) TakeCrashes() []Crash {
	out := t.crashes
	t.crashes = nil
	return out
}

// MayHaveCrashed reports whether runs were recently lost on an endpoint that is not known
// to have crashed.
func (t *Tracker) MayHaveCrashed(now time.Duration, id string) bool {
	e := t.endpoints.Peek(id)
	return e != nil && e.mayHaveCrashed(now)
}

func (e *endpoint) mayHaveCrashed(now time.Duration) bool {
	return !e.crashed && len(e.lostRequests) > 0 && now-e.lostAt <= crashConfirmTimeout
}

// TakeUnverified calls f for each endpoint that may have crashed and must be checked for
// whether it accepts connections. It does so once for all runs lost at the same time.
func (t *Tracker) TakeUnverified(now time.Duration, f func(id string)) {
	t.endpoints.Each(func(id string, e *endpoint) {
		if !e.checkStarted && e.mayHaveCrashed(now) {
			e.checkStarted = true
			f(id)
		}
	})
}

// RecordCompleted records a complete answer from an endpoint. It clears the request.
func (t *Tracker) RecordCompleted(now time.Duration, f Fingerprint, id string) {
	*t.completed.GetOrAdd(f) = now
	if e := t.endpoints.Peek(id); e != nil {
		if now-e.lostAt > crashSpread {
			e.lostRequests = nil
		}
		// An endpoint that is starting refuses connections just as a crashed one does.
		e.crashed = e.crashed && now-e.crashedAt <= crashSpread
	}
	s := t.suspects[f]
	if s == nil {
		return
	}
	s.dirty = s.dirty || len(s.crashes) > 0 || s.quarantineCount > 0
	t.clear(now, now, f, s)
}

// clear drops the evidence against a request that completed at completedAt.
func (t *Tracker) clear(now, completedAt time.Duration, f Fingerprint, s *suspect) {
	s.completedAt, s.hasCompleted, s.changedAt = completedAt, true, now
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.crashedAt <= completedAt })
	if s.quarantineCount > 0 && s.quarantinedAt <= completedAt {
		if now < s.quarantinedUntil {
			t.changes = append(t.changes, Change{Fingerprint: f, Released: true, Local: s.local})
		}
		s.quarantinedAt, s.quarantinedUntil, s.quarantineCount, s.probing = 0, 0, 0, false
	}
	t.endpoints.Each(func(_ string, e *endpoint) {
		e.lostRequests = slices.DeleteFunc(e.lostRequests, func(l Fingerprint) bool { return l == f })
		if e.explained && e.culprit == f {
			e.explained = false
		}
	})
}

// addCrash records that an endpoint crashed while it was running a request of this entry.
func (t *Tracker) addCrash(now time.Duration, f Fingerprint, id string) {
	s := t.suspectFor(now, f)
	s.local = true
	s.recordCrash(now, crash{id, now})
}

// recordCrash adds a crash unless it is known, too old, or older than the last completion.
func (s *suspect) recordCrash(now time.Duration, newCrash crash) {
	known := slices.ContainsFunc(s.crashes, func(c crash) bool { return c.endpoint == newCrash.endpoint })
	if known || now-newCrash.crashedAt > crashTTL || s.hasCompleted && newCrash.crashedAt <= s.completedAt {
		return
	}
	if len(s.crashes) >= maxCrashRecords {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	s.crashes = append(s.crashes, newCrash)
	s.dirty, s.changedAt = true, now
}

// evaluate quarantines a request if there is enough evidence against it.
func (t *Tracker) evaluate(now time.Duration, f Fingerprint) {
	s := t.suspects[f]
	if s == nil || now < s.quarantinedUntil {
		return
	}
	limit := crashLimit
	if s.isProven(now) {
		limit = provenCrashLimit
	}
	if t.countEvidence(now, s, f) < limit {
		return
	}
	duration := firstQuarantine
	if s.quarantineCount > 0 {
		duration = min(nextQuarantine<<min(s.quarantineCount-1, 8), maxQuarantine)
	}
	s.quarantineCount++
	s.quarantinedAt, s.quarantinedUntil, s.probing = now, now+duration, false
	s.dirty, s.changedAt = true, now
	change := Change{Fingerprint: f, Duration: duration, Quarantines: s.quarantineCount, Local: s.local}
	for _, c := range s.crashes {
		change.Endpoints = append(change.Endpoints, c.endpoint)
		if e := t.endpoints.GetOrAdd(c.endpoint); !e.explained {
			e.explained, e.culprit = true, f
		}
	}
	t.changes = append(t.changes, change)
}

// Change is the beginning or the early end of a quarantine.
type Change struct {
	Fingerprint Fingerprint
	// Released is set if the request completed, which ended its quarantine.
	Released bool
	// Duration is the duration of the quarantine, and Quarantines the number of quarantines
	// so far.
	Duration    time.Duration
	Quarantines int
	// Endpoints are those that crashed while running the request. It is empty if a peer
	// reported the quarantine.
	Endpoints []string
	// Local is set if this entry has lost a run of the request.
	Local bool
}

// TakeChanges returns the changes since the last call.
func (t *Tracker) TakeChanges() []Change {
	out := t.changes
	t.changes = nil
	return out
}

// isProven reports whether the request has completed recently.
func (s *suspect) isProven(now time.Duration) bool {
	return s.hasCompleted && now-s.completedAt <= provenTTL
}

// countEvidence returns the number of crashes that count against a request. All crashes
// before a quarantine count together as one less than crashLimit, so that a single crash
// during the probe causes the next quarantine. Crashes attributed to another request do not
// count against a proven request.
func (t *Tracker) countEvidence(now time.Duration, s *suspect, f Fingerprint) int {
	before, after := 0, 0
	for _, c := range s.crashes {
		e := t.endpoints.Peek(c.endpoint)
		switch {
		case now-c.crashedAt > crashTTL:
		case s.isProven(now) && e != nil && e.explained && e.culprit != f:
		case c.crashedAt <= s.quarantinedUntil:
			before++
		default:
			after++
		}
	}
	if s.quarantineCount > 0 {
		before = crashLimit - 1
	}
	return before + after
}

// suspectFor returns the record of a request, and creates it if needed.
func (t *Tracker) suspectFor(now time.Duration, f Fingerprint) *suspect {
	if s := t.suspects[f]; s != nil {
		return s
	}
	if len(t.suspects) >= maxSuspects {
		t.evict(now)
	}
	s := &suspect{changedAt: now}
	if completedAt := t.completed.Peek(f); completedAt != nil {
		s.completedAt, s.hasCompleted = *completedAt, true
	}
	t.suspects[f] = s
	return s
}

// evict drops the suspect with the lowest rank.
func (t *Tracker) evict(now time.Duration) {
	var victim Fingerprint
	var lowest *suspect
	for f, s := range t.suspects {
		if lowest == nil || s.compare(lowest, now) < 0 {
			victim, lowest = f, s
		}
	}
	delete(t.suspects, victim)
}

// compare ranks suspects by quarantine, then by number of crashes, then by time of the last
// change.
func (s *suspect) compare(o *suspect, now time.Duration) int {
	quarantineRank := func(s *suspect) int {
		if now < s.quarantinedUntil {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(quarantineRank(s), quarantineRank(o)), cmp.Compare(len(s.crashes), len(o.crashes)), cmp.Compare(s.changedAt, o.changedAt))
}
