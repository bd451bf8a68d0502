// Package kept keeps a server's connections between requests and closes those
// that are idle for too long or that a planned stop ends. The standard server
// calls a connection idle until it has read the whole head of the next request;
// closed on that evidence it may take a request with it that was read already.
// Here reading the first byte and closing exclude each other.
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

// slowHead is how long a connection may hold the beginning of a request. The
// server's own bound on heads, which starts later, is to end it first.
const slowHead = 15 * time.Second

// Config is what a Set depends on.
type Config struct {
	// Bound returns how long a connection may be idle. It may change.
	Bound   func() time.Duration
	Metrics *meter.Set
	Log     *zap.Logger
}

// Set is the connections of one server. Attach it to the server, let the server
// serve a listener of Listen, and have each handler ask Admit first.
type Set struct {
	cfg Config

	mu    sync.Mutex
	conns map[*conn]struct{}
	// ln is nil until Listen; stopping is set before Drain closes it.
	ln       *net.TCPListener
	stopping atomic.Bool
	// deaf is closed, once, when the server has seen that ln is closed.
	deaf    chan struct{}
	unheard sync.Once
}

// New returns an empty set.
func New(cfg Config) *Set {
	return &Set{cfg: cfg, conns: make(map[*conn]struct{}), deaf: make(chan struct{})}
}

// Attach makes the set follow the connections of a server, and the server write
// to the set's log. The server must have no IdleTimeout and no ReadTimeout: it
// would close idle connections by itself.
func (s *Set) Attach(server *http.Server) {
	server.ConnState = s.state
	server.ConnContext = s.context
	server.ErrorLog = logs.ServerLogger(s.cfg.Log)
}

// context gives requests a context that ends with a *Closed as its cause when
// this process closes their connection.
func (s *Set) context(ctx context.Context, nc net.Conn) context.Context {
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

// state follows the server.
func (s *Set) state(nc net.Conn, to http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch to {
	case http.StateClosed, http.StateHijacked:
		// Only now has the handler returned.
		s.forget(c)
	case http.StateActive:
		c.active()
	case http.StateIdle:
		c.rest(s.cfg.Bound())
		s.last(c)
	}
}

// last ends a connection with its answer if a planned stop has begun meanwhile: the
// answer's head may have gone out before that and not have said so. What the caller
// has sent by now is Late.
func (s *Set) last(c *conn) {
	if s.stopping.Load() {
		c.claim(PlannedStop, func(time.Duration) (time.Duration, bool) { return 0, c.phase == idle && c.empty() })
	}
}

func (s *Set) forget(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel(nil)
	}
}

// active notes that the server has a request. One that the server had in its
// buffer has not come through Read again.
func (c *conn) active() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == closed {
		return
	}
	c.ahead = false
	c.turn(busy)
}

// rest notes that the server has answered.
func (c *conn) rest(bound time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == closed {
		return
	}
	c.bound, c.waiting = bound, false
	if c.ahead {
		c.begin()
		return
	}
	c.turn(idle)
}

// Admit reports whether a request may be handed on. If not, its connection was
// closed by this process and nobody would get an answer: the handler panics with
// http.ErrAbortHandler.
func (s *Set) Admit(r *http.Request) bool {
	no := Cause(r.Context())
	if no == nil {
		return true
	}
	s.cfg.Metrics.Counter("requests_crossed", no.Label()).Inc(1)
	logs.Warn(s.cfg.Log, logs.EventRequestCrossed, zap.Stringer("why", no.Why), zap.Duration("idle", no.Since),
		zap.Duration("bound", no.Bound), zap.String("caller", r.RemoteAddr))
	return false
}

// Late reports whether a request began to arrive after Drain had begun, behind
// another one on its connection. It is to be refused: the process may not last until
// its answer's end.
func (s *Set) Late(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late
}

// note writes that a connection was closed to log and metrics.
func (s *Set) note(c *conn, why Why, age, bound time.Duration) {
	s.cfg.Metrics.Counter("connections_closed", why.label()).Inc(1)
	logs.Info(s.cfg.Log, logs.EventConnectionClosed, zap.Stringer("why", why), zap.Duration("since", age),
		zap.Duration("bound", bound), zap.Stringer("caller", c.RemoteAddr()))
}
