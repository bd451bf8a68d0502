package direct

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/trust"
	"lycheepond/entry/hop"
)

// besideFor is how long a late try is still read beside the next one. Endpoints
// that decline or are gone tell so within a round trip; one that takes the job
// must not share it with another for long: both would work for one answer.
const besideFor = 200 * time.Millisecond

// exchange is the exchange of a try up to the head of its answer.
type exchange struct {
	t      *task
	v      *visit
	ctx    context.Context
	cancel context.CancelCauseFunc
	// done is closed once a and err are set, of a try that is sent beside another.
	done chan struct{}
	a    *hop.Answer
	err  error
}

func (t *task) exchange(v *visit) *exchange {
	x := &exchange{t: t, v: v, done: make(chan struct{})}
	x.ctx, x.cancel = context.WithCancelCause(t.ctx)
	return x
}

// answer returns the head of the answer: of its own exchange, or of the one that
// was begun beside another try.
func (x *exchange) answer() (*hop.Answer, error) {
	if x.v.exchange == nil {
		return x.t.ask(x.ctx, x.v)
	}
	<-x.done
	return x.a, x.err
}

// drop ends the exchange, waits for its end and reports whether the endpoint may
// have got the job.
func (x *exchange) drop() (arrived bool) {
	x.cancel(nil)
	<-x.done
	if x.a != nil {
		x.a.Close()
	}
	return !unsent(x.err)
}

func unsent(err error) bool { return errors.Is(err, hop.ErrBusy) || errors.Is(err, hop.ErrNotSent) }

// begin starts what sends next tries, if there may be any.
func (w *watch) begin() {
	if w.t.replaceable(w.v) {
		go w.send()
		return
	}
	close(w.ended)
}

// send sends the tries that come in the place of this one, until end. The last may
// outlast it: whoever has that try then waits for it.
func (w *watch) send() {
	defer close(w.ended)
	for x := range w.exchanges {
		over := time.AfterFunc(besideFor, func() { w.take(x) })
		x.a, x.err = w.t.ask(x.ctx, x.v)
		if x.err == nil && w.t.good(x.a) {
			w.take(x)
		}
		over.Stop()
		w.decline(x)
		close(x.done)
	}
}

// take ends this try for the next one, if that is still in its place.
func (w *watch) take(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != x.v || w.taken {
		return
	}
	w.taken = true
	w.cancel(w.why)
}

// decline goes on with this try if the next one has failed and has not taken its
// place.
func (w *watch) decline(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != x.v || w.taken {
		return
	}
	w.drop(x.v, w.t.declined(x))
	x.cancel(nil)
	if w.waiting {
		w.armed = true
		w.timer.Reset(askAgain)
	}
}

// drop takes the next try out of this one's place; w.mu is held.
func (w *watch) drop(next *visit, got verdict) {
	w.next = nil
	w.sends++
	if got.ran {
		w.ran++
	}
	if !got.arrived {
		w.t.d.unspend(next)
	}
	logs.Info(w.t.d.cfg.Log, logs.EventRequestReturned, zap.String("request_id", w.t.job.ID), zap.String("why", got.res.Why), zap.Stringer("fingerprint", w.t.job.fingerprint),
		zap.String("from", next.id), zap.String("to", w.v.id), zap.Duration("silent", time.Since(w.since)), zap.Duration("bound", w.bound))
}

// settle decides, at the end of a wait, between this try and the next: good is set
// if the wait brought something to pass on. It returns true if the next one has
// this one's place; otherwise the next one has ended.
func (w *watch) settle(good bool) bool {
	w.mu.Lock()
	next := w.next
	if next == nil || w.taken || !good {
		w.taken = next != nil
		w.mu.Unlock()
		return next != nil
	}
	w.next = nil
	w.mu.Unlock()
	arrived := next.exchange.drop()
	next.abandon()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drop(next, verdict{arrived: arrived, ran: arrived, res: Result{Why: "the late endpoint went on"}})
	return false
}

// end ends the sending of next tries. It waits for its goroutine unless that is at
// the try which has this one's place.
func (w *watch) end() {
	close(w.exchanges)
	if w.replaced() == nil {
		<-w.ended
	}
}

// good reports whether an answer may be passed on.
func (t *task) good(a *hop.Answer) bool {
	m := t.d.cfg.Read(a)
	switch {
	case m.NotRun || m.WrongEndpoint || promises(a.Status) || a.Status >= http.StatusInternalServerError:
		return false
	case t.begun && a.Status != http.StatusOK:
		return false
	}
	return m.Signed || a.Status >= http.StatusMultipleChoices
}

// declined says what an exchange means that brought no answer to pass on.
func (t *task) declined(x *exchange) verdict {
	if x.err != nil {
		got := t.unanswered(x.v, x.err)
		got.arrived = !unsent(x.err)
		got.ran = got.arrived
		return got
	}
	defer x.a.Close()
	m := t.d.cfg.Read(x.a)
	x.v.head(m)
	if m.NotRun || m.WrongEndpoint {
		if m.WrongEndpoint {
			x.v.misplaced()
		} else {
			x.v.declined(m.Load)
		}
		return verdict{arrived: true, res: Result{Why: "endpoint did not run it"}}
	}
	how := trust.Broken
	if x.a.Status >= http.StatusInternalServerError {
		how = trust.ServerError
	}
	x.v.end(how)
	return verdict{arrived: true, ran: true, res: Result{Why: fmt.Sprintf("endpoint answered with status %d", x.a.Status)}}
}
