package direct

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/meter"
)

// askAgain is how often it is asked anew whether a late try can be replaced.
// Room and repeats come up as other requests end, each some ten milliseconds; a
// tenth of usual targets is soon enough, and each question costs a placement.
const askAgain = 100 * time.Millisecond

// lookAgain is how long after its timer went off a try is looked at once more. A
// process that goes on after a stop has read all its streams within some
// milliseconds; a fiftieth of the shortest silence costs a silent one little.
const lookAgain = 20 * time.Millisecond

// watch gives a try up when its endpoint has sent nothing for too long, and only
// for another one that has its place and its repeat already and has not declined.
// While there is none the answer is awaited: a late one is worth more to its
// caller than none.
type watch struct {
	t      *task
	v      *visit
	cancel context.CancelCauseFunc
	// exchanges carries the next tries to the goroutine that sends them; ended is
	// closed at its end.
	exchanges chan *exchange
	ended     chan struct{}

	mu    sync.Mutex
	timer *time.Timer
	// ran and sends are the task's, this try and those beside it included.
	ran, sends int
	// armed is set while something is waited for that may be given up. head tells
	// what, since from when on and bound for how long at most; output is how many
	// tokens were still expected then.
	armed, head bool
	since       time.Time
	bound       time.Duration
	output      int
	// waiting is set from wait to came.
	waiting bool
	// looked is set while the timer has gone off once and nothing was asked yet, and
	// silent once it was: the endpoint had sent nothing at the second look.
	looked, silent bool
	// kept is set once the log tells that the try was late and went on.
	kept bool
	// next is the try in this one's place. It may still be dropped until taken is
	// set, for why; from then on nothing of this one is passed on.
	next  *visit
	taken bool
	why   *lateError
}

func (t *task) watch(v *visit, cancel context.CancelCauseFunc) *watch {
	return &watch{
		t: t, v: v, cancel: cancel, ran: t.ran + 1, sends: t.sends,
		exchanges: make(chan *exchange, 1), ended: make(chan struct{}),
	}
}

// wait begins a wait for the endpoint; a bound of zero means to its end.
func (w *watch) wait(bound time.Duration, head bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since, w.bound, w.head, w.waiting = time.Now(), bound, head, true
	w.looked, w.silent = false, false
	if bound <= 0 || w.next != nil {
		return
	}
	w.armed, w.output = true, w.t.output()
	if w.timer == nil {
		w.timer = time.AfterFunc(bound, w.late)
		return
	}
	w.timer.Reset(bound)
}

// came ends a wait, whatever came of it.
func (w *watch) came() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed, w.waiting = false, false
	if w.timer != nil {
		w.timer.Stop()
	}
	w.v.basis.Silent, w.v.basis.Bound = time.Since(w.since), w.bound
	w.v.silent = w.silent
}

// replaced returns the try that replaces this one, nil if none does.
func (w *watch) replaced() *visit {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.next
}

// late is called when the endpoint has sent nothing for the bound.
func (w *watch) late() {
	since, output, due := w.due()
	if !due {
		return
	}
	next, lack := w.another(trial{avoid: w.v.id, output: output, part: 1, room: true})
	if !w.replace(since, next, lack) && next != nil {
		// What was waited for has come meanwhile.
		w.t.d.giveBack(next)
	}
}

// due reports whether it is to be asked for another try, for the wait that began
// at since. After a stop of the process the timer goes off before the bytes are
// read that came meanwhile, so it takes a second look with still nothing there.
func (w *watch) due() (since time.Time, output int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.armed || time.Since(w.since) < w.bound {
		return w.since, w.output, false
	}
	w.looked = !w.looked
	if w.looked {
		w.timer.Reset(lookAgain)
		return w.since, w.output, false
	}
	w.silent = true
	return w.since, w.output, true
}

// another returns a try that may replace this one, or what it lacks.
func (w *watch) another(how trial) (*visit, string) {
	w.mu.Lock()
	ran, sends := w.ran, w.sends
	w.mu.Unlock()
	if lack := w.t.lacks(ran, sends); lack != "" {
		return nil, lack
	}
	return w.t.d.reserve(w.t.job, w.v, how, false)
}

// replace has the next try sent beside this one, or goes on waiting if there is
// none. It returns false if the wait that began at since is over.
func (w *watch) replace(since time.Time, next *visit, lack string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.armed || !w.since.Equal(since) {
		return false
	}
	why := &lateError{head: w.head, bound: w.bound}
	if next == nil {
		w.timer.Reset(askAgain)
		w.note(why, lack)
		return true
	}
	w.armed, w.next, w.why = false, next, why
	next.exchange = w.t.exchange(next)
	w.exchanges <- next.exchange
	return true
}

// note writes once that a late try goes on for want of another; w.mu is held.
func (w *watch) note(why *lateError, lack string) {
	if w.kept {
		return
	}
	w.kept = true
	d := w.t.d
	d.cfg.Metrics.Counter("tries_awaited", meter.Label{Key: "why", Value: kindOf(why)}).Inc(1)
	logs.Info(d.cfg.Log, logs.EventAnswerLate, zap.String("request_id", w.t.job.ID), zap.String("endpoint", w.v.id),
		zap.String("why", why.Error()), zap.String("lacks", lack))
}
