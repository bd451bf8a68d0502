package direct

import (
	"cmp"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/poison"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

// startID identifies one start of an endpoint.
func (e *endpoint) startID() string { return cmp.Or(e.startName, e.start().ID()) }

// probeDelayStep is how much later an entry may send a probe than the entry ranked before it.
// It is longer than reports take to reach the later entry.
const probeDelayStep = time.Second

// quarantineWait returns the time after which to retry a job; zero if it may be sent.
func (d *Director) quarantineWait(j *Job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.poison.Wait(d.sinceStart(time.Now()), j.suspect, d.probeDelay)
}

// admitQuarantined is like quarantineWait, for a job that is sent if it returns zero.
func (d *Director) admitQuarantined(j *Job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.poison.Admit(d.sinceStart(time.Now()), j.suspect, d.probeDelay)
}

// recordNotRun records that no endpoint has run a job.
func (d *Director) recordNotRun(j *Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.poison.RecordNotRun(j.suspect)
}

// probeDelay returns how much later than the first entry this one may send a probe.
func (d *Director) probeDelay() time.Duration {
	return time.Duration(d.entryRank()) * probeDelayStep
}

// quarantineResult returns the result of a job in quarantine.
func (d *Director) quarantineResult(j *Job, retry time.Duration) Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, part := d.view.poison.Culprit(d.sinceStart(time.Now()), j.suspect)
	res := Result{Outcome: Quarantined, RetryAfter: retry, RefusedUntilRetry: true, Reason: "quarantined: it crashed endpoints", Culprit: f}
	if part != "" {
		res.Reason = "quarantined: requests with part " + part + " of its prompt crashed endpoints"
	}
	return res
}

// isSuspect reports whether retries of a job are left to its caller because it may crash
// endpoints.
func (d *Director) isSuspect(j *Job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.poison.IsSuspect(d.sinceStart(time.Now()), j.suspect)
}

// recordLostRun records that the attempt broke off, unless its endpoint is shutting down. The
// caller holds d.mu.
func (a *attempt) recordLostRun() {
	if !a.suspect.IsTracked() || a.endpoint.Leaving {
		return
	}
	a.d.view.poison.RecordLostRun(a.d.sinceStart(time.Now()), a.suspect, a.endpoint.startID(), a.hasPassed)
	a.d.applyQuarantineChanges("")
}

// recordPassed records that the attempt has got past its beginning if it has gone on for long
// enough after its first event. The caller holds d.mu.
func (a *attempt) recordPassed(now time.Time) {
	if a.hasPassed || now.Sub(a.firstAt) < poison.PassTime {
		return
	}
	a.hasPassed = true
	a.d.view.poison.RecordPassed(a.d.sinceStart(now), a.suspect)
	a.d.applyQuarantineChanges("")
}

// recordCompletion records that the attempt got a complete answer with a status. An answer that
// ends with its connection may have been cut off by a crash.
func (a *attempt) recordCompletion(status int, framing hop.Framing) {
	if !a.suspect.IsTracked() {
		return
	}
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	now := a.d.sinceStart(time.Now())
	isWhole := framing != hop.ByConnection || a.hasPassed
	a.d.view.poison.RecordCompleted(now, a.suspect, a.endpoint.startID(), isWhole && status < http.StatusMultipleChoices)
	if !isWhole && !a.endpoint.Leaving {
		a.d.view.poison.RecordEndedRun(now, a.suspect, a.endpoint.startID())
	}
	a.d.applyQuarantineChanges("")
}

// recordRefusedConnection records a crash of the endpoint if err says that nothing listens at
// its address.
func (a *attempt) recordRefusedConnection(err error) {
	if !hop.IsRefused(err) {
		return
	}
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if a.endpoint.Addr == a.sentAddr {
		a.d.recordCrash(a.endpoint, "connection refused")
	}
}

// recordCrash records that an endpoint has crashed, unless it is shutting down. evidence says
// what shows it. The caller holds d.mu.
func (d *Director) recordCrash(e *endpoint, evidence string) {
	if e.Leaving {
		return
	}
	d.view.poison.RecordCrash(d.sinceStart(time.Now()), e.startID())
	d.applyQuarantineChanges(evidence)
}

// addUnverified adds the addresses of the endpoints that may have crashed to out, by ID. The
// caller holds d.mu.
func (d *Director) addUnverified(now time.Duration, out map[string]string) {
	starts := make(map[string]bool)
	d.view.poison.TakeUnverified(now, func(start string) { starts[start] = true })
	if len(starts) == 0 {
		return
	}
	for id, e := range d.view.endpoints {
		if starts[e.startID()] {
			out[id] = e.Addr
		}
	}
}

// applyQuarantineChanges logs the crashes of endpoints, which evidence shows, and logs and
// reports the changes of quarantines. The caller holds d.mu.
func (d *Director) applyQuarantineChanges(evidence string) {
	for _, c := range d.view.poison.TakeCrashes() {
		d.cfg.Metrics.Counter("endpoint_crashes").Inc(1)
		logs.Warn(d.cfg.Log, logs.EventEndpointCrashed, zap.String("endpoint", c.Endpoint), zap.String("why", evidence), zap.Int("requests", c.Requests), zap.Int("first_offenders", c.FirstOffenders))
	}
	for _, c := range d.view.poison.TakeChanges() {
		logs.LogQuarantine(d.cfg.Log, c)
		if !c.Released {
			d.cfg.Metrics.Counter("quarantines").Inc(1)
		}
		if d.cfg.OnQuarantine != nil {
			d.cfg.OnQuarantine(c)
		}
	}
}

// RestoreQuarantine restores a quarantine that began before this entry was started.
func (d *Director) RestoreQuarantine(q poison.Stored) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.poison.Restore(d.sinceStart(time.Now()), q)
	d.applyQuarantineChanges("")
}

// AddReports adds reports on suspect requests, rate limits, rollouts, leaving endpoints, rests and
// connections to a tally: the changed ones, and with resend also those that a new peer needs.
func (d *Director) AddReports(t *wire.Tally, resend bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.Suspects, t.Parts = d.suspectReports(resend)
	t.Limits, t.Rollouts = d.limitReports(resend), d.rolloutReports(resend)
	t.Leaving, t.Rests = d.leavingReports(resend), d.restReports(resend)
	t.Lending = d.lendingReport(resend)
}

// suspectReports returns the reports on suspect requests and parts for a tally. The caller holds
// d.mu.
func (d *Director) suspectReports(resend bool) (requests []wire.Suspect, parts []wire.SuspectPart) {
	for _, r := range d.view.poison.Reports(d.sinceStart(time.Now()), resend) {
		s := wire.Suspect{
			CompletedAgoMS: ageMS(r.CompletedAge), QuarantinedAgoMS: toMS(r.QuarantineAge), QuarantineLeftMS: toMS(r.QuarantineLeft),
			Quarantines: uint16(r.Quarantines), ProbedAgoMS: ageMS(r.ProbeAge), ProbeAborted: r.ProbeAborted,
		}
		for _, c := range r.Crashes {
			s.Crashes = append(s.Crashes, wire.Crash{Endpoint: c.Endpoint, AgeMS: toMS(c.Age)})
		}
		if r.Part != "" {
			parts = append(parts, wire.SuspectPart{Customer: r.Customer, Part: r.Part, Suspect: s})
			continue
		}
		s.Fingerprint = r.Fingerprint[:]
		requests = append(requests, s)
	}
	return requests, parts
}

// mergeSuspects merges a peer's reports on suspect requests and parts. The caller holds d.mu.
func (d *Director) mergeSuspects(peer string, requests []wire.Suspect, parts []wire.SuspectPart) {
	now := d.sinceStart(time.Now())
	for _, s := range requests {
		r := newReport(s)
		if copy(r.Fingerprint[:], s.Fingerprint) == len(r.Fingerprint) {
			d.view.poison.Merge(now, peer, r)
		}
	}
	for _, p := range parts {
		r := newReport(p.Suspect)
		if r.Part, r.Customer = p.Part, p.Customer; r.Part != "" {
			d.view.poison.Merge(now, peer, r)
		}
	}
	d.applyQuarantineChanges("told by " + peer)
}

// newReport returns a peer's report without what it is about.
func newReport(s wire.Suspect) poison.Report {
	r := poison.Report{
		CompletedAge: fromMS(s.CompletedAgoMS), QuarantineAge: fromMS(s.QuarantinedAgoMS), QuarantineLeft: fromMS(s.QuarantineLeftMS),
		Quarantines: int(s.Quarantines), ProbeAge: fromMS(s.ProbedAgoMS), ProbeAborted: s.ProbeAborted,
	}
	for _, c := range s.Crashes {
		r.Crashes = append(r.Crashes, poison.CrashReport{Endpoint: c.Endpoint, Age: fromMS(c.AgeMS)})
	}
	return r
}

func toMS(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

// ageMS returns an age in milliseconds, and -1 for a negative one, which means that there is
// none.
func ageMS(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

func fromMS[T int64 | uint32](ms T) time.Duration { return time.Duration(ms) * time.Millisecond }
