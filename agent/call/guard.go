package call

import (
	"context"
	"net"
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

// Dial opens a connection. If ctx carries a guard, the guard is checked before
// the first write.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if g, ok := ctx.Value(guardKey{}).(*Guard); ok {
		return &guardedConn{Conn: conn, guard: g}, nil
	}
	return conn, nil
}

type guardedConn struct {
	net.Conn
	guard *Guard
	// checked is set by the first write that passes the check. Only one
	// goroutine writes.
	checked bool
}

// Write checks the guard before the first byte.
func (c *guardedConn) Write(p []byte) (int, error) {
	if !c.checked {
		if err := c.guard.Check(); err != nil {
			c.guard.blocked.Store(true)
			return 0, err
		}
		c.checked = true
	}
	return c.Conn.Write(p)
}
