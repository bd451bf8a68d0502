package hop

import (
	"context"
	"slices"
)

// connWaiter is a request that waits for a connection.
type connWaiter struct {
	rank   int
	idHash uint64
	// granted receives an idle connection, or nil for a new one that is already counted.
	granted chan *conn
}

// awaitConn waits until the request may have a connection. It returns an idle one, or nil if the
// caller may establish a new one, which is already counted.
func (c *Client) awaitConn(ctx context.Context, addr string, r *Request, idHash uint64) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, r.MaxConnWait)
	defer cancel()
	for ctx.Err() == nil {
		w := c.addWaiter(addr, r.Rank, idHash)
		var k *conn
		select {
		case k = <-w.granted:
		case <-ctx.Done():
			granted := false
			if k, granted = c.leaveWait(addr, w); !granted {
				return nil, ErrBusy
			}
		}
		if k != nil && !k.isUsable(r.AtMostOnce) {
			k.close()
			continue
		}
		if r.AfterConnWait == nil {
			return k, nil
		}
		if err := r.AfterConnWait(); err != nil {
			c.giveBack(addr, k)
			return nil, err
		}
		return k, nil
	}
	return nil, ErrBusy
}

// giveBack closes the connection k, or stops counting a new one if k is nil.
func (c *Client) giveBack(addr string, k *conn) {
	if k != nil {
		k.close()
		return
	}
	c.releaseConn(addr)
}

// addWaiter adds a request behind those of the same rank.
func (c *Client) addWaiter(addr string, rank int, idHash uint64) *connWaiter {
	c.mu.Lock()
	w := &connWaiter{rank: rank, idHash: idHash, granted: make(chan *conn, 1)}
	h := c.host(addr)
	i := len(h.waiters)
	for i > 0 && h.waiters[i-1].rank > rank {
		i--
	}
	h.waiters = slices.Insert(h.waiters, i, w)
	c.short[addr] = true
	// A connection may have become free since the caller found none.
	evicted := c.serveWaiters(addr, h)
	c.mu.Unlock()
	closeAll(evicted)
	return w
}

// leaveWait ends the wait of a request whose time is up, unless it has been given a connection in the
// meantime.
func (c *Client) leaveWait(addr string, w *connWaiter) (k *conn, granted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case k := <-w.granted:
		return k, true
	default:
	}
	h := c.hosts[addr]
	h.waiters = slices.DeleteFunc(h.waiters, func(other *connWaiter) bool { return other == w })
	c.forgetUnused(addr, h)
	return nil, false
}

// serveWaiters gives waiting requests the connections that they may have. It returns the idle
// connections that make room for new ones; the caller must close them once it has released c.mu.
func (c *Client) serveWaiters(addr string, h *host) (evicted []*conn) {
	for len(h.waiters) > 0 {
		w := h.waiters[0]
		k, ok := (*conn)(nil), false
		if i := slices.IndexFunc(h.idleConns, func(k *conn) bool { return !slices.Contains(k.carried, w.idHash) }); i >= 0 {
			k, ok = h.removeIdle(i), true
		} else {
			var old *conn
			if old, ok = c.reserveLocked(addr, h); old != nil {
				evicted = append(evicted, old)
			}
		}
		if !ok {
			break
		}
		h.waiters = h.waiters[1:]
		w.granted <- k
	}
	c.forgetUnused(addr, h)
	return evicted
}

// forgetUnused forgets an address without connections and waiting requests. The caller holds c.mu.
func (c *Client) forgetUnused(addr string, h *host) {
	if h.openConns == 0 && len(h.waiters) == 0 {
		delete(c.hosts, addr)
	}
}

// SetLimit sets how many connections there may be to an address; zero means any number. It closes
// idle ones beyond that and returns how many are left. Those in use stay.
func (c *Client) SetLimit(addr string, limit int) (open int) {
	c.mu.Lock()
	if limit > 0 {
		c.limits[addr] = limit
	} else {
		delete(c.limits, addr)
	}
	h := c.hosts[addr]
	if h == nil {
		c.mu.Unlock()
		return 0
	}
	evicted := c.closeBeyondLimit(addr, h)
	open = h.openConns
	evicted = append(evicted, c.serveWaiters(addr, h)...)
	c.mu.Unlock()
	closeAll(evicted)
	return open
}

// closeBeyondLimit stops counting idle connections beyond the limit. It returns them; the caller must
// close them once it has released c.mu.
func (c *Client) closeBeyondLimit(addr string, h *host) (evicted []*conn) {
	for limit := c.limits[addr]; limit > 0 && h.openConns > limit && len(h.idleConns) > 0; h.openConns-- {
		evicted = append(evicted, h.removeIdle(0))
	}
	return evicted
}

// InUse returns how many connections to an address are not idle, and how many requests wait for one.
func (c *Client) InUse(addr string) (conns, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[addr]
	if h == nil {
		return 0, 0
	}
	return h.openConns - len(h.idleConns), len(h.waiters)
}

// TakeShort returns the addresses for which a request has waited for a connection since the last
// call, and those for which one waits.
func (c *Client) TakeShort() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.short) == 0 {
		return nil
	}
	var out []string
	for addr := range c.short {
		out = append(out, addr)
		if h := c.hosts[addr]; h == nil || len(h.waiters) == 0 {
			delete(c.short, addr)
		}
	}
	return out
}
