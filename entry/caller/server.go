// Package caller serves the callers of an entry over HTTP. It checks each request,
// passes it to the scheduler and writes the answer.
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

// Names of the headers that the entry and its callers exchange.
const (
	headerClass         = "Lychee-Class"
	headerPromptParts   = "Lychee-Prompt-Parts"
	headerKey           = "Idempotency-Key"
	headerNonIdempotent = "Lychee-Non-Idempotent"
	headerRepeatable    = "Lychee-Repeatable"
	headerDeadline      = "Lychee-Deadline"
	headerID            = "Lychee-Request-Id"
	headerOutcome       = "Lychee-Outcome"
	headerRetry         = "Retry-After"
)

// maxBodyBytes is the largest size of a request's body in bytes.
const maxBodyBytes = 4 << 20

// Config holds the settings and callbacks of a Server. All fields must be set.
type Config struct {
	Store *store.Store
	NewID func() ident.ID
	Serve func(context.Context, *sched.Job, *sched.Sink) sched.Result
	Now   func() time.Duration
	// Ready reports whether a configuration is in force, Leaving whether a planned
	// stop has begun.
	Ready, Leaving func() bool
	// OnResult is called for every request that was served or refused. job is nil
	// if the request was refused before its form was known.
	OnResult func(job *sched.Job, res *sched.Result)
	Metrics  http.Handler
	// OnPanic counts handlers that panicked.
	OnPanic func()
	// OnUnread counts answers that were abandoned because the caller didn't read
	// them.
	OnUnread func()
	Log      *zap.Logger
}

// Server serves callers. It implements http.Handler.
type Server struct {
	cfg Config
	mux *http.ServeMux
	// handler is mux with recovery from panics.
	handler http.Handler
	limits  *limits
}

// New returns a Server with the given configuration.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux(), limits: newLimits()}
	s.mux.HandleFunc("POST /v1/completions", s.handleModel)
	s.mux.HandleFunc("POST /v1/chat/completions", s.handleModel)
	s.mux.HandleFunc("GET /v1/models", s.listModels)
	s.mux.HandleFunc("/services/{name}", s.handleService)
	s.mux.HandleFunc("/services/{name}/{rest...}", s.handleService)
	s.mux.HandleFunc("GET /healthz", s.healthz)
	s.mux.HandleFunc("GET /readyz", s.readyz)
	s.mux.Handle("GET /metrics", cfg.Metrics)
	s.mux.HandleFunc("/", s.notFound)
	s.handler = logs.RecoverPanics(cfg.Log, cfg.OnPanic, s.answerPanic, s.mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.closeIfLeaving(w)
	s.handler.ServeHTTP(w, r)
}

// closeIfLeaving announces the end of the connection if the entry is leaving, so
// that the caller sends its next request to another entry.
func (s *Server) closeIfLeaving(w http.ResponseWriter) {
	if s.cfg.Leaving() {
		w.Header().Set("Connection", "close")
	}
}

// answerPanic answers a request whose handler panicked before its answer began.
func (s *Server) answerPanic(w http.ResponseWriter, _ *http.Request) {
	s.refuse(w, s.cfg.NewID(), nil, fault.New(fault.UnknownOutcome, "a fault of the entry ended the request, which may have run: look up its effect, and report the entry's log").WithOutcome(once.Unknown))
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) }

// readyz reports to the load balancer whether to send callers to this entry.
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

func (s *Server) notFound(w http.ResponseWriter, _ *http.Request) {
	s.refuse(w, s.cfg.NewID(), nil, fault.New(fault.NotFound, "no such path: use POST /v1/completions, POST /v1/chat/completions, GET /v1/models or /services/NAME/"))
}

// serve serves a checked request and writes its answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, j *sched.Job) {
	release, e := s.limits.acquire(j.Customer, s.customerLimits(j.Customer), s.cfg.Now())
	if e != nil {
		s.refuse(w, j.ID, j, e)
		return
	}
	defer release()
	out := newReply(w, j, s)
	res := s.cfg.Serve(r.Context(), j, out.sink())
	out.close(&res)
	s.cfg.OnResult(j, &res)
}

// reportUnread counts and logs an answer that was abandoned.
func (s *Server) reportUnread(r *reply) {
	s.cfg.OnUnread()
	logs.Warn(s.cfg.Log, logs.EventAnswerNotRead, logs.Request(r.job.ID), zap.Duration("took", time.Since(r.startedAt)),
		zap.Duration("patience", callerTimeout))
}

// refuse answers a request that is not served.
func (s *Server) refuse(w http.ResponseWriter, id ident.ID, j *sched.Job, e *fault.Error) {
	writeFault(w, id, e)
	s.cfg.OnResult(j, &sched.Result{Outcome: e.Outcome(), Fault: e})
}
