package call

import (
	"context"
	"net"
	"sync/atomic"
)

type guardKey struct{}

// Guard is asked right before the first byte of a call is written. A process
// may be paused between its decision and the write, for longer than the lease
// that the decision rests on; asked here, the check and the write are only
// instructions apart.
type Guard struct {
	// Check returns an error when the call must not be made any more.
	Check func() error
	// blocked is set when Check stopped the call; nothing was written then.
	blocked atomic.Bool
}

// Blocked reports whether the guard stopped the call.
func (g *Guard) Blocked() bool { return g != nil && g.blocked.Load() }

// With returns a context whose calls ask g.
func (g *Guard) With(ctx context.Context) context.Context {
	if g == nil {
		return ctx
	}
	return context.WithValue(ctx, guardKey{}, g)
}

// Dial connects and puts the guard of ctx, if any, before the first write.
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
	// passed is set by the first write; writes come from one goroutine.
	passed bool
}

// Write asks the guard before the first byte.
func (c *guardedConn) Write(p []byte) (int, error) {
	if !c.passed {
		if err := c.guard.Check(); err != nil {
			c.guard.blocked.Store(true)
			return 0, err
		}
		c.passed = true
	}
	return c.Conn.Write(p)
}
