package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"lycheepond/core/trust"
	"lycheepond/entry/hop"
)

// ask writes the job and returns the head of the answer.
func (t *task) ask(ctx context.Context, v *visit) (*hop.Answer, error) {
	j := t.job
	r := &hop.Request{
		Method: j.Method, Target: j.Target, Host: j.Host, Header: j.Header.Clone(), Body: j.Body,
		Once: j.Route.AtMostOnce(), Own: func(status int, h http.Header) bool { return t.d.cfg.Own(j.ID, status, h) },
	}
	last := j.LastEvent
	if t.lastEvent != "" {
		last = t.lastEvent
	}
	t.d.cfg.Stamp(r, Order{Endpoint: v.id, Customer: j.Customer, Left: time.Until(j.End()), LastEvent: last})
	_, known := t.d.cfg.Reach()
	return t.d.cfg.Client.Do(ctx, v.addr, v.connLimit(j.Pool, known), r)
}

// send returns the answer if it is one that may be passed on.
func (t *task) send(x *exchange, v *visit, w *watch) (*hop.Answer, verdict) {
	w.wait(t.patience(v), true)
	a, err := x.answer()
	w.came()
	good := err == nil && t.good(a)
	if w.settle(good) && good {
		a.Close()
		err = w.why
	}
	if err != nil {
		return nil, t.unanswered(v, err)
	}
	m := t.d.cfg.Read(a)
	v.head(m)
	switch {
	case m.WrongEndpoint:
		io.Copy(io.Discard, io.LimitReader(a, maxPlain))
		a.Close()
		v.misplaced()
		return nil, verdict{arrived: true, res: Result{Why: "another endpoint has the address"}}
	case m.NotRun:
		io.Copy(io.Discard, io.LimitReader(a, maxPlain))
		a.Close()
		v.declined(m.Load)
		return nil, verdict{arrived: true, res: Result{Why: "endpoint did not run it"}}
	case a.Status < 300 && !m.Signed:
		a.Close()
		v.end(trust.Broken)
		return nil, verdict{arrived: true, ran: true, res: Result{Why: "answer without the endpoint's signature"}}
	case a.Status >= 500:
		return t.failed(a, v, w)
	}
	return a, verdict{}
}

// failed drops an endpoint's error for another try. The error is dropped only once
// that has its place and its repeat: else it would be lost to the caller.
func (t *task) failed(a *hop.Answer, v *visit, w *watch) (*hop.Answer, verdict) {
	if t.begun || t.job.Route.AtMostOnce() {
		return a, verdict{}
	}
	next := w.replaced()
	if next == nil {
		next, _ = w.another(trial{avoid: v.id, output: t.output(), part: 1})
	}
	if next == nil {
		return a, verdict{}
	}
	io.Copy(io.Discard, io.LimitReader(a, maxPlain))
	a.Close()
	v.end(trust.ServerError)
	return nil, verdict{arrived: true, ran: true, next: next, res: Result{Why: "endpoint answered with an error"}}
}

// unanswered says what a failed exchange means.
func (t *task) unanswered(v *visit, err error) verdict {
	switch {
	case errors.Is(err, hop.ErrBusy):
		v.withdraw()
		return verdict{res: Result{Why: "no connection left to the endpoint"}}
	case errors.Is(err, hop.ErrNotSent):
		v.unsent()
		if t.ctx.Err() == nil {
			v.end(trust.Unreachable)
			v.refused(err)
		}
		return verdict{res: Result{Why: "endpoint accepts no connection"}}
	case t.caller.Err() != nil && t.ctx.Err() != nil:
		v.abandon()
		return verdict{done: true, res: gone(t.caller)}
	case t.ctx.Err() != nil:
		v.outOfTime()
		return verdict{arrived: true, ran: true, res: Result{Why: "time is up"}}
	}
	v.end(trust.Broken)
	return verdict{arrived: true, ran: true, res: Result{Why: broken("no answer", err)}}
}

// receive passes an answer on; without one it returns what send found.
func (t *task) receive(a *hop.Answer, got verdict, v *visit, w *watch) verdict {
	if a == nil {
		return got
	}
	defer a.Close()
	if t.job.Route.Stream && a.Status == http.StatusOK {
		return t.relay(a, v, w)
	}
	if t.begun {
		v.end(trust.Broken)
		return verdict{arrived: true, ran: true, res: Result{Why: "the stream was not resumed"}}
	}
	return t.plain(a, v)
}

// promises reports whether a status tells callers that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
