// Package admin serves the entry's operators over HTTP: its status, its metrics and
// explanations of its decisions.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/bearer"
	"lycheepond/core/ident"
	"lycheepond/core/logs"
	"lycheepond/core/report"
)

// Config holds the settings and callbacks of a Server.
type Config struct {
	// Listen is the address to listen at. If it is empty, operators are not served.
	Listen string
	// Token is the token that operators must send; if empty, none is required.
	Token string
	// Metrics serves GET /metrics. Status returns the answer to GET /status, and
	// Explain the answer to GET /explain/{id}, or false if the request isn't known.
	Metrics http.Handler
	Status  func() report.Entry
	Explain func(ident.ID) (report.Request, bool)
	// OnPanic counts handlers that panicked.
	OnPanic func()
	Log     *zap.Logger
}

// Server serves operators.
type Server struct {
	cfg   Config
	token *bearer.Token
}

// New returns a Server that does nothing before Run is called.
func New(cfg Config) *Server { return &Server{cfg: cfg, token: bearer.New(cfg.Token)} }

// Run serves operators until ctx ends. Without an address to listen at, it only
// waits until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	if s.cfg.Listen == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	ln, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: logs.RecoverPanics(s.cfg.Log, s.cfg.OnPanic, nil, s.Handler()), ReadHeaderTimeout: 10 * time.Second, ErrorLog: logs.ServerLogger(s.cfg.Log),
	}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	err = server.Serve(ln)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Handler returns the handler of all paths for operators. It requires the token.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /explain/{id}", s.explain)
	mux.Handle("GET /metrics", s.cfg.Metrics)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.token.Allows(r) {
			writeError(w, http.StatusUnauthorized, "missing or wrong operator token: send the entry's admin.token as Authorization: Bearer TOKEN")
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.cfg.Status()) }

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	id, err := ident.Parse(r.PathValue("id"))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e, ok := s.cfg.Explain(id)
	if !ok {
		writeError(w, http.StatusNotFound, "this entry has no record of the request: ask the entry that answered it, soon enough")
		return
	}
	writeJSON(w, e)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.Encode(v)
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(struct {
		Error string `json:"error"`
	}{message})
}
