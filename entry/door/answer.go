package door

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/entry/direct"
	"lycheepond/entry/heads"
)

const (
	// writeExtra is how long a caller may take to read after its deadline.
	writeExtra = time.Second
	// lastTime is how long a caller may at least take to read a refusal or the
	// last of an answer. They fit the send buffer, so that they wait only for a
	// caller who reads nothing.
	lastTime = 2 * time.Second
	// maxRest is how much of an unread body is read for the sake of its connection:
	// as much as the standard server reads behind an answer.
	maxRest = 256 << 10
)

// answer is the answer to one request. It belongs to the request's goroutine.
type answer struct {
	door *Door
	w    http.ResponseWriter
	r    *http.Request
	rc   *http.ResponseController
	// began is when there was something to write; zero before the head.
	began time.Time
	// deadline is when the caller must have read it.
	deadline time.Time
	// read is set once the body was read, to its end or to a deadline that stays.
	read bool
	// noted is set once the log tells that the caller did not read it.
	noted bool
}

// answerTo returns the answer to a request. Until its job is known it may only
// be refused.
func (d *Door) answerTo(w http.ResponseWriter, r *http.Request, accepted time.Time) *answer {
	a := &answer{door: d, w: w, r: r, rc: http.NewResponseController(w)}
	a.until(accepted.Add(lastTime))
	return a
}

// until sets the deadline. It stays to the end of the request, since the server
// writes the last of the answer after the handler.
func (a *answer) until(t time.Time) {
	a.deadline = t
	a.rc.SetWriteDeadline(t)
}

// serve serves a job and writes what came of it.
func (a *answer) serve(j *direct.Job) {
	a.until(j.End().Add(writeExtra))
	res := a.door.cfg.Serve(a.r.Context(), j, direct.Sink{Head: a.head, Write: a.write, Flush: a.flush})
	no := &Refusal{Retry: min(res.RetryAfter, max(time.Until(j.Deadline)/3, 0)), Reason: res.Reason}
	switch res.Outcome {
	case direct.Complete:
		a.end()
		return
	case direct.Broken, direct.CallerLeft, direct.ClosedByEntry:
		// Closing the connection without the end of the body is the one way to
		// tell the caller that what it has is not whole.
		panic(http.ErrAbortHandler)
	case direct.Limited:
		no.Status = http.StatusTooManyRequests
	case direct.Refused:
		no.Status = http.StatusServiceUnavailable
	case direct.Quarantined:
		// A retry within the deadline would be refused again.
		no.Status, no.Retry = http.StatusServiceUnavailable, res.RetryAfter
	case direct.TimedOut:
		no.Status = http.StatusGatewayTimeout
	default:
		no.Status = http.StatusBadGateway
	}
	a.refusal(no)
}

func (a *answer) head(status int, h http.Header, length int64) {
	a.began = time.Now()
	copyHeader(a.w.Header(), h)
	a.farewell()
	if length >= 0 {
		a.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	a.w.WriteHeader(status)
}

// farewell tells the caller to use another connection if a planned stop has begun,
// also while the request was served: this one is closed behind the answer.
func (a *answer) farewell() {
	if a.door.Leaving() {
		a.w.Header().Set("Connection", "close")
	}
}

func (a *answer) write(p []byte) error {
	_, err := a.w.Write(p)
	a.note(err)
	return err
}

func (a *answer) flush() error {
	err := a.rc.Flush()
	a.note(err)
	return err
}

// end writes what the server holds back, to learn whether the caller takes it. An
// answer without a length is left to the server, which may still give it one. A
// process that could not run for a while owes the caller the time to read.
func (a *answer) end() {
	if t := time.Now().Add(lastTime); t.After(a.deadline) {
		a.until(t)
	}
	if a.w.Header().Get("Content-Length") != "" {
		a.note(a.rc.Flush())
	}
}

// note writes to log and metrics that the caller did not read in time.
func (a *answer) note(err error) {
	if a.noted || !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	a.noted = true
	d := a.door
	d.cfg.Metrics.Counter("answers_not_taken").Inc(1)
	logs.Warn(d.cfg.Log, logs.EventAnswerNotTaken, zap.String("request_id", d.cfg.ID(a.r)), zap.Duration("took", time.Since(a.began)),
		zap.Time("deadline", a.deadline), zap.String("caller", a.r.RemoteAddr))
}

// refuse answers a request that is not accepted.
func (a *answer) refuse(no *Refusal) {
	d := a.door
	logs.Info(d.cfg.Log, logs.EventRequestRefused, zap.String("request_id", d.cfg.ID(a.r)), zap.Int("status", no.Status), zap.String("why", no.Reason),
		zap.String("host", a.r.Host), zap.Int64("config", d.cfg.Table().Revision()))
	a.refusal(no)
}

func (a *answer) refusal(no *Refusal) {
	a.farewell()
	a.rest()
	a.began = time.Now()
	if no.Retry > 0 {
		a.w.Header().Set("Retry-After", strconv.FormatFloat(no.Retry.Seconds(), 'f', 3, 64))
	}
	a.w.Header().Set("Content-Length", "0")
	a.w.WriteHeader(no.Status)
	a.end()
}

// rest reads the rest of a small body, or lets the connection end behind the answer.
// The server would read it before it writes the head, without a bound on time and
// while the caller's time to read the answer runs.
func (a *answer) rest() {
	if a.read || a.r.ContentLength == 0 {
		return
	}
	// The deadline stays for what the server still reads before it closes.
	a.rc.SetReadDeadline(time.Now().Add(bodyTime))
	if a.w.Header().Get("Connection") != "" {
		return
	}
	if a.r.ContentLength <= maxRest && a.r.Header.Get("Expect") == "" {
		if _, err := io.CopyN(io.Discard, a.r.Body, maxRest); err == io.EOF {
			a.rc.SetReadDeadline(time.Time{})
			return
		}
	}
	a.w.Header().Set("Connection", "close")
}

// panicked answers a request whose handler panicked with v.
func (a *answer) panicked(v any) {
	if v == http.ErrAbortHandler {
		panic(v)
	}
	d := a.door
	d.cfg.Metrics.Counter("handlers_panicked").Inc(1)
	logs.Panicked(d.cfg.Log, v, zap.String("request_id", d.cfg.ID(a.r)))
	if !a.began.IsZero() {
		panic(http.ErrAbortHandler)
	}
	a.refusal(&Refusal{Status: http.StatusBadGateway, Reason: "fault of the program"})
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !heads.PerHop(name) {
			to[name] = values
		}
	}
	if from.Get("Content-Type") == "" {
		// The server would guess one.
		to["Content-Type"] = nil
	}
}
