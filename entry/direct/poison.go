package direct

import (
	"strconv"
	"time"

	"lycheepond/core/logs"
	"lycheepond/core/poison"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

// start names one start of an endpoint.
func (e *endpoint) start() string {
	if e.Incarnation == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.Incarnation, 10)
}

// probeDelay is how much later than the entry before it an entry may send a probe: longer
// than reports take to reach it.
const probeDelay = time.Second

// quarantined returns the time after which to retry a job, zero if it may be sent.
func (d *Director) quarantined(j *Job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.poison.Wait(d.since(time.Now()), j.fingerprint, d.probeDelay)
}

// admitted is like quarantined, for a job that is going to be sent if it returns zero.
func (d *Director) admitted(j *Job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.poison.Admit(d.since(time.Now()), j.fingerprint, d.probeDelay)
}

// notRun records that no endpoint has run a job.
func (d *Director) notRun(j *Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.v.poison.RecordNotRun(j.fingerprint)
}

// probeDelay returns how much later than the first entry this one may send a probe.
func (d *Director) probeDelay() time.Duration {
	return time.Duration(d.rank()) * probeDelay
}

// quarantineResult is the result of a job in quarantine.
func quarantineResult(retry time.Duration) Result {
	return Result{Outcome: Quarantined, Retry: retry, Why: "quarantined: it crashed endpoints"}
}

// suspect reports whether retries of a job are left to its caller.
func (d *Director) suspect(j *Job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.poison.IsSuspect(d.since(time.Now()), j.fingerprint)
}

// runLost records that the try broke off, unless its endpoint is shutting down; d.mu is
// held.
func (v *visit) runLost() {
	if v.fingerprint == (poison.Fingerprint{}) || v.e.Leaving {
		return
	}
	v.d.v.poison.RecordLostRun(v.d.since(time.Now()), v.fingerprint, v.e.start())
	v.d.notePoison()
}

// completed records that the try got a complete answer.
func (v *visit) completed() {
	if v.fingerprint == (poison.Fingerprint{}) {
		return
	}
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	v.d.v.poison.RecordCompleted(v.d.since(time.Now()), v.fingerprint, v.e.start())
	v.d.notePoison()
}

// refused records a crash of the endpoint if err says that nobody listens there.
func (v *visit) refused(err error) {
	if !hop.Refused(err) {
		return
	}
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	if v.e.Addr == v.addr {
		v.d.crashed(v.e)
	}
}

// crashed records that an endpoint has crashed; d.mu is held.
func (d *Director) crashed(e *endpoint) {
	if e.Leaving {
		return
	}
	d.v.poison.RecordCrash(d.since(time.Now()), e.start())
	d.notePoison()
}

// unverified adds to out the endpoints that may have crashed, with their addresses; d.mu
// is held.
func (d *Director) unverified(now time.Duration, out map[string]string) {
	starts := make(map[string]bool)
	d.v.poison.TakeUnverified(now, func(start string) { starts[start] = true })
	if len(starts) == 0 {
		return
	}
	for id, e := range d.v.endpoints {
		if starts[e.start()] {
			out[id] = e.Addr
		}
	}
}

// notePoison logs and passes on what has changed about quarantines; d.mu is held.
func (d *Director) notePoison() {
	for _, c := range d.v.poison.TakeChanges() {
		logs.LogQuarantine(d.cfg.Log, c)
		if !c.Released {
			d.cfg.Metrics.Counter("quarantines").Inc(1)
		}
		if d.cfg.Quarantine != nil {
			d.cfg.Quarantine(c)
		}
	}
}

// Restore restores a quarantine that began before this entry was started.
func (d *Director) Restore(f poison.Fingerprint, age, left time.Duration, quarantines int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.v.poison.Restore(d.since(time.Now()), f, age, left, quarantines)
	d.notePoison()
}

// Extend adds reports on suspects, limits and roll-outs to a tally: those that changed, and again
// those that a new peer has to know.
func (d *Director) Extend(t *wire.Tally, again bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.Suspects, t.Limits, t.Rollouts = d.suspects(again), d.limits(again), d.rolloutReports(again)
}

// suspects returns the reports for a tally; d.mu is held.
func (d *Director) suspects(again bool) []wire.Suspect {
	var out []wire.Suspect
	for _, r := range d.v.poison.Reports(d.since(time.Now()), again) {
		s := wire.Suspect{
			Fingerprint: r.Fingerprint[:], CompletedAgoMS: age(r.CompletedAge), QuarantinedAgoMS: ms(r.QuarantineAge), QuarantineLeftMS: ms(r.QuarantineLeft),
			Quarantines: uint16(r.Quarantines), ProbedAgoMS: age(r.ProbeAge), ProbeAborted: r.ProbeAborted,
		}
		for _, c := range r.Crashes {
			s.Crashes = append(s.Crashes, wire.Crash{Endpoint: c.Endpoint, AgeMS: ms(c.Age)})
		}
		out = append(out, s)
	}
	return out
}

// mergeSuspects merges a peer's reports; d.mu is held.
func (d *Director) mergeSuspects(all []wire.Suspect) {
	now := d.since(time.Now())
	for _, s := range all {
		r := poison.Report{
			CompletedAge: fromMS(s.CompletedAgoMS), QuarantineAge: fromMS(s.QuarantinedAgoMS), QuarantineLeft: fromMS(s.QuarantineLeftMS),
			Quarantines: int(s.Quarantines), ProbeAge: fromMS(s.ProbedAgoMS), ProbeAborted: s.ProbeAborted,
		}
		if copy(r.Fingerprint[:], s.Fingerprint) < len(r.Fingerprint) {
			continue
		}
		for _, c := range s.Crashes {
			r.Crashes = append(r.Crashes, poison.CrashReport{Endpoint: c.Endpoint, Age: fromMS(c.AgeMS)})
		}
		d.v.poison.Merge(now, r)
	}
	d.notePoison()
}

func ms(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

// age is an age in milliseconds; negative ones mean that there is none.
func age(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

func fromMS[T int64 | uint32](ms T) time.Duration { return time.Duration(ms) * time.Millisecond }
