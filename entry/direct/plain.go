package direct

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/health"
	"lycheepond/core/logs"
	"lycheepond/core/route"
	"lycheepond/entry/hop"
)

// longReadBytes is how many bytes of an answer that is not buffered are read at once: a few packets.
const longReadBytes = 32 << 10

// sendWholeAnswer forwards an answer once it is complete, so that a broken one can still be
// replaced or reported as broken. An answer that is too long to be held is forwarded as it arrives.
func (t *task) sendWholeAnswer(answer *hop.Answer, a *attempt, w *watchdog) attemptResult {
	body := newAnswerBuffer(t.d.answerMemory, a.memoryShare(t.job.Tier), answer.Length)
	defer body.release()
	mayForward := !impliesNotRun(answer.Status)
	if mayForward && !body.fits(answer.Length) {
		return t.sendLongAnswer(answer, a, body)
	}
	isFull, err := t.readBody(body, answer, a, w)
	if replaced, got := t.resolveBody(a, w, isFull, err); replaced {
		return got
	}
	if isFull && mayForward {
		return t.sendLongAnswer(answer, a, body)
	}
	if isFull || err != nil {
		if t.ctx.Err() != nil {
			a.handleTimeout()
			return attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: "time is up"}}
		}
		a.finish(health.Broken)
		return attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: breakReason("answer broke off", err)}}
	}
	a.recordAnswer(answer)
	if !mayForward {
		// These statuses promise that nothing ran, but the endpoint has not said so.
		return attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: "endpoint refused without saying that it did not run"}}
	}
	t.sink.Head(answer.Status, answer.Header, body.size())
	if err := errors.Join(body.writeTo(t.sink.Write), t.sink.Flush()); err != nil {
		return t.writeErrorResult(err)
	}
	return finalResult(Complete, "")
}

// readBody reads an answer into body, to its end or until no more may be held. The wait for the
// rest of the answer is bounded as the wait for its head is. If the length is not stated, the bound
// is for all of the rest, as an endless body may never be silent.
func (t *task) readBody(body *answerBuffer, answer *hop.Answer, a *attempt, w *watchdog) (isFull bool, err error) {
	if answer.Length >= 0 {
		isFull, err = body.readFrom(watchedReader{answer, w, t.headTimeout(a)})
	} else {
		w.startWait(t.headTimeout(a), awaitEnd)
		isFull, err = body.readFrom(answer)
		w.endWait()
	}
	a.received = body.size()
	return isFull, err
}

// watchedReader reads an answer. Each read is a wait of the watchdog with the bound.
type watchedReader struct {
	r     io.Reader
	w     *watchdog
	bound time.Duration
}

// Read implements io.Reader.
func (r watchedReader) Read(p []byte) (int, error) {
	r.w.startWait(r.bound, awaitData)
	defer r.w.endWait()
	return r.r.Read(p)
}

// resolveBody decides, once no more of the body is read, whether another attempt takes the place
// of a, and returns the result of a in that case. Apart from an attempt that is late already, one is
// replaced that has filled the buffer and seems endless, if another endpoint has room.
func (t *task) resolveBody(a *attempt, w *watchdog, isFull bool, err error) (bool, attemptResult) {
	isEndless := isFull && a.seemsEndless()
	if w.resolve(err == nil && !isEndless) {
		if t.ctx.Err() == nil {
			a.finish(health.Broken)
		}
		return true, attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: w.silence.Error()}}
	}
	if !isEndless || t.headTimeout(a) <= 0 {
		return false, attemptResult{}
	}
	next, _ := w.reserveReplacement(placementOptions{avoidID: a.id, outputTokens: t.remainingOutput(), entryShare: 1, needsRoom: true})
	if next == nil {
		return false, attemptResult{}
	}
	a.finish(health.Broken)
	return true, attemptResult{wasReceived: true, mayHaveRun: true, next: next, result: Result{Reason: "answer seems endless"}}
}

// sendLongAnswer forwards an answer that can't be held until it is complete: first what was read of
// it, nil if nothing was, then the rest as it arrives. The bounds limit memory, not the length of answers.
// From here on a broken answer can't be replaced.
func (t *task) sendLongAnswer(answer *hop.Answer, a *attempt, first *answerBuffer) attemptResult {
	t.headSent = true
	stopAbort := sync.OnceFunc(t.abortAtEnd())
	defer stopAbort()
	t.sink.Head(answer.Status, answer.Header, answer.Length)
	var werr error
	if first != nil {
		t.d.logUnbuffered(t.job, a, answer, first)
		werr = first.writeTo(t.sink.Write)
	}
	buf := make([]byte, longReadBytes)
	for werr == nil {
		start := time.Now()
		n, err := answer.Read(buf)
		a.placement.Silence = time.Since(start)
		a.received += int64(n)
		werr = t.sink.Write(buf[:n])
		if werr != nil || err == nil {
			continue
		}
		if err != io.EOF {
			return t.handleBrokenLongAnswer(a, err)
		}
		stopAbort()
		a.recordAnswer(answer)
		if werr = t.sink.Flush(); werr == nil {
			return finalResult(Complete, "")
		}
	}
	return t.writeErrorResult(werr)
}

// logUnbuffered records that an answer is forwarded as it arrives, because it can't be held.
// first holds what was read of it.
func (d *Director) logUnbuffered(j *Job, a *attempt, answer *hop.Answer, first *answerBuffer) {
	d.cfg.Metrics.Counter("answers_unbuffered").Inc(1)
	logs.Info(d.cfg.Log, logs.EventAnswerUnbuffered, zap.String("request_id", j.ID), zap.String("endpoint", a.id), zap.Int64("length", answer.Length),
		zap.Int64("buffered", first.size()), zap.Int64("all_buffered", d.answerMemory.Held()))
}

// memoryShare returns by how much the memory that an answer of a tier may take is scaled.
func (a *attempt) memoryShare(t route.Tier) float64 {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	return 1 / float64(1+a.pool.tierRank(t))
}

// handleBrokenLongAnswer is like handleBrokenAnswer, but its result is always final.
func (t *task) handleBrokenLongAnswer(a *attempt, err error) attemptResult {
	got := t.handleBrokenAnswer(a, err)
	if got.isFinal {
		return got
	}
	return finalResult(Broken, got.result.Reason)
}

// recordAnswer records a complete answer for the endpoint.
func (a *attempt) recordAnswer(answer *hop.Answer) {
	if !impliesNotRun(answer.Status) && answer.Status != http.StatusGatewayTimeout {
		a.recordCompletion(answer.Status, answer.Framing)
	}
	if answer.Status >= http.StatusInternalServerError {
		a.finish(health.ServerError)
		return
	}
	a.finish(health.Success)
}
