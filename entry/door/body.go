package door

import (
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
	// bodyTime is how long a caller may send nothing of the body: longer than any
	// line pauses for lost packets.
	bodyTime = 15 * time.Second
	// shortBody is how long a body is read whatever time the request has left:
	// most bodies come with the head, and direct tells what the time is short for.
	shortBody = time.Second
	// defaultBody bounds the body while the operator sets no bound.
	defaultBody = 4 << 20
	// smallBody is the size up to which a body is read whatever is held: it
	// costs no more than the request's head.
	smallBody = 16 << 10
	// memoryRetry is when to come back to an entry that holds too many bodies:
	// most are sent on within some ten milliseconds.
	memoryRetry = 200 * time.Millisecond
)

// errMemory reports that the bodies of all requests take too much memory.
var errMemory = errors.New("door: too many large bodies at once: send the request again a moment later")

// meteredBody counts what is read of a body among all that are held. Large
// bodies that come together would otherwise use up the process's memory, and end
// it with every other request in it. Bodies are counted as they come: those sent
// in chunks do not tell their size.
type meteredBody struct {
	io.ReadCloser
	// held is what the bodies of all requests take, limit the most they may.
	held  *atomic.Int64
	limit int64
	// own is this body's part of held.
	own int64
}

// Read reads the body until too much is held. A small body is read in any case.
func (m *meteredBody) Read(p []byte) (int, error) {
	if m.own > smallBody && m.held.Load() > m.limit {
		return 0, errMemory
	}
	n, err := m.ReadCloser.Read(p)
	m.own += int64(n)
	m.held.Add(int64(n))
	return n, err
}

// release takes the body out of the count.
func (m *meteredBody) release() { m.held.Add(-m.own) }

func bodyLimit(t *route.Table) int64 {
	if limit := t.Config().Limits.BodyBytes; limit > 0 {
		return int64(limit)
	}
	return defaultBody
}

// patient reads a body for as long as its caller sends and the request lasts. The
// size of a body says nothing of whether the caller still sends, so what is bounded
// is the silence between two parts.
type patient struct {
	body io.Reader
	rc   *http.ResponseController
	// end is when nobody waits for the body any more.
	end time.Time
}

// Read implements io.Reader.
func (p *patient) Read(b []byte) (int, error) {
	until := time.Now().Add(bodyTime)
	if p.end.Before(until) {
		until = p.end
	}
	p.rc.SetReadDeadline(until)
	return p.body.Read(b)
}

// read reads the body of a request.
func read(w http.ResponseWriter, r *http.Request, t *route.Table, j *direct.Job) *Refusal {
	p := &patient{body: http.MaxBytesReader(w, r.Body, bodyLimit(t)), rc: http.NewResponseController(w), end: j.End()}
	if short := time.Now().Add(shortBody); p.end.Before(short) {
		p.end = short
	}
	var err error
	j.Body, err = io.ReadAll(p)
	if err == nil {
		p.rc.SetReadDeadline(time.Time{})
		return nil
	}
	// The rest of the body may never come: the answer must not wait for it, and the
	// deadline stays for what the server still reads before it closes.
	w.Header().Set("Connection", "close")
	return unread(err)
}

// unread says what a body that was not read to its end means.
func unread(err error) *Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errMemory):
		return &Refusal{Status: http.StatusServiceUnavailable, Retry: memoryRetry, Reason: "no memory for the body"}
	case errors.As(err, &tooLarge):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Refusal{Status: http.StatusRequestTimeout, Reason: "body not sent in time"}
	}
	return &Refusal{Status: http.StatusBadRequest, Reason: "body not whole"}
}
