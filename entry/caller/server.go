// Package caller is the entry's side towards callers: it checks a request,
// hands it on to be served and writes the answer.
package caller

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/ident"
	"lycheepond/core/logs"
	"lycheepond/core/once"
	"lycheepond/core/store"
	"lycheepond/entry/fault"
	"lycheepond/entry/sched"
)

// Header names of the protocol towards callers.
const (
	headerClass         = "Lychee-Class"
	headerKey           = "Idempotency-Key"
	headerNonIdempotent = "Lychee-Non-Idempotent"
	headerRepeatable    = "Lychee-Repeatable"
	headerDeadline      = "Lychee-Deadline"
	headerID            = "Lychee-Request-Id"
	headerOutcome       = "Lychee-Outcome"
	headerRetry         = "Retry-After"
)

// maxBody is the largest body of a request in bytes.
const maxBody = 4 << 20

// Config is what a Server depends on. All fields must be set.
type Config struct {
	Store *store.Store
	NewID func() ident.ID
	Serve func(context.Context, *sched.Job, *sched.Sink) sched.Result
	Now   func() time.Duration
	// Ready reports whether a configuration is in force; Leaving whether a
	// planned stop has begun.
	Ready, Leaving func() bool
	// Done hears of every request that was served or refused. job is nil when
	// the request was refused before its form was known.
	Done    func(job *sched.Job, res *sched.Result)
	Metrics http.Handler
	// Panicked counts handlers that panicked.
	Panicked func()
	// Unread counts answers that were given up because nobody read them.
	Unread func()
	Log    *zap.Logger
}

// Server answers callers.
type Server struct {
	cfg Config
	mux *http.ServeMux
	// front is mux with its panics answered.
	front  http.Handler
	limits *limits
}

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux(), limits: newLimits()}
	s.mux.HandleFunc("POST /v1/completions", s.model)
	s.mux.HandleFunc("POST /v1/chat/completions", s.model)
	s.mux.HandleFunc("GET /v1/models", s.models)
	s.mux.HandleFunc("/services/{name}", s.service)
	s.mux.HandleFunc("/services/{name}/{rest...}", s.service)
	s.mux.HandleFunc("GET /healthz", s.healthz)
	s.mux.HandleFunc("GET /readyz", s.readyz)
	s.mux.Handle("GET /metrics", cfg.Metrics)
	s.mux.HandleFunc("/", s.missing)
	s.front = logs.RecoverPanics(cfg.Log, cfg.Panicked, s.panicked, s.mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.last(w)
	s.front.ServeHTTP(w, r)
}

// last tells a caller of a leaving entry to send its next request elsewhere.
func (s *Server) last(w http.ResponseWriter) {
	if s.cfg.Leaving() {
		w.Header().Set("Connection", "close")
	}
}

// panicked answers a request whose handler panicked before its answer began.
func (s *Server) panicked(w http.ResponseWriter, _ *http.Request) {
	s.refuse(w, s.cfg.NewID(), nil, fault.New(fault.UnknownFate, "a fault of the entry ended the request, which may have run: look up its effect, and report the entry's log").With(once.Unknown))
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) }

// readyz tells the balancer whether to send callers here.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.cfg.Leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !s.cfg.Ready():
		http.Error(w, "no configuration in force", http.StatusServiceUnavailable)
	default:
		w.Write([]byte("ready\n"))
	}
}

func (s *Server) missing(w http.ResponseWriter, _ *http.Request) {
	s.refuse(w, s.cfg.NewID(), nil, fault.New(fault.NotFound, "no such path: use POST /v1/completions, POST /v1/chat/completions, GET /v1/models or /services/NAME/"))
}

// serve has a checked request served and writes its answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, j *sched.Job) {
	release, e := s.limits.enter(j.Customer, s.customerLimits(j.Customer), s.cfg.Now())
	if e != nil {
		s.refuse(w, j.ID, j, e)
		return
	}
	defer release()
	out := newReply(w, j, s)
	res := s.cfg.Serve(r.Context(), j, out.sink())
	out.close(&res)
	s.cfg.Done(j, &res)
}

// unread tells that an answer was given up.
func (s *Server) unread(r *reply) {
	s.cfg.Unread()
	logs.Warn(s.cfg.Log, logs.EventAnswerNotRead, logs.Request(r.job.ID), zap.Duration("took", time.Since(r.began)),
		zap.Duration("patience", callerPatience))
}

// refuse answers a request that is not served.
func (s *Server) refuse(w http.ResponseWriter, id ident.ID, j *sched.Job, e *fault.Error) {
	writeFault(w, id, e)
	s.cfg.Done(j, &sched.Result{Outcome: e.Outcome(), Fault: e})
}
