package platf

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"lycheepond/core/plat"
	"lycheepond/trial/serve"
)

// maxObject is the largest object that the platform takes.
const maxObject = 1 << 20

// Stats counts calls by kind.
type Stats struct {
	Get       int64 `json:"get"`
	List      int64 `json:"list"`
	Put       int64 `json:"put"`
	Delete    int64 `json:"delete"`
	Watch     int64 `json:"watch"`
	Instances int64 `json:"instances"`
	Weights   int64 `json:"weights"`
	Conflicts int64 `json:"conflicts"`
	Refused   int64 `json:"refused"`
	// Waiting is how many watches wait at present.
	Waiting int64 `json:"waiting"`
}

// Total returns the number of calls that the system made. A waiting watch is
// one call.
func (s Stats) Total() int64 {
	return s.Get + s.List + s.Put + s.Delete + s.Watch + s.Instances + s.Weights
}

// Since returns the calls that were made after from was read.
func (s Stats) Since(from Stats) Stats {
	return Stats{
		Get: s.Get - from.Get, List: s.List - from.List, Put: s.Put - from.Put, Delete: s.Delete - from.Delete,
		Watch: s.Watch - from.Watch, Instances: s.Instances - from.Instances, Weights: s.Weights - from.Weights,
		Conflicts: s.Conflicts - from.Conflicts, Refused: s.Refused - from.Refused, Waiting: s.Waiting,
	}
}

// conflict is the body of an answer to a write whose condition did not hold.
type conflict struct {
	Current int64 `json:"current"`
}

// guard checks the token and applies the faults that concern every call.
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

func (p *Platform) refuse(w http.ResponseWriter) {
	p.count(func(s *Stats) { s.Refused++ })
	http.Error(w, "platform is out", http.StatusServiceUnavailable)
}

func (p *Platform) count(f func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.stats)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.stats.List++
	b := p.batch(r.PathValue("kind"))
	p.mu.Unlock()
	serve.JSON(w, http.StatusOK, b)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.stats.Get++
	t, _ := p.view()
	o, ok := t[r.PathValue("kind")][r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	serve.JSON(w, http.StatusOK, o)
}

// wanted reads the version that a write asks for.
func wanted(w http.ResponseWriter, r *http.Request) (int64, bool) {
	tag := r.Header.Get("If-Match")
	if tag == "" {
		return Unconditional, true
	}
	if s, err := strconv.Unquote(tag); err == nil {
		tag = s
	}
	n, err := strconv.ParseInt(tag, 10, 64)
	if err != nil || n < 0 {
		http.Error(w, "If-Match holds no version", http.StatusBadRequest)
		return 0, false
	}
	return n, true
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	p.count(func(s *Stats) { s.Put++ })
	data, err := io.ReadAll(io.LimitReader(r.Body, maxObject+1))
	if err != nil {
		return
	}
	if len(data) > maxObject {
		http.Error(w, "object over 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(data) {
		http.Error(w, "body is not JSON", http.StatusBadRequest)
		return
	}
	want, ok := wanted(w, r)
	if !ok {
		return
	}
	o, ok := p.Put(r.PathValue("kind"), r.PathValue("name"), data, want)
	if !ok {
		serve.JSON(w, http.StatusConflict, conflict{Current: o.Version})
		return
	}
	if p.losing() {
		panic(http.ErrAbortHandler)
	}
	serve.JSON(w, http.StatusOK, o)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.count(func(s *Stats) { s.Delete++ })
	want, ok := wanted(w, r)
	if !ok {
		return
	}
	version, ok := p.Delete(r.PathValue("kind"), r.PathValue("name"), want)
	switch {
	case !ok && version == 0:
		http.NotFound(w, r)
	case !ok:
		serve.JSON(w, http.StatusConflict, conflict{Current: version})
	case p.losing():
		panic(http.ErrAbortHandler)
	default:
		serve.JSON(w, http.StatusOK, plat.Batch{Version: version})
	}
}

// losing reports whether the reply to the write at hand is to be lost.
func (p *Platform) losing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.LoseReplies <= 0 {
		return false
	}
	p.fault.LoseReplies--
	return true
}

// defaultWait and maxWait bound a long poll.
const (
	defaultWait = 30 * time.Second
	maxWait     = time.Minute
)

func pollOf(w http.ResponseWriter, r *http.Request) (after int64, until time.Time, ok bool) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if q.Get("after") != "" && err != nil {
		http.Error(w, "after is no version", http.StatusBadRequest)
		return 0, until, false
	}
	wait := defaultWait
	if s := q.Get("wait"); s != "" {
		if wait, err = time.ParseDuration(s); err != nil {
			http.Error(w, "wait is no duration", http.StatusBadRequest)
			return 0, until, false
		}
	}
	return after, time.Now().Add(min(wait, maxWait)), true
}
