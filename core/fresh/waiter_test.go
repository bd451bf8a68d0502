package fresh

import "time"

// waiter follows the list by calls that wait, and by nothing else: each waits for
// 300 ms for each entry that is heard, 0.6 of the bound at least and 8 s at most.
type waiter struct {
	e *entry
	// known is set once the list was read, since is from where it follows and
	// failed counts the calls that failed since one went well.
	known         bool
	since, failed int
}

func waitsOnly(bound time.Duration) rules {
	return rules{bound: bound, follow: func(e *entry) { (&waiter{e: e}).ask() }}
}

func (f *waiter) ask() {
	e, sent := f.e, f.e.w.now
	if !f.known {
		e.w.ask(e, whole, 0, callTime, func(a answer) { f.take(a, sent) })
		return
	}
	wait := max(time.Duration(len(e.heard())+1)*300*time.Millisecond, time.Duration(0.6*float64(e.w.rules.bound)))
	wait = time.Duration(float64(min(wait, 8*time.Second)) * (1 - 0.3*e.w.rnd.Float64()))
	e.w.ask(e, f.since, wait, wait+waitExtra, func(a answer) { f.take(a, sent) })
}

func (f *waiter) take(a answer, sent time.Duration) {
	e := f.e
	if a.failed {
		f.failed++
		e.later(e.w.backOff(f.failed), f.ask)
		return
	}
	pause := time.Duration(0)
	if a.news && f.known {
		pause = e.gather()
	}
	if a.news {
		e.looked(a.revision, sent)
	}
	f.failed, f.known, f.since = 0, !a.history, max(f.since, a.revision)
	e.later(pause, f.ask)
}
