package direct

import (
	"errors"
	"net/http"
	"time"

	"lycheepond/core/health"
	"lycheepond/entry/hop"
)

// sendRequest sends the job to the endpoint of an exchange and returns the head of the answer.
func (t *task) sendRequest(x *exchange) (*hop.Answer, error) {
	j, a := t.job, x.attempt
	r := &hop.Request{
		ID: j.ID, Method: j.Method, Target: j.Target, Host: j.Host, Header: j.Header.Clone(), Body: j.Body,
		AtMostOnce: j.Route.AtMostOnce(), MatchAnswer: func(status int, h http.Header) hop.Match { return t.d.cfg.MatchAnswer(j.ID, status, h) },
	}
	lastEventID := j.LastEventID
	if t.lastEventID != "" {
		lastEventID = t.lastEventID
	}
	prepare := func() error {
		t.d.cfg.StampHeaders(r, AttemptInfo{Endpoint: a.id, Customer: j.Customer, TimeLeft: time.Until(j.End()), LastEventID: lastEventID})
		return t.d.checkSendable(a, j, t.remainingOutput())
	}
	if err := prepare(); err != nil {
		return nil, err
	}
	r.AfterConnWait = func() error {
		t.d.endConnWait(a)
		if x.afterConnWait != nil {
			x.afterConnWait()
		}
		return prepare()
	}
	t.d.prepareConn(a, j, r)
	answer, err := t.d.cfg.Client.Do(x.ctx, a.sentAddr, r)
	if errors.Is(err, hop.ErrBusy) {
		t.d.recordNoConn(a)
	}
	if err == nil {
		t.d.observeHead(a, answer)
	}
	return answer, err
}

// awaitUsableAnswer returns the answer if it may be forwarded, and otherwise the result of the
// attempt.
func (t *task) awaitUsableAnswer(x *exchange, a *attempt, w *watchdog) (*hop.Answer, attemptResult) {
	awaitFromNow := func() { w.startWait(t.headTimeout(a), awaitHead) }
	if a.exchange == nil {
		x.afterConnWait = awaitFromNow
	}
	awaitFromNow()
	answer, err := x.awaitAnswer()
	w.endWait()
	usable := err == nil && t.isUsable(answer)
	if w.resolve(usable) && usable {
		answer.Close()
		err = w.silence
	}
	if err != nil {
		return nil, t.classifyError(a, err)
	}
	m := t.d.cfg.ReadMeta(answer)
	a.recordHead(m)
	switch {
	case m.WrongEndpoint:
		answer.Discard()
		a.handleMoved()
		return nil, attemptResult{wasReceived: true, result: Result{Reason: "another endpoint has the address"}}
	case m.NotRun:
		answer.Discard()
		a.handleDecline(m.Requests)
		return nil, attemptResult{wasReceived: true, result: Result{Reason: "endpoint did not run it"}}
	case answer.Status < 300 && !m.Signed:
		answer.Close()
		a.finish(health.Broken)
		return nil, attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: "answer without the endpoint's signature"}}
	case answer.Status >= 500:
		return t.replaceFailed(answer, a, w)
	}
	return answer, attemptResult{}
}

// replaceFailed drops an endpoint's error answer in favor of another attempt, but only if that
// attempt has its placement and its retry. Otherwise the caller would lose the endpoint's answer
// without getting anything better.
func (t *task) replaceFailed(answer *hop.Answer, a *attempt, w *watchdog) (*hop.Answer, attemptResult) {
	if t.headSent || t.job.Route.AtMostOnce() {
		return answer, attemptResult{}
	}
	next := w.currentReplacement()
	if next == nil {
		next, _ = w.reserveReplacement(placementOptions{avoidID: a.id, outputTokens: t.remainingOutput(), entryShare: 1})
	}
	if next == nil {
		return answer, attemptResult{}
	}
	answer.Discard()
	a.finish(health.ServerError)
	return nil, attemptResult{wasReceived: true, mayHaveRun: true, next: next, result: Result{Reason: "endpoint answered with an error"}}
}

// classifyError returns the result of a failed exchange and records it for the endpoint.
func (t *task) classifyError(a *attempt, err error) attemptResult {
	switch {
	case errors.Is(err, hop.ErrBusy):
		a.withdraw()
		return attemptResult{hadNoConn: true, result: Result{Reason: "no connection left to the endpoint"}}
	case errors.Is(err, errLeaving):
		a.withdraw()
		return attemptResult{result: Result{Reason: "endpoint is leaving"}}
	case errors.Is(err, errResting):
		a.withdraw()
		return attemptResult{result: Result{Reason: "endpoint rests"}}
	case errors.Is(err, errStopping):
		a.withdraw()
		return attemptResult{result: Result{Reason: errStopping.Error()}}
	case errors.Is(err, errOtherVersion):
		a.withdraw()
		return attemptResult{result: Result{Reason: "endpoint has another version than the one that began the stream"}}
	case errors.Is(err, hop.ErrNotSent):
		a.returnReservations()
		if t.ctx.Err() == nil {
			a.finish(health.Unreachable)
			a.recordRefusedConnection(err)
		}
		return attemptResult{result: Result{Reason: "endpoint accepts no connection"}}
	case t.caller.Err() != nil && t.ctx.Err() != nil:
		a.abandon()
		return attemptResult{isFinal: true, result: callerEndResult(t.caller)}
	case t.ctx.Err() != nil:
		a.handleTimeout()
		return attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: "time is up"}}
	}
	a.finish(health.Broken)
	return attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: breakReason("no answer", err)}}
}

// deliverAnswer forwards an answer. Without one it returns got, the result from
// awaitUsableAnswer.
func (t *task) deliverAnswer(answer *hop.Answer, got attemptResult, a *attempt, w *watchdog) attemptResult {
	if answer == nil {
		return got
	}
	defer answer.Close()
	a.placement.Framing = answer.Framing
	isStream := t.job.Route.Stream && answer.Status == http.StatusOK
	if isStream && isEventStream(answer.Header) {
		return t.relayStream(answer, a, w)
	}
	if t.headSent {
		a.finish(health.Broken)
		return attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: "the stream was not resumed"}}
	}
	if isStream {
		return t.sendLongAnswer(answer, a, nil)
	}
	return t.sendWholeAnswer(answer, a, w)
}

// impliesNotRun reports whether a status tells callers that a request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
