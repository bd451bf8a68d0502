package poison

import "time"

// clockSkew bounds the difference between the times at which entries notice the same
// quarantine.
const clockSkew = time.Second

// maxReports bounds the reports of one call: a fleet that links anew tells them to all.
const maxReports = 32

// Report is what an entry knows of a suspect. Times are ages, as clocks differ between
// processes.
type Report struct {
	Fingerprint Fingerprint
	// Completed is the age of its last completion, negative if there is none.
	Completed time.Duration
	Crashes   []CrashReport
	// Since is the age of its last quarantine and Left what remains of it; both are valid
	// if Quarantines, the number of them, is above zero.
	Since, Left time.Duration
	Quarantines int
	// Probed is the age of a probe without an outcome, negative if there is none. Aborted
	// is set if the last probe did not run.
	Probed  time.Duration
	Aborted bool
}

// CrashReport is the crash of an endpoint under a suspect.
type CrashReport struct {
	Endpoint string
	Age      time.Duration
}

// Reports returns reports on suspects that changed since they were last reported, at most
// maxReports. If again is set it also reports, by and by, what a new peer has to know:
// quarantines, and suspects of this entry with several crashes.
func (b *Book) Reports(now time.Duration, again bool) []Report {
	if again {
		for _, s := range b.suspects {
			s.dirty = s.dirty || s.quarantines > 0 || s.local && len(s.crashes) >= suspectLimit
		}
	}
	var out []Report
	for f, s := range b.suspects {
		if !s.dirty || len(out) >= maxReports {
			continue
		}
		r := Report{Fingerprint: f, Completed: -1, Probed: -1, Quarantines: s.quarantines, Aborted: s.aborted}
		s.dirty, s.aborted = false, false
		if s.hasCompleted {
			r.Completed = now - s.completed
		}
		if s.quarantines > 0 {
			r.Since, r.Left = now-s.since, max(s.until-now, 0)
		}
		if s.probing {
			r.Probed = now - s.probed
		}
		for _, c := range s.crashes {
			r.Crashes = append(r.Crashes, CrashReport{c.endpoint, now - c.at})
		}
		out = append(out, r)
	}
	return out
}

// Merge merges a peer's report. Reports may come late, twice or not at all.
func (b *Book) Merge(now time.Duration, r Report) {
	s := b.suspects[r.Fingerprint]
	if s == nil {
		if len(r.Crashes) == 0 && r.Quarantines == 0 {
			return
		}
		s = b.suspect(now, r.Fingerprint)
	}
	if at := now - r.Completed; r.Completed >= 0 && (!s.hasCompleted || at > s.completed) {
		b.clear(now, at, r.Fingerprint, s)
	}
	dirty := s.dirty
	for _, c := range r.Crashes[:min(len(r.Crashes), maxCrashRecords)] {
		s.add(now, crash{c.Endpoint, now - c.Age})
		// Runs that this entry lost on the same endpoint are suspects as well.
		b.Crashed(now, c.Endpoint)
	}
	// The peer reports to all entries.
	s.dirty = dirty
	if r.Quarantines > 0 {
		b.quarantine(now, r.Fingerprint, s, now-r.Since, r.Left, r.Quarantines)
	}
	switch {
	case s.quarantines == 0 || s.quarantines != r.Quarantines:
	case r.Aborted:
		s.probing = false
	case r.Probed >= 0 && !s.probing:
		s.probed, s.probing = now-r.Probed, true
	}
	b.evaluate(now, r.Fingerprint)
}

// quarantine adopts a quarantine that began elsewhere, unless the request has completed
// since or a later one is known.
func (b *Book) quarantine(now time.Duration, f Fingerprint, s *suspect, since, left time.Duration, quarantines int) {
	if s.hasCompleted && since <= s.completed {
		return
	}
	if quarantines < s.quarantines || quarantines == s.quarantines && since <= s.since+clockSkew {
		return
	}
	left = min(left, longestQuarantine)
	if quarantines > s.quarantines {
		b.changes = append(b.changes, Change{Fingerprint: f, Left: left, Quarantines: quarantines, Local: s.local})
	}
	s.since, s.until, s.quarantines, s.probing, s.touched = since, now+left, quarantines, false, now
}

// Restore restores a quarantine that began before this entry was started. If it is over,
// the request is to be probed.
func (b *Book) Restore(now time.Duration, f Fingerprint, age, left time.Duration, quarantines int) {
	b.quarantine(now, f, b.suspect(now, f), now-age, max(left, 0), max(quarantines, 1))
}
