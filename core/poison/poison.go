// Package poison quarantines requests that crash endpoints.
//
// The load it answers is a poison request: one that crashes each endpoint that begins to
// run it, and that its caller retries. Placed like any other, it takes a whole pool down
// and breaks off everything that runs beside it.
//
// All requests that were running on an endpoint when it crashed are suspects. A request
// that was running on several crashed endpoints, without having completed in between, is
// quarantined. Completing once, on any endpoint, clears it. An innocent request that
// happened to run beside the crashes could not complete in quarantine, so a quarantine
// ends with a probe: one request that is let through.
//
// Entries exchange reports, so that crashes are counted over the fleet.
//
// It uses no network, clock or random source. One goroutine owns a Book.
package poison

import (
	"cmp"
	"slices"
	"time"

	"lycheepond/core/recent"
)

const (
	// crashLimit is the number of crashes that quarantine a request. Requests that have
	// completed within provenFor take provenLimit: popular ones run beside every crash.
	crashLimit  = 3
	provenLimit = 5
	provenFor   = 5 * time.Minute
	// suspectLimit is the number of crashes after which the entry itself does not retry
	// a request.
	suspectLimit = 2
	// crashSpread bounds the time within which the connections to a crashed endpoint are
	// seen to break; an answer completed later proves that the endpoint is alive.
	crashSpread = 200 * time.Millisecond
	// confirmWithin is how long after a run was lost a crash of its endpoint explains it.
	// The instance list may take several heartbeats to drop an endpoint.
	confirmWithin = 10 * time.Second
	// firstQuarantine gives crashed endpoints the time to restart. If the probe crashes
	// another one, nextQuarantine follows, doubled each time up to longestQuarantine.
	firstQuarantine   = 2 * time.Second
	nextQuarantine    = 5 * time.Minute
	longestQuarantine = time.Hour
	// probeTimeout is how long a probe without an outcome blocks the next one.
	probeTimeout = 10 * time.Second
	// crashTTL is how long a crash counts.
	crashTTL = 30 * time.Minute
)

// Memory bounds. Requests in quarantine are evicted last.
const (
	maxSuspects     = 256
	maxCompleted    = 2048
	maxEndpoints    = 256
	maxLostRuns     = 256 // of one endpoint
	maxCrashRecords = 8   // of one suspect
)

// Book tracks suspects.
type Book struct {
	// suspects has at most maxSuspects entries.
	suspects map[Fingerprint]*suspect
	// completed holds the time at which requests last completed.
	completed *recent.Table[Fingerprint, time.Duration]
	// endpoints holds those with lost runs and those that crashed.
	endpoints *recent.Table[string, endpoint]
	// changes holds what Changes has not returned yet.
	changes []Change
}

// suspect is a request that was running on a crashed endpoint.
type suspect struct {
	// completed is when it last completed, valid if hasCompleted. All crashes are later.
	completed    time.Duration
	hasCompleted bool
	crashes      []crash
	// since and until bound the last quarantine, valid if quarantines, which counts them,
	// is above zero.
	since, until time.Duration
	quarantines  int
	// probed is when the probe was sent, later than until; valid while probing is set,
	// until the probe has an outcome.
	probed  time.Duration
	probing bool
	// aborted is set while peers have not been told that the last probe did not run.
	aborted bool
	// local is set if this entry has lost a run of it.
	local bool
	// dirty is set while peers have not been told of the latest change.
	dirty   bool
	touched time.Duration
}

// crash is the crash of an endpoint while the suspect was running on it.
type crash struct {
	endpoint string
	at       time.Duration
}

type endpoint struct {
	// lost holds the requests whose runs broke off, until it is known whether the endpoint
	// has crashed.
	lost   []Fingerprint
	lostAt time.Duration
	// crashed is set once it is known to have crashed, at crashedAt.
	crashed   bool
	crashedAt time.Duration
	// verified is set once it was checked whether it accepts connections.
	verified bool
	// culprit is the quarantined request that explains the crash; valid if explained.
	culprit   Fingerprint
	explained bool
}

// New returns an empty Book.
func New() *Book {
	return &Book{
		suspects:  make(map[Fingerprint]*suspect),
		completed: recent.New[Fingerprint, time.Duration](maxCompleted),
		endpoints: recent.New[string, endpoint](maxEndpoints),
	}
}

// Wait returns zero if a request may be sent now, else the time after which to retry.
// delay returns how much later than the first entry this one may send a probe.
func (b *Book) Wait(now time.Duration, f Fingerprint, delay func() time.Duration) time.Duration {
	s := b.suspects[f]
	if s == nil || s.quarantines == 0 {
		return 0
	}
	if start := s.until + delay(); now < start {
		return start - now
	}
	// Two probes beside each other could be blamed for one crash.
	for _, o := range b.suspects {
		if o.probing && now-o.probed < probeTimeout {
			return o.probed + probeTimeout - now
		}
	}
	return 0
}

// Admit is like Wait, for a request that is going to be sent if it returns zero: after a
// quarantine this is the probe.
func (b *Book) Admit(now time.Duration, f Fingerprint, delay func() time.Duration) time.Duration {
	wait := b.Wait(now, f, delay)
	if s := b.suspects[f]; wait == 0 && s != nil && s.quarantines > 0 {
		s.probed, s.probing, s.dirty = now, true, true
	}
	return wait
}

// NotRun records that an admitted request did not run on any endpoint.
func (b *Book) NotRun(f Fingerprint) {
	if s := b.suspects[f]; s != nil && s.probing {
		s.probing, s.aborted, s.dirty = false, true, true
	}
}

// Suspect reports whether a request is suspicious enough to leave retries to its caller.
func (b *Book) Suspect(now time.Duration, f Fingerprint) bool {
	s := b.suspects[f]
	return s != nil && (now < s.until || b.evidence(now, s, f) >= suspectLimit && !s.proven(now))
}

// RunLost records that a run broke off together with its connection.
func (b *Book) RunLost(now time.Duration, f Fingerprint, id string) {
	e := b.endpoints.Get(id)
	if e.crashed {
		b.addCrash(now, f, id)
		b.evaluate(now, f)
		return
	}
	if now-e.lostAt > confirmWithin {
		e.lost = nil
	}
	if now-e.lostAt > crashSpread {
		e.verified = false
	}
	e.lostAt = now
	if len(e.lost) < maxLostRuns && !slices.Contains(e.lost, f) {
		e.lost = append(e.lost, f)
	}
}

// Crashed records that an endpoint has crashed.
func (b *Book) Crashed(now time.Duration, id string) {
	e := b.endpoints.Get(id)
	if e.crashed {
		return
	}
	lost := e.lost
	e.crashed, e.crashedAt, e.lost = true, now, nil
	if now-e.lostAt > confirmWithin {
		return
	}
	for _, f := range lost {
		b.addCrash(now, f, id)
	}
	for _, f := range lost {
		b.evaluate(now, f)
	}
}

// MayHaveCrashed reports whether runs were lost lately on an endpoint that is not known
// to have crashed.
func (b *Book) MayHaveCrashed(now time.Duration, id string) bool {
	e := b.endpoints.Peek(id)
	return e != nil && e.mayHaveCrashed(now)
}

func (e *endpoint) mayHaveCrashed(now time.Duration) bool {
	return !e.crashed && len(e.lost) > 0 && now-e.lostAt <= confirmWithin
}

// Unverified calls f with each endpoint that may have crashed and has to be checked for
// whether it accepts connections, once for all runs lost together.
func (b *Book) Unverified(now time.Duration, f func(id string)) {
	b.endpoints.Each(func(id string, e *endpoint) {
		if !e.verified && e.mayHaveCrashed(now) {
			e.verified = true
			f(id)
		}
	})
}

// Completed records a complete answer from an endpoint. It clears the request.
func (b *Book) Completed(now time.Duration, f Fingerprint, id string) {
	*b.completed.Get(f) = now
	if e := b.endpoints.Peek(id); e != nil {
		if now-e.lostAt > crashSpread {
			e.lost = nil
		}
		// An endpoint that is starting refuses connections as one that crashed does.
		e.crashed = e.crashed && now-e.crashedAt <= crashSpread
	}
	s := b.suspects[f]
	if s == nil {
		return
	}
	s.dirty = s.dirty || len(s.crashes) > 0 || s.quarantines > 0
	b.clear(now, now, f, s)
}

// clear drops the evidence against a request that completed at a time.
func (b *Book) clear(now, at time.Duration, f Fingerprint, s *suspect) {
	s.completed, s.hasCompleted, s.touched = at, true, now
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.at <= at })
	if s.quarantines > 0 && s.since <= at {
		if now < s.until {
			b.changes = append(b.changes, Change{Fingerprint: f, Released: true, Local: s.local})
		}
		s.since, s.until, s.quarantines, s.probing = 0, 0, 0, false
	}
	b.endpoints.Each(func(_ string, e *endpoint) {
		e.lost = slices.DeleteFunc(e.lost, func(l Fingerprint) bool { return l == f })
		if e.explained && e.culprit == f {
			e.explained = false
		}
	})
}

// addCrash records that an endpoint crashed under a request of this entry.
func (b *Book) addCrash(now time.Duration, f Fingerprint, id string) {
	s := b.suspect(now, f)
	s.local = true
	s.add(now, crash{id, now})
}

// add adds a crash unless it is known, outdated, or older than the last completion.
func (s *suspect) add(now time.Duration, n crash) {
	known := slices.ContainsFunc(s.crashes, func(c crash) bool { return c.endpoint == n.endpoint })
	if known || now-n.at > crashTTL || s.hasCompleted && n.at <= s.completed {
		return
	}
	if len(s.crashes) >= maxCrashRecords {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	s.crashes = append(s.crashes, n)
	s.dirty, s.touched = true, now
}

// evaluate quarantines a request if there is enough evidence against it.
func (b *Book) evaluate(now time.Duration, f Fingerprint) {
	s := b.suspects[f]
	if s == nil || now < s.until {
		return
	}
	limit := crashLimit
	if s.proven(now) {
		limit = provenLimit
	}
	if b.evidence(now, s, f) < limit {
		return
	}
	left := firstQuarantine
	if s.quarantines > 0 {
		left = min(nextQuarantine<<min(s.quarantines-1, 8), longestQuarantine)
	}
	s.quarantines++
	s.since, s.until, s.probing = now, now+left, false
	s.dirty, s.touched = true, now
	change := Change{Fingerprint: f, Left: left, Quarantines: s.quarantines, Local: s.local}
	for _, c := range s.crashes {
		change.Endpoints = append(change.Endpoints, c.endpoint)
		if e := b.endpoints.Get(c.endpoint); !e.explained {
			e.explained, e.culprit = true, f
		}
	}
	b.changes = append(b.changes, change)
}

// Change is the beginning or the early end of a quarantine.
type Change struct {
	Fingerprint Fingerprint
	// Released is set if the request completed, which ended its quarantine.
	Released bool
	// Left is the duration of the quarantine and Quarantines their number so far.
	Left        time.Duration
	Quarantines int
	// Endpoints have crashed under the request; empty if a peer reported the quarantine.
	Endpoints []string
	// Local is set if this entry has lost a run of the request.
	Local bool
}

// Changes returns the changes since the last call.
func (b *Book) Changes() []Change {
	out := b.changes
	b.changes = nil
	return out
}

// proven reports whether a request has completed lately.
func (s *suspect) proven(now time.Duration) bool {
	return s.hasCompleted && now-s.completed <= provenFor
}

// evidence counts the crashes that speak against a request. Crashes before a quarantine
// count as one less than its limit, so that one crash by the probe is enough for the next
// quarantine. Crashes with another culprit do not count against a proven request.
func (b *Book) evidence(now time.Duration, s *suspect, f Fingerprint) int {
	before, after := 0, 0
	for _, c := range s.crashes {
		e := b.endpoints.Peek(c.endpoint)
		switch {
		case now-c.at > crashTTL:
		case s.proven(now) && e != nil && e.explained && e.culprit != f:
		case c.at <= s.until:
			before++
		default:
			after++
		}
	}
	if s.quarantines > 0 {
		before = crashLimit - 1
	}
	return before + after
}

// suspect returns the record of a request, making one if needed.
func (b *Book) suspect(now time.Duration, f Fingerprint) *suspect {
	if s := b.suspects[f]; s != nil {
		return s
	}
	if len(b.suspects) >= maxSuspects {
		b.evict(now)
	}
	s := &suspect{touched: now}
	if at := b.completed.Peek(f); at != nil {
		s.completed, s.hasCompleted = *at, true
	}
	b.suspects[f] = s
	return s
}

// evict drops the suspect that matters least.
func (b *Book) evict(now time.Duration) {
	var victim Fingerprint
	var least *suspect
	for f, s := range b.suspects {
		if least == nil || s.compare(least, now) < 0 {
			victim, least = f, s
		}
	}
	delete(b.suspects, victim)
}

// compare orders suspects by quarantine, then number of crashes, then last change.
func (s *suspect) compare(o *suspect, now time.Duration) int {
	rank := func(s *suspect) int {
		if now < s.until {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(s), rank(o)), cmp.Compare(len(s.crashes), len(o.crashes)), cmp.Compare(s.touched, o.touched))
}
