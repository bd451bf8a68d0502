package direct

import (
	"bytes"
	"fmt"
	"io"
	"time"

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

// relayStream forwards a stream as it arrives, in whole events only.
func (t *task) relayStream(answer *hop.Answer, a *attempt, w *watchdog) attemptResult {
	if !t.headSent {
		t.headSent = true
		t.sink.Head(answer.Status, answer.Header, answer.Length)
		t.sink.Flush()
	}
	buf, silence := make([]byte, relayReadBytes), t.silenceBound(a)
	var part []byte
	for {
		// The time that the caller takes does not count as the endpoint's silence.
		w.startWait(silence, false)
		n, err := answer.Read(buf)
		w.endWait()
		readOK := err == nil || err == io.EOF
		if w.resolve(readOK) {
			// The replacement was sent to resume after the last forwarded event.
			if readOK {
				err = w.silence
			}
			return t.handleBrokenAnswer(a, err)
		}
		if n > 0 {
			part = append(part, buf[:n]...)
			if err == nil && answer.Buffered() && len(part) < relayReadBytes {
				continue
			}
		}
		if err == io.EOF {
			a.placement.UnfinishedBytes = len(part) - wholeEvents(part)
		}
		rest, werr := t.forwardEvents(part, a, err == io.EOF)
		part = append(part[:0], rest...)
		if werr != nil {
			a.abandon()
			return t.writeErrorResult(werr)
		}
		switch {
		case err == nil && len(part) <= maxEventBytes:
			continue
		case err == io.EOF:
			a.recordCompletion()
			a.finish(health.Success)
			return finalResult(Complete, "")
		}
		return t.handleBrokenAnswer(a, err)
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
// the attempt. err is nil if an event of the stream was too long.
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
	reason := breakReason(what, err)
	if err == nil {
		reason = fmt.Sprintf("event longer than %d bytes", maxEventBytes)
	}
	return attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: reason}}
}

// forwardEvents writes the complete events of part and returns the rest. At the end of a whole
// stream it writes all of part.
func (t *task) forwardEvents(part []byte, a *attempt, atEnd bool) ([]byte, error) {
	n := len(part)
	if !atEnd {
		n = wholeEvents(part)
	}
	if n == 0 {
		return part, nil
	}
	events := t.countEvents(part[:n])
	tokens := events * max(t.job.Pool.EventTokens, 1)
	t.sentTokens += tokens
	a.recordProgress(tokens)
	if err := t.sink.Write(part[:n]); err != nil {
		return nil, err
	}
	return part[n:], t.sink.Flush()
}

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// wholeEvents returns the length of the whole events at the start of part.
func wholeEvents(part []byte) int {
	if n := bytes.LastIndex(part, eventEnd); n >= 0 {
		return n + len(eventEnd)
	}
	return 0
}

// countEvents counts the events of part and keeps the ID of the last one.
func (t *task) countEvents(part []byte) int {
	n := 0
	for len(part) > 0 {
		line, rest, _ := bytes.Cut(part, []byte("\n"))
		part = rest
		if id, ok := bytes.CutPrefix(line, eventID); ok {
			t.lastEventID = string(bytes.TrimSpace(id))
			n++
		}
	}
	return n
}
