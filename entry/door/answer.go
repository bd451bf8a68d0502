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
	"lycheepond/entry/hdrs"
)

const (
	// writeGrace is how long after its deadline a caller may still read.
	writeGrace = time.Second
	// minWriteTime is the shortest time that a caller gets to read a refusal or the end of an
	// answer. Both fit the send buffer, so writing them blocks only if the caller reads
	// nothing.
	minWriteTime = 2 * time.Second
	// maxDiscardBytes is how much of an unread body is read in order to keep the connection:
	// as much as net/http reads after an answer.
	maxDiscardBytes = 256 << 10
)

// answer is the answer to one request. It belongs to the goroutine of the request.
type answer struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	rc     *http.ResponseController
	// startedAt is when the writing of the answer began; zero before the head.
	startedAt time.Time
	// deadline is when the caller must have read the answer.
	deadline time.Time
	// bodyRead is set once the body was read, either to its end or until a read deadline that
	// stays in force.
	bodyRead bool
	// endsWithConn is set if the answer ends with its connection: it has no length, and the
	// caller's version of HTTP has no chunks.
	endsWithConn bool
	// loggedNotRead is set once the log says that the caller did not read the answer.
	loggedNotRead bool
}

// newAnswer returns the answer to a request. Until its job is known, the request may only be
// refused.
func (s *Server) newAnswer(w http.ResponseWriter, r *http.Request, acceptedAt time.Time) *answer {
	a := &answer{server: s, w: w, r: r, rc: http.NewResponseController(w)}
	a.setDeadline(acceptedAt.Add(minWriteTime))
	return a
}

// setDeadline sets the write deadline. It stays in force until the end of the request, because
// the server writes the end of the answer after the handler has returned.
func (a *answer) setDeadline(t time.Time) {
	a.deadline = t
	a.rc.SetWriteDeadline(t)
}

// serve serves a job and writes its result.
func (a *answer) serve(j *direct.Job) {
	a.setDeadline(j.End().Add(writeGrace))
	res := a.server.cfg.Serve(a.r.Context(), j, direct.Sink{Head: a.writeHead, Write: a.write, Flush: a.flush, Abort: a.abort})
	refusal := &Refusal{RetryAfter: res.RetryAfter, Reason: res.Reason}
	if !res.RefusedUntilRetry {
		refusal.RetryAfter = min(res.RetryAfter, max(time.Until(j.Deadline)/3, 0))
	}
	switch res.Outcome {
	case direct.Complete:
		a.finish()
		return
	case direct.Broken, direct.CallerLeft, direct.ClosedByEntry:
		// Closing the connection without the end of the body is the only way to tell the
		// caller that its answer is incomplete.
		panic(http.ErrAbortHandler)
	case direct.Limited:
		refusal.Status = http.StatusTooManyRequests
	case direct.Refused, direct.Quarantined:
		refusal.Status = http.StatusServiceUnavailable
	case direct.TimedOut:
		refusal.Status = http.StatusGatewayTimeout
	default:
		refusal.Status = http.StatusBadGateway
	}
	a.writeRefusal(refusal)
}

func (a *answer) writeHead(status int, h http.Header, length int64) {
	a.startedAt = time.Now()
	copyHeader(a.w.Header(), h)
	a.announceClose()
	if length >= 0 {
		a.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	} else if !a.r.ProtoAtLeast(1, 1) {
		a.endsWithConn = true
		a.server.conns.ResetOnClose(a.r, true)
	}
	a.w.WriteHeader(status)
}

// announceClose tells the caller to use another connection if a planned stop has begun,
// possibly while the request was served: this connection is closed after the answer.
func (a *answer) announceClose() {
	if a.server.IsStopping() {
		a.w.Header().Set("Connection", "close")
	}
}

func (a *answer) write(p []byte) error {
	_, err := a.w.Write(p)
	a.logNotRead(err)
	return err
}

func (a *answer) flush() error {
	err := a.rc.Flush()
	a.logNotRead(err)
	return err
}

// abort ends the writing of the answer. It may be called from any goroutine while the request is
// served.
func (a *answer) abort() { a.rc.SetWriteDeadline(time.Now()) }

// finish flushes the answer to find out whether the caller reads it. It does not flush an
// answer without a length, because the server may still set one. It extends the deadline to
// give the caller time to read even if the process was paused.
func (a *answer) finish() {
	if t := time.Now().Add(minWriteTime); t.After(a.deadline) {
		a.setDeadline(t)
	}
	if a.w.Header().Get("Content-Length") != "" || a.endsWithConn {
		a.logNotRead(a.rc.Flush())
	}
	if a.endsWithConn {
		a.server.conns.ResetOnClose(a.r, false)
	}
}

// logNotRead records in the log and the metrics that the caller did not read in time, if that
// caused err.
func (a *answer) logNotRead(err error) {
	if a.loggedNotRead || !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	a.loggedNotRead = true
	s := a.server
	s.cfg.Metrics.Counter("answers_not_taken").Inc(1)
	logs.Warn(s.cfg.Log, logs.EventAnswerNotRead, zap.String("request_id", s.cfg.RequestID(a.r)), zap.Duration("took", time.Since(a.startedAt)),
		zap.Time("deadline", a.deadline), zap.String("caller", a.r.RemoteAddr))
}

// refuse answers a request that is not accepted, and logs it.
func (a *answer) refuse(refusal *Refusal) {
	s := a.server
	logs.Info(s.cfg.Log, logs.EventRequestRefused, zap.String("request_id", s.cfg.RequestID(a.r)), zap.Int("status", refusal.Status), zap.String("why", refusal.Reason),
		zap.String("host", a.r.Host), zap.Int64("config", s.cfg.Table().Revision()))
	a.writeRefusal(refusal)
}

func (a *answer) writeRefusal(refusal *Refusal) {
	a.announceClose()
	a.discardBody()
	a.startedAt = time.Now()
	if refusal.RetryAfter > 0 {
		a.w.Header().Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	a.w.Header().Set("Content-Length", "0")
	a.w.WriteHeader(refusal.Status)
	a.finish()
}

// discardBody reads the rest of a small body, or has the connection closed after the answer.
// Otherwise the server would read the rest before it writes the head, without a time limit,
// while the caller's time to read the answer runs out.
func (a *answer) discardBody() {
	if a.bodyRead || a.r.ContentLength == 0 {
		return
	}
	// The deadline stays in force for what the server still reads before it closes the
	// connection.
	a.rc.SetReadDeadline(time.Now().Add(bodyIdleTimeout))
	if a.w.Header().Get("Connection") != "" {
		return
	}
	if a.r.ContentLength <= maxDiscardBytes && a.r.Header.Get("Expect") == "" {
		if _, err := io.CopyN(io.Discard, a.r.Body, maxDiscardBytes); err == io.EOF {
			a.rc.SetReadDeadline(time.Time{})
			return
		}
	}
	a.w.Header().Set("Connection", "close")
}

// handlePanic answers a request whose handler panicked with v. If the answer has begun, it
// aborts the connection instead.
func (a *answer) handlePanic(v any) {
	if v == http.ErrAbortHandler {
		panic(v)
	}
	s := a.server
	s.cfg.Metrics.Counter("handlers_panicked").Inc(1)
	logs.LogPanic(s.cfg.Log, v, zap.String("request_id", s.cfg.RequestID(a.r)))
	if !a.startedAt.IsZero() {
		panic(http.ErrAbortHandler)
	}
	a.writeRefusal(&Refusal{Status: http.StatusBadGateway, Reason: "fault of the program"})
}

// copyHeader copies an endpoint's headers, except the hop-by-hop ones, to the answer.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !hdrs.IsHopByHop(name) {
			dst[name] = values
		}
	}
	if src.Get("Content-Type") == "" {
		// The server would guess a type.
		dst["Content-Type"] = nil
	}
}
