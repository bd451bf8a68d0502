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
// for another one that has its place and its repeat already. While there is none
// the answer is awaited: a late one is worth more to its caller than none.
type watch struct {
	t      *task
	v      *visit
	cancel context.CancelCauseFunc
	// ran and sends are the task's, this try included.
	ran, sends int

	mu    sync.Mutex
	timer *time.Timer
	// armed is set while something is waited for that may be given up. head tells
	// what, since from when on and bound for how long at most; output is how many
	// tokens were still expected then.
	armed, head bool
	since       time.Time
	bound       time.Duration
	output      int
	// looked is set while the timer has gone off once and nothing was asked yet, and
	// silent once it was: the endpoint had sent nothing at the second look.
	looked, silent bool
	// kept is set once the log tells that the try was late and went on.
	kept bool
	// next is the try that replaces this one, which is cancelled then.
	next *visit
}

func (t *task) watch(v *visit, cancel context.CancelCauseFunc) *watch {
	return &watch{t: t, v: v, cancel: cancel, ran: t.ran + 1, sends: t.sends}
}

// wait begins a wait for the endpoint; a bound of zero means to its end.
func (w *watch) wait(bound time.Duration, head bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since, w.bound, w.head = time.Now(), bound, head
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
	w.armed = false
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
	if lack := w.t.lacks(w.ran, w.sends); lack != "" {
		return nil, lack
	}
	return w.t.d.reserve(w.t.job, w.v, how, false)
}

// replace cancels the try for the next one, or goes on waiting if there is none.
// It returns false if the wait that began at since is over. From then on the try
// is awaited no more, so nothing that still comes of it is passed on twice: what
// the caller has got decides where the next one goes on.
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
	w.armed, w.next = false, next
	w.cancel(why)
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
