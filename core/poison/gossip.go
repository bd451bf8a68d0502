package poison

import (
	"cmp"
	"slices"
	"time"
)

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
	// Part is a part of prompts as Customer sends it. Both are empty for a whole request, and
	// Fingerprint is not used for a part.
	Part, Customer string
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
	t.evaluateParts()
	// Quarantines go first, so that no customer's invented requests delay them.
	var dirty []*suspect
	for _, s := range t.suspects {
		if s.dirty {
			dirty = append(dirty, s)
		}
	}
	slices.SortFunc(dirty, func(a, b *suspect) int {
		return cmp.Or(-cmp.Compare(a.quarantineCount, b.quarantineCount), cmp.Compare(a.changedAt, b.changedAt))
	})
	var out []Report
	for _, s := range dirty[:min(len(dirty), maxReports)] {
		r := Report{Fingerprint: s.fingerprint, CompletedAge: -1, ProbeAge: -1, Quarantines: s.quarantineCount, ProbeAborted: s.probeAborted}
		if s.part != "" {
			r.Part, r.Customer = s.part, s.customer
		}
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

// Merge merges a report that came from a peer. Reports may be late, duplicated or lost.
func (t *Tracker) Merge(now time.Duration, peer string, r Report) {
	subj := subject{fingerprint: r.Fingerprint}
	if r.Part != "" {
		subj = newPart(r.Customer, r.Part)
	}
	s := t.suspects[subj.fingerprint]
	if s == nil {
		if len(r.Crashes) == 0 && r.Quarantines == 0 {
			return
		}
		s = t.suspectFor(now, subj)
	}
	if completedAt := now - r.CompletedAge; r.CompletedAge >= 0 && (!s.hasCompleted || completedAt > s.completedAt) {
		t.clear(now, completedAt, subj.fingerprint, s)
	}
	// A peer that gets few requests with a part must hear that others got past it.
	dirty := s.dirty || s.part != "" && s.isProven(now) && (r.CompletedAge < 0 || r.CompletedAge > provenTTL/2)
	for _, c := range r.Crashes[:min(len(r.Crashes), maxCrashRecords)] {
		s.recordCrash(now, crash{c.Endpoint, now - c.Age, peer})
		// Requests of this entry that broke off on the same endpoint become suspects as
		// well.
		t.RecordCrash(now, c.Endpoint)
	}
	// The peer sends its report to all entries, so these changes need no report.
	s.dirty = dirty
	if r.Quarantines > 0 {
		t.adoptQuarantine(now, s, now-r.QuarantineAge, r.QuarantineLeft, r.Quarantines)
	}
	switch {
	case s.quarantineCount == 0 || s.quarantineCount != r.Quarantines:
	case r.ProbeAborted:
		s.probing = false
	case r.ProbeAge >= 0 && !s.probing:
		s.probedAt, s.probing = now-r.ProbeAge, true
	}
	if s.part != "" {
		t.requestEvaluation(now)
		return
	}
	t.evaluate(now, r.Fingerprint)
}

// adoptQuarantine records a quarantine that began at another entry, unless the request has
// completed since then or a later quarantine is known.
func (t *Tracker) adoptQuarantine(now time.Duration, s *suspect, quarantinedAt, left time.Duration, quarantines int) {
	if s.hasCompleted && quarantinedAt <= s.completedAt {
		return
	}
	if quarantines < s.quarantineCount || quarantines == s.quarantineCount && quarantinedAt <= s.quarantinedAt+clockSkew {
		return
	}
	if s.part == "" {
		left = min(left, maxQuarantine)
	}
	left = min(left, partTTL)
	if quarantines > s.quarantineCount {
		t.changes = append(t.changes, s.change(Change{Duration: left, Quarantines: quarantines}))
	}
	s.quarantinedAt, s.quarantinedUntil, s.quarantineCount, s.probing, s.changedAt, s.quarantineKnownAt = quarantinedAt, now+left, quarantines, false, now, now
}

// Stored is a quarantine that outlived the entries.
type Stored struct {
	Fingerprint Fingerprint
	// Part is the part of prompts that is quarantined, as Customer sends it. Both are empty for
	// a whole request, and Fingerprint is not used for a part.
	Part, Customer string
	// Age is the time since the quarantine began, Left its remaining duration.
	Age, Left time.Duration
	// Quarantines is the number of quarantines so far.
	Quarantines int
}

// Restore restores a quarantine that began before this entry was started. If it has ended,
// the next request is a probe.
func (t *Tracker) Restore(now time.Duration, q Stored) {
	subj := subject{fingerprint: q.Fingerprint}
	if q.Part != "" {
		subj = newPart(q.Customer, q.Part)
		t.requestEvaluation(now)
	}
	t.adoptQuarantine(now, t.suspectFor(now, subj), now-q.Age, max(q.Left, 0), max(q.Quarantines, 1))
}
