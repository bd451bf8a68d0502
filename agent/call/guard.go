package call

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

type guardKey struct{}

// Guard runs a check immediately before the first byte of a call is written. The
// process may be paused between the decision to make a call and the write, and
// the lease that permits the call may expire in that time. With the guard, only
// a few instructions lie between the check and the write.
type Guard struct {
	// Check returns an error when the call is no longer permitted.
	Check func() error
	// blocked is set when Check stopped the call before anything was written.
	blocked atomic.Bool
}

// Blocked reports whether the guard stopped the call.
func (g *Guard) Blocked() bool { return g != nil && g.blocked.Load() }

// NewContext returns a context whose calls are checked by g.
func (g *Guard) NewContext(ctx context.Context) context.Context {
	if g == nil {
		return ctx
	}
	return context.WithValue(ctx, guardKey{}, g)
}

// Dial opens a connection that carries one request. If ctx carries a guard, the guard is checked
// before the first write.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	g, _ := ctx.Value(guardKey{}).(*Guard)
	return &conn{Conn: nc, guard: g}, nil
}

// conn is a connection to an endpoint. One goroutine reads from it, and one writes to it.
type conn struct {
	net.Conn
	// guard is nil if nothing is to be checked.
	guard *Guard
	// checked is set by the first write that passes the check of the guard.
	checked bool
	// mu is held during each write and guards writeErr, the error of the latest one.
	mu       sync.Mutex
	writeErr error
}

// Write checks the guard before the first byte.
func (c *conn) Write(p []byte) (int, error) {
	if c.guard != nil && !c.checked {
		if err := c.guard.Check(); err != nil {
			c.guard.blocked.Store(true)
			return 0, err
		}
		c.checked = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.writeErr = err
	return n, err
}

// Read returns io.EOF only if the endpoint has ended the connection in order. The kernel reports a
// reset connection only once. If a write got that error, reads get io.EOF, which would complete an
// answer without a length or chunks.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return n, fmt.Errorf("call: the connection ended before the request was written: %w", c.writeErr)
	}
	return n, io.EOF
}
