package poison

import "time"

// clockSkew bounds the difference between the times at which entries record the same
// quarantine.
const clockSkew = time.Second

// maxReports bounds the number of reports returned by one call. When links are
// re-established, all suspects are reported to all entries.
const maxReports = 32

// Report is the state of a suspect at one entry. Times are sent as ages because clocks
// differ between processes.
type Report struct {
	Fingerprint Fingerprint
	// CompletedAge is the age of the last completion, negative if there is none.
	CompletedAge time.Duration
	Crashes      []CrashReport
	// QuarantineAge is the age of the last quarantine and QuarantineLeft its remaining
	// duration. Both are valid if Quarantines, the number of quarantines so far, is above
	// zero.
	QuarantineAge, QuarantineLeft time.Duration
	Quarantines                   int
	// ProbeAge is the age of a probe without a result, negative if there is none.
	// ProbeAborted is set if the last probe was not executed.
	ProbeAge     time.Duration
	ProbeAborted bool
}

// CrashReport reports the crash of an endpoint on which the suspect was running.
type CrashReport struct {
	Endpoint string
	Age      time.Duration
}

// Reports returns reports on the suspects that changed since they were last reported, at
// most maxReports. If resend is set, for a new peer, it also returns reports on quarantined
// requests and on this entry's suspects with several crashes, over several calls if needed.
func (t *Tracker) Reports(now time.Duration, resend bool) []Report {
	if resend {
		for _, s := range t.suspects {
			s.dirty = s.dirty || s.quarantineCount > 0 || s.local && len(s.crashes) >= retryCrashLimit
		}
	}
	var out []Report
	for f, s := range t.suspects {
		if !s.dirty || len(out) >= maxReports {
			continue
		}
		r := Report{Fingerprint: f, CompletedAge: -1, ProbeAge: -1, Quarantines: s.quarantineCount, ProbeAborted: s.probeAborted}
		s.dirty, s.probeAborted = false, false
		if s.hasCompleted {
			r.CompletedAge = now - s.completedAt
		}
		if s.quarantineCount > 0 {
			r.QuarantineAge, r.QuarantineLeft = now-s.quarantinedAt, max(s.quarantinedUntil-now, 0)
		}
		if s.probing {
			r.ProbeAge = now - s.probedAt
		}
		for _, c := range s.crashes {
			r.Crashes = append(r.Crashes, CrashReport{c.endpoint, now - c.crashedAt})
		}
		out = append(out, r)
	}
	return out
}

// Merge merges a peer's report. Reports may be late, duplicated or lost.
func (t *Tracker) Merge(now time.Duration, r Report) {
	s := t.suspects[r.Fingerprint]
	if s == nil {
		if len(r.Crashes) == 0 && r.Quarantines == 0 {
			return
		}
		s = t.suspectFor(now, r.Fingerprint)
	}
	if completedAt := now - r.CompletedAge; r.CompletedAge >= 0 && (!s.hasCompleted || completedAt > s.completedAt) {
		t.clear(now, completedAt, r.Fingerprint, s)
	}
	dirty := s.dirty
	for _, c := range r.Crashes[:min(len(r.Crashes), maxCrashRecords)] {
		s.recordCrash(now, crash{c.Endpoint, now - c.Age})
		// Requests of this entry that broke off on the same endpoint become suspects as
		// well.
		t.RecordCrash(now, c.Endpoint)
	}
	// The peer sends its report to all entries, so these changes need no report.
	s.dirty = dirty
	if r.Quarantines > 0 {
		t.adoptQuarantine(now, r.Fingerprint, s, now-r.QuarantineAge, r.QuarantineLeft, r.Quarantines)
	}
	switch {
	case s.quarantineCount == 0 || s.quarantineCount != r.Quarantines:
	case r.ProbeAborted:
		s.probing = false
	case r.ProbeAge >= 0 && !s.probing:
		s.probedAt, s.probing = now-r.ProbeAge, true
	}
	t.evaluate(now, r.Fingerprint)
}

// adoptQuarantine records a quarantine that began at another entry, unless the request has
// completed since then or a later quarantine is known.
func (t *Tracker) adoptQuarantine(now time.Duration, f Fingerprint, s *suspect, quarantinedAt, left time.Duration, quarantines int) {
	if s.hasCompleted && quarantinedAt <= s.completedAt {
		return
	}
	if quarantines < s.quarantineCount || quarantines == s.quarantineCount && quarantinedAt <= s.quarantinedAt+clockSkew {
		return
	}
	left = min(left, maxQuarantine)
	if quarantines > s.quarantineCount {
		t.changes = append(t.changes, Change{Fingerprint: f, Duration: left, Quarantines: quarantines, Local: s.local})
	}
	s.quarantinedAt, s.quarantinedUntil, s.quarantineCount, s.probing, s.changedAt = quarantinedAt, now+left, quarantines, false, now
}

// Restore restores a quarantine that began before this entry was started. If it has ended,
// the next request is a probe.
func (t *Tracker) Restore(now time.Duration, f Fingerprint, age, left time.Duration, quarantines int) {
	t.adoptQuarantine(now, f, t.suspectFor(now, f), now-age, max(left, 0), max(quarantines, 1))
}
