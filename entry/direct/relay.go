package direct

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"lycheepond/core/trust"
	"lycheepond/entry/hop"
)

const (
	// relayBuffer is what is read at once of a stream.
	relayBuffer = 8 << 10
	// maxEvent bounds an event that is held until it is whole.
	maxEvent = 1 << 20
	// pauses is how many of the longest pauses that are in time a resumable
	// stream may be silent before it goes on at another endpoint.
	pauses = 2.5
	// shortestSilence bounds the same from below.
	shortestSilence = time.Second
)

// relay passes a stream on, whole events only, as they arrive.
func (t *task) relay(a *hop.Answer, v *visit, w *watch) verdict {
	if !t.begun {
		t.begun = true
		t.sink.Head(a.Status, a.Header, a.Length)
		t.sink.Flush()
	}
	buf, silence := make([]byte, relayBuffer), t.silence(v)
	var part []byte
	for {
		// The time that the caller takes is none of the endpoint's silence.
		w.wait(silence, false)
		n, err := a.Read(buf)
		w.came()
		good := err == nil || err == io.EOF
		if w.settle(good) {
			// The next try was sent for what comes behind the last event passed on.
			if good {
				err = w.why
			}
			return t.brokeOff(v, err)
		}
		if n > 0 {
			part = append(part, buf[:n]...)
			if err == nil && a.Buffered() && len(part) < relayBuffer {
				continue
			}
		}
		rest, werr := t.forward(part, v, err == io.EOF)
		part = append(part[:0], rest...)
		if werr != nil {
			v.abandon()
			return t.untaken(werr)
		}
		switch {
		case err == nil && len(part) <= maxEvent:
			continue
		case err == io.EOF:
			v.completed()
			v.end(trust.Success)
			return done(Complete, "")
		}
		return t.brokeOff(v, err)
	}
}

// silence is how long the stream may pause before it is resumed at another
// endpoint that has room; zero if it may not be.
func (t *task) silence(v *visit) time.Duration {
	r := t.job.Route
	if !r.Resumable || !t.replaceable(v) {
		return 0
	}
	return max(time.Duration(pauses*float64(r.MaxPause)), shortestSilence)
}

func (t *task) brokeOff(v *visit, err error) verdict {
	switch {
	case t.caller.Err() != nil:
		v.abandon()
		return verdict{done: true, res: gone(t.caller)}
	case t.ctx.Err() != nil:
		v.outOfTime()
		return done(Broken, "time is up")
	}
	v.end(trust.Broken)
	what := "answer broke off"
	if t.job.Route.Stream {
		what = "stream broke off"
	}
	why := broken(what, err)
	if err == nil {
		why = fmt.Sprintf("event longer than %d bytes", maxEvent)
	}
	return verdict{arrived: true, ran: true, res: Result{Why: why}}
}

// forward writes the whole events of part and returns the rest. The end of a
// whole stream is written as it is.
func (t *task) forward(part []byte, v *visit, whole bool) ([]byte, error) {
	n := len(part)
	if !whole {
		n = bytes.LastIndex(part, eventEnd) + len(eventEnd)
		if n < len(eventEnd) {
			return part, nil
		}
	}
	if n == 0 {
		return nil, nil
	}
	events := t.seen(part[:n])
	tokens := events * max(t.job.Pool.EventTokens, 1)
	t.passed += tokens
	v.progress(tokens)
	if err := t.sink.Write(part[:n]); err != nil {
		return nil, err
	}
	return part[n:], t.sink.Flush()
}

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// seen counts the events of part and keeps the ID of the last.
func (t *task) seen(part []byte) int {
	n := 0
	for len(part) > 0 {
		line, rest, _ := bytes.Cut(part, []byte("\n"))
		part = rest
		if id, ok := bytes.CutPrefix(line, eventID); ok {
			t.lastEvent = string(bytes.TrimSpace(id))
			n++
		}
	}
	return n
}
