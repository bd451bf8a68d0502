// Package plain simulates a plain service. It answers every call with a
// description of the call and keeps a record of all calls.
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

// Config configures a Service.
type Config struct {
	Name string
	// CallTime is the time that a call takes.
	CallTime time.Duration
	// Slots is the maximum number of concurrent calls. Further calls wait.
	Slots int
}

// DefaultSlots is the number of slots if Config.Slots is not positive.
const DefaultSlots = 8

// Echo is the answer to a call. ID is the call's X-Request-Id.
type Echo struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Digest is the SHA-256 of the body in hexadecimal digits.
	Digest string `json:"digest"`
	ID     string `json:"id"`
}

// Record is the record of a call that the service ran.
type Record struct {
	ID string `json:"id"`
	// Kind is the HTTP method.
	Kind string `json:"kind"`
	// Key is the idempotency key.
	Key string `json:"key"`
	// PromptDigest is the SHA-256 of the body in hexadecimal digits.
	PromptDigest string `json:"prompt_digest"`
	// StartedMS is the start of the call in milliseconds after the start of the
	// service.
	StartedMS int64 `json:"started_ms"`
	Finished  bool  `json:"finished"`
	Cancelled bool  `json:"cancelled"`
}

// Fault is the set of faults that are injected now. The zero value means none.
type Fault struct {
	// Delay is added to the time that every call takes.
	Delay spec.Duration `json:"delay"`
	// TruncateNext is the number of upcoming calls whose answers are truncated.
	TruncateNext int `json:"truncate_next"`
	// Freeze holds calls back before they are answered.
	Freeze bool `json:"freeze"`
}

// Service is the simulated service. Its methods may be called from any goroutine.
type Service struct {
	cfg   Config
	start time.Time
	// slots holds an element for each running call.
	slots chan struct{}
	// waiting is the number of calls that wait for a slot.
	waiting atomic.Int64

	mu      sync.Mutex
	records []*Record
	fault   Fault
	// unfrozen is closed when the current freeze ends; nil if the service is not
	// frozen.
	unfrozen chan struct{}
}

// New returns a service that has run no calls.
func New(cfg Config) *Service {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	return &Service{cfg: cfg, start: time.Now(), slots: make(chan struct{}, cfg.Slots)}
}

// Handler returns the service's HTTP API.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /load", s.showLoad)
	m.HandleFunc("GET /record", s.showRecords)
	m.HandleFunc("POST /admin/fault", s.setFault)
	m.HandleFunc("/", s.call)
	return m
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	hash := sha256.New()
	if _, err := io.Copy(hash, r.Body); err != nil {
		return
	}
	digest := hex.EncodeToString(hash.Sum(nil))
	rec, f := s.startRecord(r, digest)
	s.waiting.Add(1)
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	// The call runs to its end even if the caller closes the connection, like a
	// service that doesn't check its connection while it works.
	time.Sleep(s.cfg.CallTime + f.Delay.Std())
	<-s.slots
	s.waitUnfrozen()
	s.finishRecord(rec)
	echo := Echo{Service: s.cfg.Name, Method: r.Method, Path: r.URL.Path, Digest: digest, ID: r.Header.Get("X-Request-Id")}
	if f.TruncateNext > 0 {
		w.Header().Set("Content-Length", "4096")
		serve.WriteJSON(w, http.StatusOK, echo)
		panic(http.ErrAbortHandler)
	}
	serve.WriteJSON(w, http.StatusOK, echo)
}

// startRecord adds a record of the call and returns the faults that apply to it.
func (s *Service) startRecord(r *http.Request, digest string) (*Record, Fault) {
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

// finishRecord marks the call as finished.
func (s *Service) finishRecord(rec *Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec.Finished = true
}

// waitUnfrozen waits while the service is frozen.
func (s *Service) waitUnfrozen() {
	s.mu.Lock()
	ch := s.unfrozen
	s.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

func (s *Service) showLoad(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, struct {
		Running int64 `json:"running"`
		Waiting int64 `json:"waiting"`
	}{int64(len(s.slots)), s.waiting.Load()})
}

// Records returns a copy of the records in the order in which calls started.
func (s *Service) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		out = append(out, *r)
	}
	return out
}

func (s *Service) showRecords(w http.ResponseWriter, _ *http.Request) {
	enc := json.NewEncoder(w)
	for _, r := range s.Records() {
		if enc.Encode(r) != nil {
			return
		}
	}
}

func (s *Service) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !serve.ReadJSON(w, r, &f) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	if f.Freeze && s.unfrozen == nil {
		s.unfrozen = make(chan struct{})
	}
	if !f.Freeze && s.unfrozen != nil {
		close(s.unfrozen)
		s.unfrozen = nil
	}
	serve.WriteJSON(w, http.StatusOK, f)
}
