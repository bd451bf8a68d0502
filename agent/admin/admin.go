// Package admin serves the agent's HTTP interface for operators: health, metrics,
// status and drain.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/bearer"
	"lycheepond/core/logs"
)

const headerTimeout = 10 * time.Second

// Config holds the dependencies of a Server.
type Config struct {
	// Token is the bearer token that operators must send; if it is empty, no
	// token is required.
	Token   string
	Metrics http.Handler
	// Status returns the value that GET /status encodes as JSON.
	Status func() any
	// Ready reports whether the agent accepts work.
	Ready func() bool
	// Drain begins a planned stop. It may be called more than once.
	Drain func(context.Context) error
	// OnPanic is called when a handler has panicked.
	OnPanic func()
	Log     *zap.Logger
}

// Server serves the operators' interface.
type Server struct {
	cfg   Config
	token *bearer.Token
}

// New returns a Server that does nothing until Run.
func New(cfg Config) *Server { return &Server{cfg: cfg, token: bearer.New(cfg.Token)} }

// Run serves requests on ln until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler: logs.RecoverPanics(s.cfg.Log, s.cfg.OnPanic, nil, s.Handler()), ReadHeaderTimeout: headerTimeout, ErrorLog: logs.ServerLogger(s.cfg.Log),
	}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	err := server.Serve(ln)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Handler returns the handler for all paths of the interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /metrics", s.requireToken(s.cfg.Metrics))
	mux.Handle("GET /status", s.requireToken(http.HandlerFunc(s.status)))
	mux.Handle("POST /drain", s.requireToken(http.HandlerFunc(s.drain)))
	return mux
}

// drain replies when the planned stop has begun, before it is complete.
func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	if err := s.cfg.Drain(r.Context()); err != nil {
		http.Error(w, "the planned stop did not begin: ask again, or send SIGTERM", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.cfg.Ready() {
		http.Error(w, "not ready: leaving, or the endpoint is away", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.cfg.Status())
}

// requireToken rejects requests without the operators' token.
func (s *Server) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.token.Allows(r) {
			http.Error(w, "operators' token missing or wrong: send Authorization: Bearer TOKEN (admin.token of the settings)", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
