package fresh

import "time"

const (
	// longestWait is the longest that a call waits beside looks.
	longestWait = 24 * time.Second
	// lookLimit is how long a look may take, maxReadings bounds the first readings
	// beside each other and pollLook is how often it is checked whether a look is due.
	lookLimit   = bound * 3 / 10
	maxReadings = 2
	pollLook    = 50 * time.Millisecond
)

// looker follows the list by calls that wait and by looks beside them, like
// entry/follow.
type looker struct {
	e *entry
	// failed counts the calls that failed since one went well, which was sent at
	// well; nothing is asked before retry.
	failed      int
	well, retry time.Duration
	since       int
	// listed is set once the list was read, lost while the history since then is
	// gone, looking while a look is in flight. waiting is the call that waits, and next
	// when the next one is sent.
	listed, lost, looking bool
	next                  time.Duration
	waiting               *call
	// readings counts the first readings in flight, and turn the times at which one
	// was planned.
	readings, turn int
}

func withLooks(bound time.Duration) rules {
	return rules{bound: bound, hurry: true, follow: func(e *entry) {
		f := &looker{e: e}
		f.list()
		e.later(e.w.upTo(pollLook), f.poll)
	}}
}

func (f *looker) poll() {
	f.send()
	f.e.later(pollLook, f.poll)
}

func (f *looker) list() {
	e, sent := f.e, f.e.w.now
	if f.readings < maxReadings {
		f.readings++
		e.w.ask(e, whole, 0, callTime, func(a answer) {
			f.readings--
			switch {
			case f.listed:
			case a.failed:
				f.bad()
				f.listIn(f.retry - e.w.now)
			default:
				f.good(sent)
				f.since, f.listed, f.next = a.revision, true, e.w.now
				e.looked(a.revision, sent)
				f.send()
			}
		})
	}
	f.listIn(lookLimit)
}

// listIn has the list asked for in d, unless it has come.
func (f *looker) listIn(d time.Duration) {
	f.turn++
	turn := f.turn
	f.e.later(d, func() {
		if !f.listed && f.turn == turn {
			f.list()
		}
	})
}

func (f *looker) good(sent time.Duration) { f.failed, f.well = 0, max(f.well, sent) }

func (f *looker) bad() {
	f.failed++
	f.retry = f.e.w.now + f.e.w.backOff(f.failed)
}

// send sends the calls that are due.
func (f *looker) send() {
	now := f.e.w.now
	if !f.listed {
		return
	}
	if f.failed == 0 && !f.lost && f.waiting == nil && now >= f.next {
		wait := time.Duration(float64(longestWait) * (1 - 0.5*f.e.w.rnd.Float64()))
		f.waiting = f.call(f.since, true, wait, wait+waitExtra)
	}
	if f.due(now) {
		f.looking = true
		f.call(whole, false, 0, lookLimit)
	}
}

func (f *looker) due(now time.Duration) bool {
	rule := Rule{f.e.w.rules.bound}
	switch {
	case f.looking:
		return false
	case f.failed > 0:
		return now >= f.retry
	case f.lost:
		return true
	}
	c, ok := f.e.book.Known(int64(f.e.revision))
	if !ok || now-c.At < rule.First() {
		return !ok
	}
	heard := f.e.heard()
	return now-c.At >= rule.Due(Rank(f.e.id.Name, heard, c.Mark), len(heard)+1)
}

func (f *looker) call(ask int, waits bool, wait, limit time.Duration) *call {
	e, sent, since := f.e, f.e.w.now, f.since
	var c *call
	c = e.w.ask(e, ask, wait, limit, func(a answer) {
		if !waits || c == f.waiting {
			f.take(a, waits, since, sent)
			f.send()
		}
	})
	return c
}

// restart gives up the call that waits and sends the next one after a pause.
func (f *looker) restart(pause time.Duration) {
	if f.waiting != nil {
		f.waiting.over = true
	}
	f.waiting, f.next = nil, f.e.w.now+pause
}

func (f *looker) take(a answer, waits bool, since int, sent time.Duration) {
	if waits {
		f.restart(0)
	} else {
		f.looking = false
	}
	if a.failed {
		if sent >= f.well {
			f.bad()
		}
		return
	}
	if a.history {
		f.good(sent)
		if since == f.since {
			f.lost = true
			f.restart(0)
		}
		return
	}
	if f.failed > 0 {
		f.restart(0)
	}
	f.good(sent)
	switch {
	case waits && since != f.since, !waits && a.revision < f.since:
		// Another answer has told more.
		return
	case a.revision > f.since:
		f.since = a.revision
		f.e.looked(a.revision, sent)
		f.restart(f.e.gather())
	case !waits:
		f.e.looked(f.since, sent)
	}
	f.lost = f.lost && waits
}
