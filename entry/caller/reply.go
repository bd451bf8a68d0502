package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"lycheepond/core/ident"
	"lycheepond/core/wire"
	"lycheepond/entry/fault"
	"lycheepond/entry/heads"
	"lycheepond/entry/sched"
)

const (
	// callerPatience is how long one write to a caller may take. A caller that
	// stops reading would hold its request's goroutine for good.
	callerPatience = 30 * time.Second
	// pieceSize is the most that one write holds, and what a caller has to send in
	// the same time: over the thinnest of lines, 1 KB a second, it takes about as
	// long as callerPatience.
	pieceSize = 32 << 10
	// deadlineEvery spares a system call for most flushes.
	deadlineEvery = time.Second
)

// reply writes one answer. It is owned by the goroutine that serves the caller.
type reply struct {
	server *Server
	w      http.ResponseWriter
	rc     *http.ResponseController
	job    *sched.Job
	// limit is when the write deadline was last moved.
	limit time.Time
	// began is when the status line was written, zero before. unread is set once
	// the caller was found not to read.
	began  time.Time
	unread bool
}

func newReply(w http.ResponseWriter, j *sched.Job, s *Server) *reply {
	return &reply{server: s, w: w, rc: http.NewResponseController(w), job: j}
}

func (r *reply) sink() *sched.Sink {
	return &sched.Sink{Head: r.head, Data: r.data, Flush: r.flush, IsStreaming: r.job.Stream}
}

func (r *reply) head(status int, header []wire.Field) {
	h := r.w.Header()
	for _, f := range header {
		name := http.CanonicalHeaderKey(f.Name)
		if !dropped[name] && !heads.PerHop(name) {
			h.Add(name, f.Value)
		}
	}
	h.Set(headerID, r.job.ID.String())
	if r.job.Stream && status < http.StatusMultipleChoices {
		h.Set("Trailer", headerOutcome)
	} else {
		// An answer that is not streamed is passed on only when it is whole.
		h.Set(headerOutcome, "complete")
	}
	r.began = time.Now()
	r.server.last(r.w)
	r.extend()
	r.w.WriteHeader(status)
}

// data writes a part of the answer. What is more than the server's buffer goes
// out at once, so the deadline of an earlier write must not stand by then; and a
// large answer is written in pieces, as its size says nothing of whether the
// caller reads.
func (r *reply) data(b []byte) {
	for piece := range slices.Chunk(b, pieceSize) {
		r.extend()
		if _, err := r.w.Write(piece); err != nil {
			r.failed(err)
			return
		}
	}
}

func (r *reply) flush() {
	r.extend()
	r.failed(r.rc.Flush())
}

// failed takes in the error of a write. Callers that hang up end their request by
// themselves; one that does not read is given up by this entry.
func (r *reply) failed(err error) {
	if !r.unread && errors.Is(err, os.ErrDeadlineExceeded) {
		r.unread = true
		r.server.unread(r)
	}
}

func (r *reply) extend() {
	if now := time.Now(); now.Sub(r.limit) > deadlineEvery {
		r.limit = now
		r.rc.SetWriteDeadline(now.Add(callerPatience))
	}
}

// close writes what the answer's end demands.
func (r *reply) close(res *sched.Result) {
	// The server writes what it holds back after the handler's return, and takes
	// the deadline away itself then.
	r.limit = time.Time{}
	r.extend()
	switch {
	case r.began.IsZero() && res.Fault != nil:
		r.server.last(r.w)
		writeFault(r.w, r.job.ID, res.Fault)
	case res.Fault != nil:
		r.w.Write([]byte("event: error\ndata: "))
		r.w.Write(faultBody(r.job.ID, res.Fault))
		r.w.Write([]byte("\n\n"))
		r.w.Header().Set(headerOutcome, res.Outcome.String())
	case r.job.Stream:
		r.w.Header().Set(headerOutcome, res.Outcome.String())
	}
}

type faultJSON struct {
	Error struct {
		Type         fault.Kind `json:"type"`
		Message      string     `json:"message"`
		Outcome      string     `json:"outcome"`
		RequestID    string     `json:"request_id"`
		RetryAfterMS int64      `json:"retry_after_ms,omitempty"`
	} `json:"error"`
}

func faultBody(id ident.ID, e *fault.Error) []byte {
	var f faultJSON
	f.Error.Type, f.Error.Message = e.Kind(), e.Error()
	f.Error.Outcome, f.Error.RequestID = e.Outcome().String(), id.String()
	f.Error.RetryAfterMS = e.RetryAfter().Milliseconds()
	b, _ := json.Marshal(f)
	return b
}

func writeFault(w http.ResponseWriter, id ident.ID, e *fault.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerID, id.String())
	h.Set(headerOutcome, e.Outcome().String())
	if d := e.RetryAfter(); d > 0 {
		h.Set(headerRetry, strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(e.Status())
	w.Write(append(faultBody(id, e), '\n'))
}
