package poison

import (
	"cmp"
	"slices"
	"time"

	"lycheepond/core/recent"
)

// A part of prompts that crashes endpoints does so whenever one begins to answer a request with
// it. So a single run with the part that gets past its beginning clears it, and only runs that
// had just begun are evidence. Innocent parts are present at crashes too: those that most
// prompts share, and those of requests that were placed beside a deadly one. They are told apart
// by elimination: crashes that a part with more evidence explains count against no other.
//
// The parts are what callers say. Evidence against a part counts only for the customer whose
// requests were lost, and what another customer's requests survive clears nothing.

const (
	// PassTime is how long after its first event a run must go on to have got past its
	// beginning.
	PassTime = 300 * time.Millisecond
	// burstTime is the time within which several crashes count as one against a part that
	// requests have got past recently, because many endpoints may end for one reason.
	burstTime = 500 * time.Millisecond
	// maxBarringCustomers is the number of customers whose quarantines of a part bar it for
	// all others.
	maxBarringCustomers = 3
	// barredRetry is the time after which to retry a request with a barred part.
	barredRetry = 10 * time.Minute
	// partTTL is how long a quarantined part is remembered, and the duration of its last
	// quarantines.
	partTTL = 24 * time.Hour
)

// partQuarantines holds the durations of the first quarantines of a part. A part that crashed
// two probes stays in quarantine for partTTL, so that probes crash few endpoints however long
// such requests come.
var partQuarantines = []time.Duration{firstQuarantine, 10 * time.Minute, partTTL}

// Memory bounds.
const (
	maxPassCustomers = 256
	maxPasses        = 64 // per customer
)

// RecordPassed records that a run of a request got past its beginning. It clears the parts of
// its prompt.
func (t *Tracker) RecordPassed(now time.Duration, r Request) {
	for _, p := range r.parts {
		t.recordPass(now, p)
	}
}

// recordPass records that a run of a request with a part got past its beginning.
func (t *Tracker) recordPass(now time.Duration, part subject) {
	passes := t.passes.GetOrAdd(part.customer)
	if *passes == nil {
		*passes = recent.New[Fingerprint, time.Duration](maxPasses)
	}
	*(*passes).GetOrAdd(part.fingerprint) = now
	t.clearSuspect(now, part.fingerprint)
}

// passedAt returns when a request with the part last got past its beginning, nil if unknown.
func (t *Tracker) passedAt(part subject) *time.Duration {
	if passes := t.passes.Peek(part.customer); passes != nil {
		return (*passes).Peek(part.fingerprint)
	}
	return nil
}

// requestEvaluation makes the next call that depends on the evidence against parts evaluate it.
func (t *Tracker) requestEvaluation(now time.Duration) { t.needsEvaluation, t.evaluateAt = true, now }

// evaluateParts quarantines the parts against which there is enough evidence, and releases those
// whose crashes others explain.
func (t *Tracker) evaluateParts() {
	if !t.needsEvaluation {
		return
	}
	for t.needsEvaluation {
		t.needsEvaluation = false
		t.judgeParts(t.evaluateAt)
	}
	t.releaseExplained(t.evaluateAt)
	t.updateBarred()
}

// judgeParts quarantines the parts against which there is enough evidence. It requests another
// evaluation if it has quarantined any, because that is evidence about others.
func (t *Tracker) judgeParts(now time.Duration) {
	parts, unexplainedByPart := t.partSuspects(now), make(map[string]int)
	for _, s := range parts {
		s.unexplained = 0
	}
	explained := make(map[string]bool)
	for len(parts) > 0 {
		// Parts with the same rank can't be told apart, so they don't explain each other's
		// crashes.
		n := 1
		for n < len(parts) && parts[n].compareEvidence(parts[0]) == 0 {
			n++
		}
		var guilty []*suspect
		for _, s := range parts[:n] {
			s.unexplained = s.countUnexplained(explained)
			if t.judgePart(now, s, explained, unexplainedByPart[s.part]) {
				guilty = append(guilty, s)
			}
			unexplainedByPart[s.part] += s.unexplained
		}
		for _, s := range guilty {
			for _, c := range s.crashes {
				explained[c.endpoint] = true
			}
		}
		parts = parts[n:]
	}
}

// partSuspects returns the parts with evidence against them: quarantined ones first, then those
// with most crashes.
func (t *Tracker) partSuspects(now time.Duration) []*suspect {
	var out []*suspect
	for _, s := range t.suspects {
		if s.part == "" {
			continue
		}
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return now-c.crashedAt > crashTTL })
		if len(s.crashes) > 0 || s.quarantineCount > 0 {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *suspect) int {
		return cmp.Or(a.compareEvidence(b), slices.Compare(a.fingerprint[:], b.fingerprint[:]))
	})
	return out
}

// compareEvidence orders parts by the evidence against them, strongest first.
func (s *suspect) compareEvidence(o *suspect) int {
	quarantined := func(s *suspect) int { return min(s.quarantineCount, 1) }
	return cmp.Or(cmp.Compare(quarantined(o), quarantined(s)), cmp.Compare(len(o.crashes), len(s.crashes)))
}

func (s *suspect) countUnexplained(explained map[string]bool) int {
	n := 0
	for _, c := range s.crashes {
		if !explained[c.endpoint] {
			n++
		}
	}
	return n
}

// judgePart quarantines a part if there is enough evidence against it, and reports whether it is
// in quarantine or was and has not been cleared since. others is how many unexplained crashes
// there are with the same part in other customers' requests.
func (t *Tracker) judgePart(now time.Duration, s *suspect, explained map[string]bool, others int) bool {
	switch {
	case s.quarantineCount == 0 && !s.isGuilty(now, explained, others):
		return false
	case now < s.quarantinedUntil:
		return true
	case s.quarantineCount > 0 && !s.hasCrashedProbe(explained):
		return true
	}
	t.needsEvaluation = true
	t.quarantine(now, s, partQuarantines[min(s.quarantineCount, len(partQuarantines)-1)])
	return true
}

// hasCrashedProbe reports whether an endpoint has crashed since the last quarantine ended.
func (s *suspect) hasCrashedProbe(explained map[string]bool) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.crashedAt >= s.quarantinedUntil && !explained[c.endpoint] })
}

// isGuilty reports whether the evidence against a part suffices for its first quarantine.
func (s *suspect) isGuilty(now time.Duration, explained map[string]bool, others int) bool {
	switch total := len(s.crashes); {
	case s.isProven(now):
		return s.countBursts(explained) >= provenCrashLimit
	case s.unexplained >= crashLimit:
		return true
	case s.unexplained > 1 && total > crashLimit:
		// Two deadly parts may share crashes.
		return true
	default:
		return s.unexplained > 0 && s.unexplained+others > crashLimit
	}
}

// countBursts counts the unexplained crashes, those within burstTime as one.
func (s *suspect) countBursts(explained map[string]bool) int {
	var times []time.Duration
	for _, c := range s.crashes {
		if !explained[c.endpoint] {
			times = append(times, c.crashedAt)
		}
	}
	slices.Sort(times)
	n := 0
	for i, at := range times {
		if i == 0 || at-times[i-1] > burstTime {
			n++
		}
	}
	return n
}

// releaseExplained releases parts from their first quarantine if the evidence against them has
// become too weak: another part was running on all their crashed endpoints and on more, or
// requests with them have got past their beginnings elsewhere.
func (t *Tracker) releaseExplained(now time.Duration) {
	for _, s := range t.suspects {
		if s.part == "" || s.quarantineCount != 1 || len(s.crashes) == 0 {
			continue
		}
		if s.isProven(now) && s.countBursts(nil) < provenCrashLimit || t.hasStrongerSuspect(s) {
			if now < s.quarantinedUntil {
				t.changes = append(t.changes, s.change(Change{Released: true}))
			}
			s.quarantinedAt, s.quarantinedUntil, s.quarantineCount, s.probing = 0, 0, 0, false
			s.changedAt = now
		}
	}
}

// hasStrongerSuspect reports whether another quarantined part of the customer was running on all
// endpoints that crashed under s, and on more.
func (t *Tracker) hasStrongerSuspect(s *suspect) bool {
	for _, o := range t.suspects {
		if o.part != "" && o.customer == s.customer && o.quarantineCount > 0 && len(o.crashes) > len(s.crashes) && o.ranOnAll(s) {
			return true
		}
	}
	return false
}

// ranOnAll reports whether s was running on all endpoints that crashed under o.
func (s *suspect) ranOnAll(o *suspect) bool {
	return !slices.ContainsFunc(o.crashes, func(c crash) bool {
		return !slices.ContainsFunc(s.crashes, func(d crash) bool { return d.endpoint == c.endpoint })
	})
}

// updateBarred finds the parts that several customers' quarantines name.
func (t *Tracker) updateBarred() {
	customers := make(map[string]int)
	for _, s := range t.suspects {
		if s.part != "" && s.quarantineCount > 0 {
			customers[s.part]++
		}
	}
	t.barred = nil
	for part, n := range customers {
		if n >= maxBarringCustomers {
			if t.barred == nil {
				t.barred = make(map[string]bool)
			}
			t.barred[part] = true
		}
	}
}

// barredWait returns the time after which to retry a request with a part that several customers'
// quarantines name, unless this customer's requests have got past it recently; zero without one.
func (t *Tracker) barredWait(now time.Duration, r Request) time.Duration {
	if t.barredPart(now, r) != nil {
		return barredRetry
	}
	return 0
}

// barredPart returns the part for which barredWait is not zero, nil without one.
func (t *Tracker) barredPart(now time.Duration, r Request) *subject {
	if len(t.barred) == 0 {
		return nil
	}
	for i, p := range r.parts {
		if !t.barred[p.part] {
			continue
		}
		if passedAt := t.passedAt(p); passedAt == nil || now-*passedAt > provenTTL {
			return &r.parts[i]
		}
	}
	return nil
}

// tellsApart reports whether the outcome of a request would tell s, which it holds, apart from
// another quarantined part that it does not hold and that may explain all crashes under s.
func (t *Tracker) tellsApart(s *suspect, r Request) bool {
	for _, o := range t.suspects {
		if o == s || o.part == "" || o.customer != s.customer || o.quarantineCount == 0 || !o.ranOnAll(s) {
			continue
		}
		if !slices.ContainsFunc(r.parts, func(p subject) bool { return p.fingerprint == o.fingerprint }) {
			return true
		}
	}
	return false
}

// hasSuspectPart reports whether the evidence against a part of a request is strong enough to
// leave retries to its caller.
func (t *Tracker) hasSuspectPart(now time.Duration, r Request) bool {
	for _, p := range r.parts {
		s := t.suspects[p.fingerprint]
		if s != nil && (s.quarantineCount > 0 || s.unexplained >= retryCrashLimit && !s.isProven(now)) {
			return true
		}
	}
	return t.barredPart(now, r) != nil
}

// Culprit returns the fingerprint of what keeps a request from being sent, and its part of the
// prompt, empty if it is the whole request.
func (t *Tracker) Culprit(now time.Duration, r Request) (f Fingerprint, part string) {
	for _, s := range t.quarantined(r) {
		if f, part = s.fingerprint, s.part; part != "" {
			return f, part
		}
	}
	if p := t.barredPart(now, r); p != nil && part == "" {
		return p.fingerprint, p.part
	}
	return f, part
}
