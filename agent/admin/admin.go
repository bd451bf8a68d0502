// Package admin is the agent's side towards operators.
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

// Config is what a Server depends on.
type Config struct {
	// Token is demanded of operators; empty demands none.
	Token   string
	Metrics http.Handler
	Status  func() any
	// Ready reports whether the agent takes work.
	Ready func() bool
	// Drain begins a planned stop; it may be called again.
	Drain func(context.Context) error
	// Panicked counts handlers that panicked.
	Panicked func()
	Log      *zap.Logger
}

// Server answers operators.
type Server struct {
	cfg   Config
	token *bearer.Token
}

// New returns a Server that does nothing until Run.
func New(cfg Config) *Server { return &Server{cfg: cfg, token: bearer.New(cfg.Token)} }

// Run serves operators on ln until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler: logs.RecoverPanics(s.cfg.Log, s.cfg.Panicked, nil, s.Handler()), ReadHeaderTimeout: headerTimeout, ErrorLog: logs.ServerLogger(s.cfg.Log),
	}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	err := server.Serve(ln)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Handler returns the paths for operators.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /metrics", s.demand(s.cfg.Metrics))
	mux.Handle("GET /status", s.demand(http.HandlerFunc(s.status)))
	mux.Handle("POST /drain", s.demand(http.HandlerFunc(s.drain)))
	return mux
}

// drain answers once the stop has begun, before it is complete.
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

// demand lets only holders of the token through.
func (s *Server) demand(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.token.Allows(r) {
			http.Error(w, "operators' token missing or wrong: send Authorization: Bearer TOKEN (admin.token of the settings)", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
