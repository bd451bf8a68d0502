package simapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"lycheepond/core/plat"
	"lycheepond/trial/serve"
)

// maxObjectBytes is the size limit of an object's JSON in bytes.
const maxObjectBytes = 1 << 20

// Stats counts API calls by kind.
type Stats struct {
	Get       int64 `json:"get"`
	List      int64 `json:"list"`
	Put       int64 `json:"put"`
	Delete    int64 `json:"delete"`
	Watch     int64 `json:"watch"`
	Instances int64 `json:"instances"`
	Weights   int64 `json:"weights"`
	// Conflicts is the number of writes whose expected version was wrong.
	Conflicts int64 `json:"conflicts"`
	// Refused is the number of calls answered with 503 because of Fault.Down.
	Refused int64 `json:"refused"`
	// Waiting is the number of long polls that are waiting now.
	Waiting int64 `json:"waiting"`
}

// Total returns the number of calls by the system under test. A long poll
// counts as one call, however long it waits.
func (s Stats) Total() int64 {
	return s.Get + s.List + s.Put + s.Delete + s.Watch + s.Instances + s.Weights
}

// Since returns the calls counted between the snapshots from and s. Its Waiting
// is that of s.
func (s Stats) Since(from Stats) Stats {
	return Stats{
		Get: s.Get - from.Get, List: s.List - from.List, Put: s.Put - from.Put, Delete: s.Delete - from.Delete,
		Watch: s.Watch - from.Watch, Instances: s.Instances - from.Instances, Weights: s.Weights - from.Weights,
		Conflicts: s.Conflicts - from.Conflicts, Refused: s.Refused - from.Refused, Waiting: s.Waiting,
	}
}

// conflictAnswer is the body of a 409 answer to a conditional write. Current is
// the object's version.
type conflictAnswer struct {
	Current int64 `json:"current"`
}

// guard wraps h with the token check and the Slow and Down faults, which apply
// to every call.
func (p *Platform) guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.cfg.Token != "" && r.Header.Get("Authorization") != "Bearer "+p.cfg.Token {
			http.Error(w, "wrong token", http.StatusUnauthorized)
			return
		}
		p.mu.Lock()
		f := p.fault
		p.mu.Unlock()
		if !serve.Sleep(r.Context(), f.Slow.Std()) {
			return
		}
		if f.Down {
			p.refuse(w)
			return
		}
		h(w, r)
	}
}

// refuse answers 503 and counts the call as refused.
func (p *Platform) refuse(w http.ResponseWriter) {
	p.updateStats(func(s *Stats) { s.Refused++ })
	http.Error(w, "platform is out", http.StatusServiceUnavailable)
}

// updateStats updates the statistics under mu.
func (p *Platform) updateStats(f func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.stats)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.stats.List++
	b := p.listObjects(r.PathValue("kind"))
	p.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, b)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.stats.Get++
	t, _ := p.visibleObjects()
	o, ok := t[r.PathValue("kind")][r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	serve.WriteJSON(w, http.StatusOK, o)
}

// parseExpectedVersion returns the version in the If-Match header, which the
// object must have for the write to take effect, or AnyVersion without that
// header. If the header is invalid, it answers 400 and returns false.
func parseExpectedVersion(w http.ResponseWriter, r *http.Request) (int64, bool) {
	tag := r.Header.Get("If-Match")
	if tag == "" {
		return AnyVersion, true
	}
	if s, err := strconv.Unquote(tag); err == nil {
		tag = s
	}
	version, err := strconv.ParseInt(tag, 10, 64)
	if err != nil || version < 0 {
		http.Error(w, "If-Match holds no version", http.StatusBadRequest)
		return 0, false
	}
	return version, true
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	p.updateStats(func(s *Stats) { s.Put++ })
	data, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes+1))
	if err != nil {
		return
	}
	if len(data) > maxObjectBytes {
		http.Error(w, "object over 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(data) {
		http.Error(w, "body is not JSON", http.StatusBadRequest)
		return
	}
	expectedVersion, ok := parseExpectedVersion(w, r)
	if !ok {
		return
	}
	o, ok := p.Put(r.PathValue("kind"), r.PathValue("name"), data, expectedVersion)
	if !ok {
		serve.WriteJSON(w, http.StatusConflict, conflictAnswer{Current: o.Version})
		return
	}
	if p.consumeLostReply() {
		panic(http.ErrAbortHandler)
	}
	serve.WriteJSON(w, http.StatusOK, o)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.updateStats(func(s *Stats) { s.Delete++ })
	expectedVersion, ok := parseExpectedVersion(w, r)
	if !ok {
		return
	}
	version, ok := p.Delete(r.PathValue("kind"), r.PathValue("name"), expectedVersion)
	switch {
	case !ok && version == 0:
		http.NotFound(w, r)
	case !ok:
		serve.WriteJSON(w, http.StatusConflict, conflictAnswer{Current: version})
	case p.consumeLostReply():
		panic(http.ErrAbortHandler)
	default:
		serve.WriteJSON(w, http.StatusOK, plat.Batch{Version: version})
	}
}

// consumeLostReply reports whether the reply to the current write must be
// dropped. If so, it decrements Fault.LoseReplies.
func (p *Platform) consumeLostReply() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.LoseReplies <= 0 {
		return false
	}
	p.fault.LoseReplies--
	return true
}

// Waiting time of a long poll without a wait parameter, and its upper limit.
const (
	defaultPollWait = 30 * time.Second
	maxPollWait     = time.Minute
)

// parsePoll parses the parameters of a long poll: the version after which it
// waits for changes, and the time at which it must be answered. If a parameter is
// invalid, it answers 400 and returns false.
func parsePoll(w http.ResponseWriter, r *http.Request) (after int64, until time.Time, ok bool) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if q.Get("after") != "" && err != nil {
		http.Error(w, "after is no version", http.StatusBadRequest)
		return 0, until, false
	}
	wait := defaultPollWait
	if s := q.Get("wait"); s != "" {
		if wait, err = time.ParseDuration(s); err != nil {
			http.Error(w, "wait is no duration", http.StatusBadRequest)
			return 0, until, false
		}
	}
	return after, time.Now().Add(min(wait, maxPollWait)), true
}
