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
// Requests that are all different may still share what crashes endpoints: a part of their
// prompts. The parts of the requests that had just begun on a crashed endpoint are suspects
// too, each as one customer sends it, and are judged by elimination (parts.go).
//
// Entries exchange reports, so that crashes are counted over the whole fleet.
//
// The package uses no network, clock or random source. A Tracker is owned by one goroutine.
package poison

import (
	"cmp"
	"slices"
	"strings"
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
	maxSuspects     = 512
	maxCompleted    = 2048
	maxEndpoints    = 256
	maxLostRuns     = 256 // per endpoint and customer
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
	// passes holds, by customer, when a request with each part last got past its beginning.
	passes *recent.Table[string, *recent.Table[Fingerprint, time.Duration]]
	// barred holds the parts that several customers' quarantines name.
	barred map[string]bool
	// needsEvaluation is set if the evidence against parts has changed since barred and the
	// quarantines of parts were last updated. evaluateAt is when it changed last.
	needsEvaluation bool
	evaluateAt      time.Duration
	// changes holds the changes that TakeChanges has not returned yet, crashes the crashes
	// that TakeCrashes has not returned yet.
	changes []Change
	crashes []Crash
}

// subject is what a suspect is: a whole request, or a part of prompts as one customer sends it.
type subject struct {
	fingerprint Fingerprint
	// customer is empty for a whole request that a peer reported.
	customer string
	// part is empty for a whole request.
	part string
}

// suspect is a request that was running on a crashed endpoint, or a part of its prompt.
type suspect struct {
	subject
	// completedAt is the time of the last completion, for a part the time at which a request
	// with it last got past its beginning. It is valid if hasCompleted is set. All crashes are
	// later.
	completedAt  time.Duration
	hasCompleted bool
	crashes      []crash
	// quarantinedAt and quarantinedUntil are the bounds of the last quarantine, valid if
	// quarantineCount is above zero.
	quarantinedAt, quarantinedUntil time.Duration
	quarantineCount                 int
	// quarantineKnownAt is when this entry learnt of the last quarantine.
	quarantineKnownAt time.Duration
	// probedAt is the time at which the probe was sent, after quarantinedUntil. It is valid
	// while probing is set, until the probe has a result.
	probedAt time.Duration
	probing  bool
	// probeAborted is set if the last probe was not executed, until that has been reported
	// to peers.
	probeAborted bool
	// local is set if this entry has lost a run of the request.
	local bool
	// unexplained is how many crashes count against a part, as of the last evaluation.
	unexplained int
	// dirty is set while the latest change has not been reported to peers.
	dirty     bool
	changedAt time.Duration
}

// crash is the crash of an endpoint while the suspect was running on it.
type crash struct {
	endpoint  string
	crashedAt time.Duration
	// peer is the entry that reported the crash first, empty if this one saw it.
	peer string
}

// lostRun is a request, or a part of one, whose run broke off.
type lostRun struct {
	subject
	lostAt time.Duration
	// mayBeWhole is set if only the end of the connection ended the answer.
	mayBeWhole bool
}

type endpoint struct {
	// lost holds the requests whose runs broke off, and the parts of those that had just begun,
	// until it is known whether the endpoint has crashed.
	lost []lostRun
	// lostAt is the time at which a run was last lost.
	lostAt time.Duration
	// crashed is set once the endpoint is known to have crashed.
	crashed   bool
	crashedAt time.Duration
	// checkStarted is set once a check of whether the endpoint accepts connections has been
	// started for these runs.
	checkStarted bool
	// culprit is the quarantined request or part to which the crash is attributed, valid if
	// explained is set. culpritIsPart is set for a part.
	culprit                  Fingerprint
	explained, culpritIsPart bool
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{
		suspects:  make(map[Fingerprint]*suspect),
		completed: recent.New[Fingerprint, time.Duration](maxCompleted),
		endpoints: recent.New[string, endpoint](maxEndpoints),
		passes:    recent.New[string, *recent.Table[Fingerprint, time.Duration]](maxPassCustomers),
	}
}

// Wait returns zero if a request may be sent now, else the time after which to retry. delay
// returns how much later than the first entry this one may send a probe.
func (t *Tracker) Wait(now time.Duration, r Request, delay func() time.Duration) time.Duration {
	t.evaluateParts()
	quarantined := t.quarantined(r)
	var wait time.Duration
	for _, s := range quarantined {
		wait = max(wait, s.probeStart(t, r, delay())-now)
	}
	if wait > 0 || len(quarantined) == 0 {
		return max(wait, t.barredWait(now, r))
	}
	// If two probes ran at the same time, both could be blamed for one crash.
	for _, o := range t.suspects {
		if o.probing && now-o.probedAt < probeTimeout {
			return o.probedAt + probeTimeout - now
		}
	}
	return t.barredWait(now, r)
}

// probeStart returns when a request may be let through although s, which it holds, is
// quarantined.
func (s *suspect) probeStart(t *Tracker, r Request, delay time.Duration) time.Duration {
	if s.part != "" && t.tellsApart(s, r) {
		return s.quarantineKnownAt + delay
	}
	return s.quarantinedUntil + delay
}

// quarantined returns the suspects among a request and its parts that have been quarantined and
// not cleared since.
func (t *Tracker) quarantined(r Request) []*suspect {
	var out []*suspect
	if s := t.suspects[r.fingerprint]; s != nil && s.quarantineCount > 0 {
		out = append(out, s)
	}
	for _, p := range r.parts {
		if s := t.suspects[p.fingerprint]; s != nil && s.quarantineCount > 0 {
			out = append(out, s)
		}
	}
	return out
}

// Admit is like Wait, for a request that is sent if Admit returns zero. After a quarantine,
// this request is the probe.
func (t *Tracker) Admit(now time.Duration, r Request, delay func() time.Duration) time.Duration {
	wait := t.Wait(now, r, delay)
	if wait > 0 {
		return wait
	}
	for _, s := range t.quarantined(r) {
		s.probedAt, s.probing, s.dirty = now, true, true
	}
	return 0
}

// RecordNotRun records that an admitted request was not executed on any endpoint.
func (t *Tracker) RecordNotRun(r Request) {
	for _, s := range t.quarantined(r) {
		if s.probing {
			s.probing, s.probeAborted, s.dirty = false, true, true
		}
	}
}

// IsSuspect reports whether the evidence against a request, or a part of its prompt, is strong
// enough to leave retries to its caller.
func (t *Tracker) IsSuspect(now time.Duration, r Request) bool {
	t.evaluateParts()
	s := t.suspects[r.fingerprint]
	if s != nil && (now < s.quarantinedUntil || t.countEvidence(now, s, r.fingerprint) >= retryCrashLimit && !s.isProven(now)) {
		return true
	}
	return t.hasSuspectPart(now, r)
}

// RecordLostRun records that a run broke off together with its connection. hasPassed is set if
// it had got past its beginning, which a run with a part that crashes endpoints never does.
func (t *Tracker) RecordLostRun(now time.Duration, r Request, id string, hasPassed bool) {
	t.recordLost(now, r.subjects(hasPassed), id, false)
}

// RecordEndedRun records that an answer ended with its connection before its run had got past its
// beginning. It may be whole, or the endpoint may have crashed. The endpoint's next answer shows
// that it has not.
func (t *Tracker) RecordEndedRun(now time.Duration, r Request, id string) {
	t.recordLost(now, r.parts, id, true)
}

func (t *Tracker) recordLost(now time.Duration, subjects []subject, id string, mayBeWhole bool) {
	if len(subjects) == 0 {
		return
	}
	e := t.endpoints.GetOrAdd(id)
	if e.crashed {
		t.addCrashes(now, subjects, id)
		return
	}
	if now-e.lostAt > crashConfirmTimeout {
		e.lost = nil
	}
	if now-e.lostAt > crashSpread {
		e.checkStarted = false
	}
	e.lostAt = now
	for _, s := range subjects {
		e.addLost(lostRun{s, now, mayBeWhole})
	}
}

// addLost adds what was running on the endpoint, at most maxLostRuns of one customer.
func (e *endpoint) addLost(l lostRun) {
	n := 0
	for i, o := range e.lost {
		if o.fingerprint == l.fingerprint {
			l.mayBeWhole = l.mayBeWhole && o.mayBeWhole
			e.lost[i] = l
			return
		}
		if o.customer == l.customer {
			n++
		}
	}
	if n < maxLostRuns {
		e.lost = append(e.lost, l)
	}
}

// hasSurvived drops the lost runs that an endpoint which has just answered has outlived by
// crashSpread, and returns the parts of those that may be whole.
func (e *endpoint) hasSurvived(now time.Duration) []subject {
	var whole []subject
	e.lost = slices.DeleteFunc(e.lost, func(l lostRun) bool {
		if now-l.lostAt <= crashSpread {
			return false
		}
		if l.mayBeWhole {
			whole = append(whole, l.subject)
		}
		return true
	})
	return whole
}

// RecordCrash records that an endpoint has crashed.
func (t *Tracker) RecordCrash(now time.Duration, id string) {
	e := t.endpoints.GetOrAdd(id)
	if e.crashed {
		return
	}
	var lost []subject
	for _, l := range e.lost {
		lost = append(lost, l.subject)
	}
	e.crashed, e.crashedAt, e.lost = true, now, nil
	if now-e.lostAt > crashConfirmTimeout {
		return
	}
	t.noteCrash(id, lost)
	t.addCrashes(now, lost, id)
}

// addCrashes records that an endpoint crashed while it was running requests of this entry.
func (t *Tracker) addCrashes(now time.Duration, lost []subject, id string) {
	for _, s := range lost {
		t.addCrash(now, s, id)
	}
	t.requestEvaluation(now)
	t.evaluateParts()
	for _, s := range lost {
		if s.part == "" {
			t.evaluate(now, s.fingerprint)
		}
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
func (t *Tracker) noteCrash(id string, lost []subject) {
	c := Crash{Endpoint: id}
	for _, l := range lost {
		s := t.suspects[l.fingerprint]
		switch {
		case l.part != "":
			continue
		case s == nil || len(s.crashes) == 0:
			c.FirstOffenders++
		}
		c.Requests++
	}
	if c.Requests > 0 {
		t.crashes = append(t.crashes, c)
	}
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
	return !e.crashed && len(e.lost) > 0 && now-e.lostAt <= crashConfirmTimeout
}

// TakeUnverified calls f for each endpoint that may have crashed and must be checked for
// whether it accepts connections. It does so once for all runs lost at the same time.
func (t *Tracker) TakeUnverified(now time.Duration, f func(id string)) {
	t.endpoints.Each(func(id string, e *endpoint) {
		brokeOff := slices.ContainsFunc(e.lost, func(l lostRun) bool { return !l.mayBeWhole })
		if !e.checkStarted && brokeOff && e.mayHaveCrashed(now) {
			e.checkStarted = true
			f(id)
		}
	})
}

// RecordCompleted records a complete answer from an endpoint. It clears the request, and the
// parts of its prompt if hasPassed is set: if the answer shows that the run got past its
// beginning.
func (t *Tracker) RecordCompleted(now time.Duration, r Request, id string, hasPassed bool) {
	if e := t.endpoints.Peek(id); e != nil {
		for _, s := range e.hasSurvived(now) {
			t.recordPass(now, s)
		}
		// An endpoint that is starting refuses connections just as a crashed one does.
		if e = t.endpoints.Peek(id); e != nil {
			e.crashed = e.crashed && now-e.crashedAt <= crashSpread
		}
	}
	if hasPassed {
		t.RecordPassed(now, r)
	}
	if r.fingerprint == (Fingerprint{}) {
		return
	}
	*t.completed.GetOrAdd(r.fingerprint) = now
	t.clearSuspect(now, r.fingerprint)
}

// clearSuspect drops the evidence against a request that has just completed, or a part that has
// just got past its beginning.
func (t *Tracker) clearSuspect(now time.Duration, f Fingerprint) {
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
	if s.part != "" && len(s.crashes)+s.quarantineCount > 0 {
		t.requestEvaluation(now)
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.crashedAt <= completedAt })
	if s.quarantineCount > 0 && s.quarantinedAt <= completedAt {
		if now < s.quarantinedUntil {
			t.changes = append(t.changes, s.change(Change{Released: true}))
		}
		s.quarantinedAt, s.quarantinedUntil, s.quarantineCount, s.probing = 0, 0, 0, false
	}
	t.endpoints.Each(func(_ string, e *endpoint) {
		e.lost = slices.DeleteFunc(e.lost, func(l lostRun) bool { return l.fingerprint == f })
		if e.explained && e.culprit == f {
			e.explained = false
		}
	})
}

// addCrash records that an endpoint crashed while it was running a request of this entry.
func (t *Tracker) addCrash(now time.Duration, subj subject, id string) {
	s := t.suspectFor(now, subj)
	s.local = true
	s.recordCrash(now, crash{endpoint: id, crashedAt: now})
}

// recordCrash adds a crash unless it is known, too old, or older than the last completion.
func (s *suspect) recordCrash(now time.Duration, newCrash crash) {
	known := slices.ContainsFunc(s.crashes, func(c crash) bool { return isSameStart(c.endpoint, newCrash.endpoint) })
	if known || now-newCrash.crashedAt > crashTTL || s.hasCompleted && newCrash.crashedAt <= s.completedAt {
		return
	}
	if len(s.crashes) >= maxCrashRecords {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	s.crashes = append(s.crashes, newCrash)
	s.dirty, s.changedAt = true, now
	if s.probing && newCrash.crashedAt >= s.probedAt {
		// The probe has its result.
		s.probing = false
	}
}

// isSameStart reports whether two IDs name the same start of an endpoint. An entry that was sent to
// an endpoint before it was listed knows the endpoint's ID only, which an "@" ends in the other.
func isSameStart(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	rest, ok := strings.CutPrefix(b, a)
	return ok && (rest == "" || rest[0] == '@')
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
	t.quarantine(now, s, duration)
}

// quarantine begins a quarantine and attributes to it the crashes that no other one explains.
func (t *Tracker) quarantine(now time.Duration, s *suspect, duration time.Duration) {
	s.quarantineCount++
	s.quarantinedAt, s.quarantinedUntil, s.quarantineKnownAt, s.probing = now, now+duration, now, false
	s.dirty, s.changedAt = true, now
	change := s.change(Change{Duration: duration, Quarantines: s.quarantineCount})
	for _, c := range s.crashes {
		change.Endpoints = append(change.Endpoints, c.endpoint)
		if c.peer != "" && !slices.Contains(change.Peers, c.peer) {
			change.Peers = append(change.Peers, c.peer)
		}
		if e := t.endpoints.GetOrAdd(c.endpoint); !e.explained || s.part != "" && !e.culpritIsPart {
			e.explained, e.culprit, e.culpritIsPart = true, s.fingerprint, s.part != ""
		}
	}
	t.changes = append(t.changes, change)
}

// change returns c with the fields that say what the suspect is.
func (s *suspect) change(c Change) Change {
	c.Fingerprint, c.Customer, c.Part, c.Local = s.fingerprint, s.customer, s.part, s.local
	return c
}

// Change is the beginning or the early end of a quarantine.
type Change struct {
	Fingerprint Fingerprint
	// Part is the part of prompts that is quarantined, as Customer sends it. It is empty for a
	// whole request.
	Part, Customer string
	// Released is set if the quarantine has ended early: the request completed, a request with
	// the part got past its beginning, or another part explains the crashes.
	Released bool
	// Duration is the duration of the quarantine, and Quarantines the number of quarantines
	// so far.
	Duration    time.Duration
	Quarantines int
	// Endpoints are those that crashed while running the request. It is empty if a peer
	// reported the quarantine.
	Endpoints []string
	// Peers are the entries that told of crashes which this one did not see.
	Peers []string
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
		case e != nil && e.explained && e.culprit != f && (e.culpritIsPart || s.isProven(now)):
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
func (t *Tracker) suspectFor(now time.Duration, subj subject) *suspect {
	f := subj.fingerprint
	if s := t.suspects[f]; s != nil {
		return s
	}
	if len(t.suspects) >= maxSuspects {
		t.evict(now)
	}
	s := &suspect{subject: subj, changedAt: now}
	completedAt := t.completed.Peek(f)
	if subj.part != "" {
		completedAt = t.passedAt(subj)
	}
	if completedAt != nil {
		s.completedAt, s.hasCompleted = *completedAt, true
	}
	t.suspects[f] = s
	return s
}

// evict drops the suspect with the lowest rank of the customer with most suspects, so that no
// customer can push out what is known about others.
func (t *Tracker) evict(now time.Duration) {
	counts, largest := make(map[string]int), ""
	for _, s := range t.suspects {
		counts[s.customer]++
	}
	for customer, n := range counts {
		if n > counts[largest] || n == counts[largest] && customer < largest {
			largest = customer
		}
	}
	var victim Fingerprint
	var lowest *suspect
	for f, s := range t.suspects {
		if s.customer == largest && (lowest == nil || s.compare(lowest, now) < 0) {
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
