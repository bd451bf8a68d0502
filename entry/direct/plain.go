package direct

import (
	"errors"
	"io"
	"net/http"
	"time"

	"lycheepond/core/health"
	"lycheepond/entry/hop"
)

const (
	// maxBufferedBytes bounds how many bytes of an answer are buffered until it is complete.
	maxBufferedBytes = 16 << 20
	// longReadBytes is how many bytes of a longer answer are read at once: a few packets.
	longReadBytes = 32 << 10
)

// sendWholeAnswer forwards an answer once it is complete, so that a broken one can still be
// replaced or reported as broken. A very long one is forwarded as it arrives.
func (t *task) sendWholeAnswer(answer *hop.Answer, a *attempt) attemptResult {
	start := time.Now()
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedBytes))
	a.placement.Silence, a.placement.SilenceBound = time.Since(start), 0
	if err == nil && !answer.Complete() && !impliesNotRun(answer.Status) {
		return t.sendLongAnswer(answer, a, body)
	}
	if err != nil || !answer.Complete() {
		if t.ctx.Err() != nil {
			return attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: "time is up"}}
		}
		a.finish(health.Broken)
		return attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: breakReason("answer broke off", err)}}
	}
	a.recordAnswer(answer)
	if impliesNotRun(answer.Status) {
		// These statuses promise that nothing ran, but the endpoint has not said so.
		return attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: "endpoint refused without saying that it did not run"}}
	}
	t.sink.Head(answer.Status, answer.Header, int64(len(body)))
	if err := errors.Join(t.sink.Write(body), t.sink.Flush()); err != nil {
		return t.writeErrorResult(err)
	}
	return finalResult(Complete, "")
}

// sendLongAnswer forwards an answer that exceeds maxBufferedBytes: first the part that was
// buffered, then the rest as it arrives. The bound limits memory, not the length of answers.
// From here on a broken answer can't be replaced.
func (t *task) sendLongAnswer(answer *hop.Answer, a *attempt, first []byte) attemptResult {
	t.headSent = true
	t.sink.Head(answer.Status, answer.Header, answer.Length)
	werr := t.sink.Write(first)
	buf := make([]byte, longReadBytes)
	for werr == nil {
		start := time.Now()
		n, err := answer.Read(buf)
		a.placement.Silence = time.Since(start)
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
