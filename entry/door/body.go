package door

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"lycheepond/core/route"
	"lycheepond/entry/direct"
)

const (
	// bodyIdleTimeout is how long a caller may send nothing of the body. No connection pauses
	// for that long because of lost packets.
	bodyIdleTimeout = 15 * time.Second
	// minBodyTime is the shortest time for which a body is read, even if the request has less
	// time left. Most bodies arrive together with the head, and package direct then refuses
	// the request because its time is too short.
	minBodyTime = time.Second
	// defaultMaxBodyBytes bounds a body in bytes if the operator sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// smallBodyBytes is the size up to which a body is read regardless of the memory in use.
	// Such a body costs no more than the head of the request.
	smallBodyBytes = 16 << 10
	// memoryRetryAfter is the delay after which a caller should retry if too many bodies are
	// held. Most bodies are sent on within about ten milliseconds.
	memoryRetryAfter = 200 * time.Millisecond
)

// errBodyMemory reports that the bodies of all requests take too much memory.
var errBodyMemory = errors.New("door: too many large bodies at once: send the request again a moment later")

// meteredBody counts the bytes read of a body towards the total of all bodies held. Otherwise
// large bodies that arrive together could exhaust the memory of the process and end it
// together with all other requests. Bytes are counted as they arrive, because bodies sent in
// chunks do not state their size.
type meteredBody struct {
	io.ReadCloser
	// totalHeld is the number of bytes held of the bodies of all requests, limit the most it
	// may be.
	totalHeld *atomic.Int64
	limit     int64
	// ownBytes is this body's part of totalHeld.
	ownBytes int64
}

// Read reads the body and fails if too much is held. A small body is read in any case.
func (m *meteredBody) Read(p []byte) (int, error) {
	if m.ownBytes > smallBodyBytes && m.totalHeld.Load() > m.limit {
		return 0, errBodyMemory
	}
	n, err := m.ReadCloser.Read(p)
	m.ownBytes += int64(n)
	m.totalHeld.Add(int64(n))
	return n, err
}

// release subtracts the body from the total.
func (m *meteredBody) release() { m.totalHeld.Add(-m.ownBytes) }

// maxBodyBytes returns the operator's limit of a body in bytes, or the default.
func maxBodyBytes(t *route.Table) int64 {
	if limit := t.Config().Limits.BodyBytes; limit > 0 {
		return int64(limit)
	}
	return defaultMaxBodyBytes
}

// idleTimeoutReader reads a body for as long as its caller sends and the request lasts. It
// limits the time between two parts instead of the total time, because a large body that its
// caller still sends may take long.
type idleTimeoutReader struct {
	body io.Reader
	rc   *http.ResponseController
	// deadline is when the request ends, so that its body is not needed any more.
	deadline time.Time
	// ctx is the context of the request.
	ctx context.Context
}

// Read implements io.Reader.
func (r *idleTimeoutReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(bodyIdleTimeout)
	if r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	r.rc.SetReadDeadline(deadline)
	// The cancellation may have set its deadline before this one.
	if isEnding(r.ctx) {
		return 0, direct.ErrEnding
	}
	return r.body.Read(p)
}

// isEnding reports whether the requests that remain are being ended.
func isEnding(ctx context.Context) bool { return errors.Is(context.Cause(ctx), direct.ErrEnding) }

// readBody reads the body of a request into j. It returns a refusal if the body could not be
// read to its end.
func readBody(w http.ResponseWriter, r *http.Request, t *route.Table, j *direct.Job) *Refusal {
	body := &idleTimeoutReader{body: http.MaxBytesReader(w, r.Body, maxBodyBytes(t)), rc: http.NewResponseController(w), deadline: j.End(), ctx: r.Context()}
	defer context.AfterFunc(r.Context(), func() {
		if isEnding(r.Context()) {
			body.rc.SetReadDeadline(time.Now())
		}
	})()
	if earliest := time.Now().Add(minBodyTime); body.deadline.Before(earliest) {
		body.deadline = earliest
	}
	var err error
	j.Body, err = io.ReadAll(body)
	if err == nil {
		body.rc.SetReadDeadline(time.Time{})
		return nil
	}
	// The rest of the body may never arrive. The answer must not wait for it, and the read
	// deadline stays in force for what the server still reads before it closes the connection.
	w.Header().Set("Connection", "close")
	if isEnding(r.Context()) {
		return leavingRefusal()
	}
	return bodyRefusal(err)
}

// bodyRefusal returns the refusal for a body that could not be read to its end.
func bodyRefusal(err error) *Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory):
		return &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: memoryRetryAfter, Reason: "no memory for the body"}
	case errors.As(err, &tooLarge):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Refusal{Status: http.StatusRequestTimeout, Reason: "body not sent in time"}
	}
	return &Refusal{Status: http.StatusBadRequest, Reason: "body not whole"}
}
