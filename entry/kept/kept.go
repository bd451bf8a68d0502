// Package kept tracks the connections of a server between requests. It closes those that have
// been idle for too long, and in a planned stop those that are idle.
//
// net/http calls a connection idle until it has read the whole head of the next request.
// Closing a connection on that basis may interrupt a request that has been read in part. In
// this package, reading the first byte of a request and closing the connection exclude each
// other.
package kept

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/meter"
)

// maxHeadTime is how long a connection may hold only the beginning of a request. The server's
// own timeout for heads, which starts later, should normally end it first.
const maxHeadTime = 15 * time.Second

// Config holds the settings and dependencies of a Set.
type Config struct {
	// IdleBound returns how long a connection may be idle. The value may change between calls.
	IdleBound func() time.Duration
	// HeadMemory is how many bytes of memory the heads of all requests may take, from their first
	// bytes until their answers have ended. Beyond it a connection is closed that reads more than
	// an ordinary head. Zero means no limit.
	HeadMemory int64
	// MaxConns is how many connections the set may hold. Beyond it a new connection replaces one
	// that carries no request, or is closed if there is none. Zero means no limit.
	MaxConns int
	Metrics  *meter.Set
	Log      *zap.Logger
}

// Set holds the connections of one server. To use it, attach it to the server, have the server
// serve the listener returned by Listen, and have each handler call Admit first.
type Set struct {
	cfg Config
	// headMemory is how many bytes of memory the heads of all requests take.
	headMemory atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
	// ln is nil until Listen is called; stopping is set before Drain closes it.
	ln       *net.TCPListener
	stopping atomic.Bool
	// acceptEnded is closed, once, when the server has noticed that ln is closed.
	acceptEnded     chan struct{}
	acceptEndedOnce sync.Once
}

// New returns an empty set.
func New(cfg Config) *Set {
	return &Set{cfg: cfg, conns: make(map[*conn]struct{}), acceptEnded: make(chan struct{})}
}

// Attach makes the set follow the connections of a server and the server write to the set's
// log. The server must have no IdleTimeout and no ReadTimeout, because it would then close
// idle connections itself.
func (s *Set) Attach(server *http.Server) {
	server.ConnState = s.connState
	server.ConnContext = s.connContext
	server.ErrorLog = logs.ServerLogger(s.cfg.Log)
}

// connContext returns the context for the requests of a connection. It is cancelled with a
// *ClosedError as its cause when this process closes the connection.
func (s *Set) connContext(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*conn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(context.WithValue(ctx, connKey{}, c))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	return ctx
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connState follows the state changes that the server reports.
func (s *Set) connState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		// Only now has the handler returned, so the connection is removed here and not when
		// this process closes it.
		s.removeConn(c)
	case http.StateActive:
		c.beginServing()
	case http.StateIdle:
		c.endServing(s.cfg.IdleBound())
		s.closeAfterAnswer(c)
	}
}

// closeAfterAnswer closes a connection after its answer if a planned stop has begun in the
// meantime: the head of the answer may have been sent before that, without Connection: close.
// If the caller has already sent the next request, the connection stays open, and the handler
// refuses that request because of ArrivedDuringStop.
func (s *Set) closeAfterAnswer(c *conn) {
	if s.stopping.Load() {
		c.closeIf(PlannedStop, func(time.Duration) (time.Duration, bool) { return 0, c.phase == phaseIdle && c.isReceiveBufferEmpty() })
	}
}

func (s *Set) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	if c.cancel != nil {
		c.cancel(nil)
	}
}

// beginServing records that the server has a request. A request that was already in the
// server's buffer does not pass through Read again.
func (c *conn) beginServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed {
		return
	}
	c.readAhead = false
	c.setPhase(phaseServing)
}

// endServing records that the server has answered.
func (c *conn) endServing(bound time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	if c.phase == phaseClosed {
		return
	}
	c.idleBound, c.serverWaiting = bound, false
	if c.readAhead {
		c.beginRequest()
		return
	}
	c.setPhase(phaseIdle)
}

// Admit reports whether a request may be processed. If not, this process has closed its
// connection and the caller would not get an answer: the handler must panic with
// http.ErrAbortHandler.
func (s *Set) Admit(r *http.Request) bool {
	cause := Cause(r.Context())
	if cause == nil {
		return true
	}
	s.cfg.Metrics.Counter("requests_crossed", cause.Label()).Inc(1)
	logs.Warn(s.cfg.Log, logs.EventRequestCrossed, zap.Stringer("why", cause.Reason), zap.Duration("idle", cause.Age),
		zap.Duration("bound", cause.Bound), zap.String("caller", r.RemoteAddr))
	return false
}

// ArrivedDuringStop reports whether a request began to arrive after Drain had begun, on a
// connection that had carried another request before. It must be refused, because the process
// may not last until the end of its answer.
func (s *Set) ArrivedDuringStop(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.beganDuringStop
}

// ResetOnClose determines whether the connection of a request is reset when it is closed, by this
// process or by its end. A caller whose version of HTTP has no chunks can't tell a broken answer
// without a length from a whole one in any other way.
func (s *Set) ResetOnClose(r *http.Request, reset bool) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return
	}
	linger := -1
	if reset {
		linger = 0
	}
	_ = c.SetLinger(linger)
}

// recordClosed records in the log and the metrics that a connection was closed.
func (s *Set) recordClosed(c *conn, reason Reason, age, bound time.Duration) {
	s.cfg.Metrics.Counter("connections_closed", reason.label()).Inc(1)
	logs.Info(s.cfg.Log, logs.EventConnectionClosed, zap.Stringer("why", reason), zap.Duration("since", age),
		zap.Duration("bound", bound), zap.Stringer("caller", c.RemoteAddr()))
}
