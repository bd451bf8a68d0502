// Package plain is a stand-in for a plain service: it answers any call with
// what it received and keeps a record of every call that it ran.
package plain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/serve"
)

// Config describes the service.
type Config struct {
	Name string
	// Work is how long one call takes.
	Work time.Duration
	// Slots is how many calls run at once; the others wait.
	Slots int
}

// DefaultSlots is how many calls run at once unless configured.
const DefaultSlots = 8

// Echo is the answer to a call.
type Echo struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Digest is the SHA-256 of the body in hexadecimal digits.
	Digest string `json:"digest"`
	ID     string `json:"id"`
}

// Record is one call that was run.
type Record struct {
	ID           string `json:"id"`
	Kind         string `json:"kind"`
	Key          string `json:"key"`
	PromptDigest string `json:"prompt_digest"`
	StartedMS    int64  `json:"started_ms"`
	Finished     bool   `json:"finished"`
	Cancelled    bool   `json:"cancelled"`
}

// Fault is how the service misbehaves at present.
type Fault struct {
	// Delay is added to every call before it runs.
	Delay spec.Duration `json:"delay"`
	// TruncateNext is how many of the next answers break off.
	TruncateNext int `json:"truncate_next"`
	// Freeze stops calls before they answer.
	Freeze bool `json:"freeze"`
}

// Service is the stand-in.
type Service struct {
	cfg     Config
	start   time.Time
	slots   chan struct{}
	waiting atomic.Int64

	mu      sync.Mutex
	records []*Record
	fault   Fault
	// thawed is closed when a freeze ends.
	thawed chan struct{}
}

// New returns a service.
func New(cfg Config) *Service {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	return &Service{cfg: cfg, start: time.Now(), slots: make(chan struct{}, cfg.Slots)}
}

// Handler returns the service's HTTP API.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /load", s.load)
	m.HandleFunc("GET /record", s.record)
	m.HandleFunc("POST /admin/fault", s.setFault)
	m.HandleFunc("/", s.call)
	return m
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	sum := sha256.New()
	if _, err := io.Copy(sum, r.Body); err != nil {
		return
	}
	digest := hex.EncodeToString(sum.Sum(nil))
	rec, f := s.begin(r, digest)
	s.waiting.Add(1)
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	// The call runs to its end even if the caller hangs up, as a service does
	// that does not look at its connection while it works.
	time.Sleep(s.cfg.Work + f.Delay.Std())
	<-s.slots
	s.thaw()
	s.end(rec)
	echo := Echo{Service: s.cfg.Name, Method: r.Method, Path: r.URL.Path, Digest: digest, ID: r.Header.Get("X-Request-Id")}
	if f.TruncateNext > 0 {
		w.Header().Set("Content-Length", "4096")
		serve.JSON(w, http.StatusOK, echo)
		panic(http.ErrAbortHandler)
	}
	serve.JSON(w, http.StatusOK, echo)
}

// begin records the call and returns the faults that hit it.
func (s *Service) begin(r *http.Request, digest string) (*Record, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := &Record{
		ID: r.Header.Get("X-Request-Id"), Kind: r.Method, Key: r.Header.Get("Idempotency-Key"),
		PromptDigest: digest, StartedMS: time.Since(s.start).Milliseconds(),
	}
	s.records = append(s.records, rec)
	f := s.fault
	if f.TruncateNext > 0 {
		s.fault.TruncateNext--
	}
	return rec, f
}

func (s *Service) end(rec *Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec.Finished = true
}

func (s *Service) thaw() {
	s.mu.Lock()
	ch := s.thawed
	s.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, struct {
		Running int64 `json:"running"`
		Waiting int64 `json:"waiting"`
	}{int64(len(s.slots)), s.waiting.Load()})
}

// Records returns what was run, in order.
func (s *Service) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		out = append(out, *r)
	}
	return out
}

func (s *Service) record(w http.ResponseWriter, _ *http.Request) {
	enc := json.NewEncoder(w)
	for _, r := range s.Records() {
		if enc.Encode(r) != nil {
			return
		}
	}
}

func (s *Service) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !serve.Read(w, r, &f) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	if f.Freeze && s.thawed == nil {
		s.thawed = make(chan struct{})
	}
	if !f.Freeze && s.thawed != nil {
		close(s.thawed)
		s.thawed = nil
	}
	serve.JSON(w, http.StatusOK, f)
}
