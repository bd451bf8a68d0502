package direct

import (
	"errors"
	"io"
	"net/http"
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
func (t *task) sendWholeAnswer(answer *hop.Answer, a *attempt) attemptResult {
	body := newAnswerBuffer(t.d.answerMemory, a.memoryShare(t.job.Tier), answer.Length)
	defer body.release()
	mayForward := !impliesNotRun(answer.Status)
	if mayForward && !body.fits(answer.Length) {
		return t.sendLongAnswer(answer, a, body)
	}
	start := time.Now()
	isFull, err := body.readFrom(answer)
	a.received = body.size()
	a.placement.Silence, a.placement.SilenceBound = time.Since(start), 0
	if isFull && mayForward {
		return t.sendLongAnswer(answer, a, body)
	}
	if isFull || err != nil {
		if t.ctx.Err() != nil {
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

// sendLongAnswer forwards an answer that can't be held until it is complete: first what was read of
// it, if anything, then the rest as it arrives. The bounds limit memory, not the length of answers.
// From here on a broken answer can't be replaced.
func (t *task) sendLongAnswer(answer *hop.Answer, a *attempt, first *answerBuffer) attemptResult {
	t.d.logUnbuffered(t.job, a, answer, first)
	t.headSent = true
	t.sink.Head(answer.Status, answer.Header, answer.Length)
	var werr error
	if first != nil {
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
		a.recordAnswer(answer)
		if werr = t.sink.Flush(); werr == nil {
			return finalResult(Complete, "")
		}
	}
	return t.writeErrorResult(werr)
}

// logUnbuffered records that an answer is forwarded as it arrives, because it can't be held.
// first holds what was read of it, nil if it is forwarded as it arrives in any case.
func (d *Director) logUnbuffered(j *Job, a *attempt, answer *hop.Answer, first *answerBuffer) {
	if first == nil {
		return
	}
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
