package direct

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"sync"
	"time"

	"lycheepond/core/events"
	"lycheepond/core/health"
	"lycheepond/entry/hop"
)

const (
	// relayReadBytes is how many bytes of a stream are read at once.
	relayReadBytes = 8 << 10
	// maxEventBytes bounds an event of a stream, which is buffered until it is complete.
	maxEventBytes = 1 << 20
	// maxPauseMultiple limits the silence of a resumable stream: after this multiple of the
	// route's MaxPause it is resumed at another endpoint.
	maxPauseMultiple = 2.5
	// minSilenceBound is the shortest silence after which a stream is resumed at another
	// endpoint.
	minSilenceBound = time.Second
)

// errInsideEvent reports that a stream has ended inside an event, in order or with its
// connection. The rest of the event will never come.
var errInsideEvent = errors.New("the stream ended inside an event")

// errLongEvent reports that an event of a stream is longer than maxEventBytes, or than what the
// memory of all answers leaves to it.
var errLongEvent = errors.New("an event of the stream is too long to be held")

// isEventStream reports whether the body of an answer is a stream of events. Endpoints that state
// no type are assumed to answer a stream's route as they should.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err != nil || mediaType == "text/event-stream"
}

// relayStream forwards a stream as it arrives, in whole events only.
func (t *task) relayStream(answer *hop.Answer, a *attempt, w *watchdog) attemptResult {
	if !t.headSent {
		t.headSent = true
		length := answer.Length
		if t.job.Route.Resumable {
			// The rest may come from another endpoint, whose events may have other lengths.
			length = -1
		}
		t.sink.Head(answer.Status, answer.Header, length)
		t.sink.Flush()
	}
	buf, silence := make([]byte, relayReadBytes), t.silenceBound(a)
	part := &eventBuffer{budget: t.d.answerMemory, share: a.memoryShare(t.job.Tier)}
	defer part.release()
	stopAbort := sync.OnceFunc(t.abortAtEnd())
	defer stopAbort()
	for {
		// The time that the caller takes does not count as the endpoint's silence.
		w.startWait(silence, awaitData)
		n, err := answer.Read(buf)
		w.endWait()
		a.received += int64(n)
		readOK := err == nil || err == io.EOF
		if w.resolve(readOK) {
			// The replacement was sent to resume after the last forwarded event.
			if readOK {
				err = w.silence
			}
			return t.handleBrokenAnswer(a, err)
		}
		if !part.append(buf[:n]) {
			return t.handleBrokenAnswer(a, errLongEvent)
		}
		if n > 0 && err == nil && answer.Buffered() && len(part.bytes) < relayReadBytes {
			continue
		}
		rest, werr := t.forwardEvents(part.bytes, a)
		part.keep(rest)
		if errors.Is(werr, errOtherVersion) {
			a.abandon()
			return attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: "endpoint has another version than the one that began the stream"}}
		}
		if werr != nil {
			a.abandon()
			return t.writeErrorResult(werr)
		}
		switch err {
		case nil:
		case io.EOF:
			stopAbort()
			return t.endStream(part.bytes, a)
		default:
			return t.handleBrokenAnswer(a, err)
		}
	}
}

// silenceBound returns how long the stream may be silent before it is resumed at another
// endpoint that has room; zero if it may not be.
func (t *task) silenceBound(a *attempt) time.Duration {
	r := t.job.Route
	if !r.Resumable || !t.isReplaceable(a) {
		return 0
	}
	return max(time.Duration(maxPauseMultiple*float64(r.MaxPause)), minSilenceBound)
}

// handleBrokenAnswer records that an answer ended early, with err, and returns the result of
// the attempt.
func (t *task) handleBrokenAnswer(a *attempt, err error) attemptResult {
	switch {
	case t.caller.Err() != nil:
		a.abandon()
		return attemptResult{isFinal: true, result: callerEndResult(t.caller)}
	case t.ctx.Err() != nil:
		a.handleTimeout()
		return finalResult(Broken, "time is up")
	}
	a.finish(health.Broken)
	what := "answer broke off"
	if t.job.Route.Stream {
		what = "stream broke off"
	}
	return attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: breakReason(what, err)}}
}

// forwardEvents writes the whole events at the start of part and returns the rest.
func (t *task) forwardEvents(part []byte, a *attempt) ([]byte, error) {
	n := events.Whole(part)
	if n == 0 {
		return part, nil
	}
	if err := t.bindVersion(a); err != nil {
		return nil, err
	}
	count, lastID := events.IDs(part[:n])
	if count > 0 {
		t.lastEventID = lastID
	}
	tokens := count * max(t.job.Pool.EventTokens, 1)
	t.sentTokens += tokens
	a.recordProgress(tokens)
	if err := t.sink.Write(part[:n]); err != nil {
		return nil, err
	}
	return part[n:], t.sink.Flush()
}

// endStream ends an attempt whose stream has ended in order with rest, which follows its last
// whole event.
func (t *task) endStream(rest []byte, a *attempt) attemptResult {
	if events.IsUnfinished(rest) {
		a.placement.UnfinishedBytes = len(rest)
		return t.handleBrokenAnswer(a, errInsideEvent)
	}
	if len(rest) > 0 {
		if err := errors.Join(t.sink.Write(rest), t.sink.Flush()); err != nil {
			a.abandon()
			return t.writeErrorResult(err)
		}
	}
	a.recordCompletion(http.StatusOK, a.placement.Framing)
	a.finish(health.Success)
	return finalResult(Complete, "")
}
