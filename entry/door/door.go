// Package door is the entry's HTTP server for plain requests, which it hands to package
// direct. It reads the requests, writes the answers so that callers can detect a broken one,
// and stops without interrupting requests.
package door

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/route"
	"lycheepond/entry/direct"
	"lycheepond/entry/hdrs"
	"lycheepond/entry/kept"
)

const (
	// headerTimeout is how long a caller may take to send the headers, much longer than any
	// caller needs.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the headers. The limits that operators set are lower.
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout is how long a connection may be idle if the operator sets no limit.
	defaultIdleTimeout = 75 * time.Second
	// noConfigRetryAfter is the delay after which a caller should retry at an entry without a
	// configuration. After its start an entry reads the configuration within about ten
	// milliseconds, and takes longer only while the platform and all peers are unreachable.
	noConfigRetryAfter = 150 * time.Millisecond
	// balancerNoticeTime is how long a balancer that checks every second may take to miss two
	// answers, with a margin.
	balancerNoticeTime = 2600 * time.Millisecond
	// closeReserve is how much of the grace is reserved for ending the requests and
	// connections that remain.
	closeReserve = 700 * time.Millisecond
	// cancelGrace is the part of closeReserve in which callers get the outcome of requests
	// that have not ended. A lost packet is sent again within this time.
	cancelGrace = 400 * time.Millisecond
)

// Refusal is the answer to a request that is not accepted.
type Refusal struct {
	Status int
	// RetryAfter is the time after which to retry; zero if a retry would not help.
	RetryAfter time.Duration
	Reason     string
}

// Config holds the settings and dependencies of a Server.
type Config struct {
	// ListenAddr is the address for callers, ReadyAddr the one for the balancer's readiness check.
	ListenAddr, ReadyAddr string
	// ReadyPath is the path of the balancer's readiness check.
	ReadyPath string
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// HeadMemory is how many bytes of memory the heads of all requests may take at once.
	HeadMemory int64
	// MaxConns is how many connections of callers there may be.
	MaxConns int
	// BodyMemory is how many bytes the bodies of all requests may take at once.
	BodyMemory int64
	// RequestID returns the ID that the caller gave a request.
	RequestID func(r *http.Request) string
	// ParseHead turns the head of a request into a job without a body, or refuses the request.
	ParseHead func(r *http.Request, t *route.Table) (*direct.Job, *Refusal)
	// Table returns the configuration in force.
	Table func() *route.Table
	// HasSynced reports whether the configuration and the instance list are known.
	HasSynced func() bool
	Serve     func(ctx context.Context, j *direct.Job, s direct.Sink) direct.Result
	// BeginStop is called when a planned stop begins. Answers must be complete at end.
	BeginStop func(end time.Time)
	// RunningJobs returns how many jobs have no final answer yet.
	RunningJobs func() int
	Metrics     *meter.Set
	Log         *zap.Logger
}

// Server serves callers.
type Server struct {
	cfg Config
	// conns holds the callers' connections.
	conns    *kept.Set
	stopping atomic.Bool

	// heldBodyBytes is how many bytes of bodies are held or about to be read.
	heldBodyBytes atomic.Int64
}

// New returns a server that does nothing until Run is called.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.conns = kept.New(kept.Config{IdleBound: s.idleBound, HeadMemory: cfg.HeadMemory, MaxConns: cfg.MaxConns, Metrics: cfg.Metrics, Log: cfg.Log})
	return s
}

// Run serves until ctx ends and then stops within the grace: the balancer is informed at once,
// and running requests are served to their end.
func (s *Server) Run(ctx context.Context) error {
	ln, err := s.conns.Listen(s.cfg.ListenAddr)
	if err != nil {
		return err
	}
	readyLn, err := net.Listen("tcp", s.cfg.ReadyAddr)
	if err != nil {
		ln.Close()
		return err
	}
	return s.serveOn(ctx, ln, readyLn)
}

// serveOn serves callers on ln and the balancer on readyLn.
func (s *Server) serveOn(ctx context.Context, ln, readyLn net.Listener) error {
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	s.conns.Attach(server)
	readyServer := &http.Server{
		Handler: http.HandlerFunc(s.serveReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: defaultIdleTimeout, ErrorLog: logs.ServerLogger(s.cfg.Log),
	}
	defer server.Close()
	serveErrs := make(chan error, 2)
	go func() { serveErrs <- server.Serve(ln) }()
	go func() { serveErrs <- readyServer.Serve(readyLn) }()
	defer readyServer.Close()
	lagCtx, stopLag := context.WithCancel(context.Background())
	lagEnded := make(chan error, 1)
	go func() { lagEnded <- s.watchLag(lagCtx) }()
	defer func() {
		stopLag()
		<-lagEnded
	}()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case err := <-serveErrs:
			// Requests that have been read are still answered.
			s.stop()
			return err
		case <-tick.C:
			s.conns.CloseExpired()
		case <-ctx.Done():
			s.stop()
			return nil
		}
	}
}

// stop stops the server. It goes on accepting connections for a moment, because the balancer
// still sends some here. Each answer tells its caller to use another connection.
func (s *Server) stop() {
	start := time.Now()
	s.stopping.Store(true)
	logs.Info(s.cfg.Log, logs.EventLeaving, zap.Int("running", s.cfg.RunningJobs()))
	deadline := start.Add(s.cfg.Grace - closeReserve)
	s.cfg.BeginStop(deadline)
	time.Sleep(min(balancerNoticeTime, s.cfg.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	// http.Server.Shutdown may close a connection on which it has read a part of a request,
	// and return while that request runs.
	if err := s.conns.Drain(ctx); err != nil {
		logs.Warn(s.cfg.Log, logs.EventStopped, zap.Int("interrupted", s.cfg.RunningJobs()))
		s.cancelRemaining()
		return
	}
	logs.Info(s.cfg.Log, logs.EventStopped)
}

// cancelRemaining ends the requests that outlived the grace. A request whose answer has not
// begun is answered on its open connection, because closing the connection would tell the
// caller nothing about the outcome.
func (s *Server) cancelRemaining() {
	s.conns.Cancel(direct.ErrEnding)
	ctx, cancel := context.WithTimeout(context.Background(), cancelGrace)
	defer cancel()
	if s.conns.Drain(ctx) != nil {
		s.conns.Close(kept.GraceExpired)
	}
}

// IsStopping reports whether a planned stop has begun.
func (s *Server) IsStopping() bool { return s.stopping.Load() }

// idleBound returns how long a connection may be idle. The value changes with the operator's
// configuration, which the fixed IdleTimeout of a server cannot follow.
func (s *Server) idleBound() time.Duration {
	if limit := s.cfg.Table().Config().Limits.IdleTime; limit > 0 {
		return limit
	}
	return defaultIdleTimeout
}

// serveReady answers the balancer's readiness check. An entry without a configuration or an
// instance list would refuse every request.
func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != s.cfg.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.IsStopping() || !s.cfg.HasSynced() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// leavingRefusal returns the refusal of a request that another entry can serve instead.
func leavingRefusal() *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: direct.StoppingRetryAfter, Reason: "leaving"}
}

// serve reads one request, and serves or refuses it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if !s.conns.Admit(r) {
		panic(http.ErrAbortHandler)
	}
	acceptedAt := time.Now()
	a := s.newAnswer(w, r, acceptedAt)
	defer func() {
		if v := recover(); v != nil {
			a.handlePanic(v)
		}
	}()
	t := s.cfg.Table()
	if s.conns.ArrivedDuringStop(r) {
		a.refuse(leavingRefusal())
		return
	}
	if !s.cfg.HasSynced() {
		// Without a configuration the entry can't tell whether a route or key exists, so it
		// must not refuse them as unknown.
		a.refuse(&Refusal{Status: http.StatusServiceUnavailable, RetryAfter: noConfigRetryAfter, Reason: "no configuration yet"})
		return
	}
	if limit := t.Config().Limits.HeaderBytes; limit > 0 && hdrs.Size(r.Header) > limit {
		a.refuse(&Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "headers too large"})
		return
	}
	j, refusal := s.cfg.ParseHead(r, t)
	if refusal != nil {
		a.refuse(refusal)
		return
	}
	j.AcceptedAt = acceptedAt
	if j.Deadline.IsZero() {
		j.Deadline = acceptedAt.Add(j.Route.Timeout)
	}
	body := &meteredBody{ReadCloser: r.Body, totalHeld: &s.heldBodyBytes, limit: s.cfg.BodyMemory}
	r.Body = body
	defer body.release()
	refusal = readBody(w, r, t, j)
	a.bodyRead = true
	if refusal != nil {
		a.refuse(refusal)
		return
	}
	a.serve(j)
}
