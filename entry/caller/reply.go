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
	"lycheepond/entry/hdrs"
	"lycheepond/entry/sched"
)

const (
	// callerTimeout is how long one write to a caller may take. A caller that stops
	// reading would otherwise block its request's goroutine for good.
	callerTimeout = 30 * time.Second
	// maxPieceBytes is the largest single write in bytes, and the number of bytes
	// that a caller must send within callerTimeout. A connection of 1 KB a second
	// carries about that much in that time.
	maxPieceBytes = 32 << 10
	// deadlineInterval is the shortest time between two updates of the write
	// deadline. It saves a system call at most flushes.
	deadlineInterval = time.Second
)

// reply writes one answer. The goroutine that serves the caller owns it.
type reply struct {
	server *Server
	w      http.ResponseWriter
	rc     *http.ResponseController
	job    *sched.Job
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
	// startedAt is when the status line was written, zero before that.
	startedAt time.Time
	// isUnread is set once a write has timed out because the caller doesn't read.
	isUnread bool
}

func newReply(w http.ResponseWriter, j *sched.Job, s *Server) *reply {
	return &reply{server: s, w: w, rc: http.NewResponseController(w), job: j}
}

func (r *reply) sink() *sched.Sink {
	return &sched.Sink{Head: r.writeHead, Data: r.writeData, Flush: r.flush, IsStreaming: r.job.Stream}
}

// writeHead writes the status and the headers of the endpoint's answer.
func (r *reply) writeHead(status int, header []wire.Field) {
	h := r.w.Header()
	for _, f := range header {
		name := http.CanonicalHeaderKey(f.Name)
		if !droppedHeaders[name] && !hdrs.IsHopByHop(name) {
			h.Add(name, f.Value)
		}
	}
	h.Set(headerID, r.job.ID.String())
	if r.job.Stream && status < http.StatusMultipleChoices {
		h.Set("Trailer", headerOutcome)
	} else {
		// An answer that is not streamed is sent only when it is complete.
		h.Set(headerOutcome, "complete")
	}
	r.startedAt = time.Now()
	r.server.closeIfLeaving(r.w)
	r.extendDeadline()
	r.w.WriteHeader(status)
}

// writeData writes a part of the answer. The server sends what exceeds its buffer
// at once, so the deadline of an earlier write must be extended first. A large
// answer is written in pieces with a deadline each, because one deadline for all of
// it would cut off a slow caller that is still reading.
func (r *reply) writeData(b []byte) {
	for piece := range slices.Chunk(b, maxPieceBytes) {
		r.extendDeadline()
		if _, err := r.w.Write(piece); err != nil {
			r.checkError(err)
			return
		}
	}
}

func (r *reply) flush() {
	r.extendDeadline()
	r.checkError(r.rc.Flush())
}

// checkError handles the error of a write. A caller that hangs up ends its request
// itself; the answer to one that doesn't read is abandoned here.
func (r *reply) checkError(err error) {
	if !r.isUnread && errors.Is(err, os.ErrDeadlineExceeded) {
		r.isUnread = true
		r.server.reportUnread(r)
	}
}

// extendDeadline gives the next write callerTimeout, unless the deadline was set
// within deadlineInterval.
func (r *reply) extendDeadline() {
	if now := time.Now(); now.Sub(r.deadlineSetAt) > deadlineInterval {
		r.deadlineSetAt = now
		r.rc.SetWriteDeadline(now.Add(callerTimeout))
	}
}

// close writes the end of the answer: the error, if there is one, and the outcome.
func (r *reply) close(res *sched.Result) {
	// The server writes its buffer after the handler has returned, and then removes
	// the deadline itself.
	r.deadlineSetAt = time.Time{}
	r.extendDeadline()
	switch {
	case r.startedAt.IsZero() && res.Fault != nil:
		r.server.closeIfLeaving(r.w)
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

// faultJSON is the body of an answer that reports a fault.
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

// writeFault writes a whole answer that reports a fault.
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
