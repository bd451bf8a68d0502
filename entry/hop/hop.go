// Package hop sends one request to one endpoint over HTTP/1.1 and returns its answer as it
// arrives.
//
// It manages connections itself instead of using http.Transport, because the meaning of a
// failure depends on how far the request got: a request that was never written has not run,
// one that was written may have. It must also tolerate endpoints that repeat an answer on a
// kept connection: a repeated answer must never be taken for the answer to a later request, or
// to a later send of the same request. An ID in the answer tells requests apart, but only the
// connection tells apart two sends of one request, or answers without an ID. A connection
// therefore carries each request once, and none after an answer that does not name its request.
package hop

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// ErrNotSent reports that no byte of the request reached the endpoint. The request has not
// run.
var ErrNotSent = errors.New("hop: request not sent: the endpoint accepts no connection; send it to another one")

// IsRefused reports whether err says that nothing listens at the address: the process that
// listened there has ended.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ErrBusy reports that all connections that this entry may have to the endpoint are in use.
// The request has not run.
var ErrBusy = errors.New("hop: no connection left to the endpoint: send the request to another one")

// ErrUnknown reports that the request was sent and got no usable answer. The request may have
// run.
var ErrUnknown = errors.New("hop: no whole answer: the request may have run; repeat it only if it is idempotent")

const (
	// dialTimeout bounds the time to establish a connection. Availability zones are a few
	// milliseconds apart. A lost SYN packet is sent again after a second, and by then another
	// endpoint has answered.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint does not say.
	// If the endpoint does say, the connection is closed idleTimeoutMargin earlier, because a
	// request that is sent while the endpoint closes the connection is lost.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = 700 * time.Millisecond
	// maxIdleForOnce is the longest idle time of a connection that is used for a request that
	// may run at most once. An endpoint may have dropped an idle connection silently. That is
	// noticed only when a request sent on it is lost, and such a request could not be sent
	// again. A new connection costs a millisecond.
	maxIdleForOnce = 300 * time.Millisecond
	// keepAliveInterval and keepAliveCount are the idle time before a TCP keep-alive probe,
	// which is also the time between probes, and the number of probes without an answer after
	// which a connection counts as broken.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxRequestsPerConn bounds how many requests a connection carries, and with that how many
	// it must remember.
	maxRequestsPerConn = 256
)

// Match says whether an answer belongs to a request.
type Match uint8

// The relations of an answer to a request.
const (
	// Foreign means that the answer belongs to another request.
	Foreign Match = iota
	// Unnamed means that the answer belongs to the request unless it repeats an earlier answer,
	// because it names no request.
	Unnamed
	// Named means that the answer names the request.
	Named
)

// Request is one request to an endpoint.
type Request struct {
	// ID is the same for all sends of a request, and differs between requests.
	ID     string
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce is set for a request that may run at most once.
	AtMostOnce bool
	// MaxConnWait is how long the request may wait for a connection if none is left. Rank is its
	// rank among the requests that wait; the lowest goes first.
	MaxConnWait time.Duration
	Rank        int
	// AfterConnWait is called when a wait for a connection has ended with one. It may change the
	// header. If it returns an error, the request is not sent.
	AfterConnWait func() error
	// MatchAnswer relates an answer with this status and header to the request.
	MatchAnswer func(status int, h http.Header) Match
}

// Client holds the connections to the endpoints. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer
	// idSeed is the seed of the hashes of request IDs that connections keep.
	idSeed maphash.Seed

	mu    sync.Mutex
	hosts map[string]*host
	// limits holds how many connections there may be to an address, if that is limited.
	limits map[string]int
	// short holds the addresses for which a request has waited for a connection.
	short map[string]bool
}

// host holds the connections to one address, of which there is at least one, or a waiting request.
type host struct {
	// waiters holds the requests that wait for a connection, in the order in which they get one.
	waiters []*connWaiter
	// idleConns holds the connections without a request, the most recently used one last.
	idleConns []*conn
	// openConns counts all connections, including idle ones and those being established.
	openConns int
}

// New returns a client without connections.
func New() *Client {
	return &Client{
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
		idSeed: maphash.MakeSeed(),
		hosts:  make(map[string]*host),
		limits: make(map[string]int),
		short:  make(map[string]bool),
	}
}

// Do sends a request to addr and returns once the head of its answer has arrived. When ctx ends,
// the connection is closed, which makes the endpoint stop its work, and the error wraps the cause
// of ctx.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Answer, error) {
	idHash := maphash.String(c.idSeed, r.ID)
	for {
		k, isNew, err := c.acquire(ctx, addr, r, idHash)
		if err != nil {
			return nil, err
		}
		k.carried = append(k.carried, idHash)
		idle := time.Since(k.idleSince)
		answer, err := k.exchange(ctx, r)
		if err == nil {
			return answer, nil
		}
		k.close()
		if !isNew {
			err = fmt.Errorf("%w (on a connection that had been idle for %v)", err, idle.Round(time.Millisecond))
		}
		if isNew || ctx.Err() != nil || !errors.Is(err, ErrNotSent) {
			return nil, err
		}
		// The endpoint had closed the kept connection before anything was written, which is no
		// failure of the endpoint.
	}
}

// Connect establishes a connection to addr and keeps it for the next request.
func (c *Client) Connect(ctx context.Context, addr string) error {
	nc, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	c.mu.Lock()
	c.host(addr).openConns++
	c.mu.Unlock()
	c.returnIdle(newConn(c, addr, nc))
	return nil
}

// acquire returns an idle connection that has not carried the request, or establishes a new
// one. isNew is set for a new one.
func (c *Client) acquire(ctx context.Context, addr string, r *Request, idHash uint64) (k *conn, isNew bool, err error) {
	if k := c.acquireIdle(addr, r.AtMostOnce, idHash); k != nil {
		return k, false, nil
	}
	// The idle connections that are left have carried the request.
	if !c.reserveConn(addr) {
		k, err := c.awaitConn(ctx, addr, r, idHash)
		if k != nil || err != nil {
			return k, false, err
		}
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		c.releaseConn(addr)
		return nil, false, errors.Join(ErrNotSent, cancelCause(ctx, err))
	}
	return newConn(c, addr, nc), true, nil
}

// acquireIdle returns an idle connection that is still usable and has not carried the request,
// or nil.
func (c *Client) acquireIdle(addr string, atMostOnce bool, idHash uint64) *conn {
	for {
		k := c.popIdle(addr, idHash)
		if k == nil {
			return nil
		}
		if k.isUsable(atMostOnce) {
			return k
		}
		k.close()
	}
}

// isUsable reports whether an idle connection may carry another request.
func (k *conn) isUsable(atMostOnce bool) bool {
	idle := time.Since(k.idleSince)
	return idle < k.idleTimeout && (!atMostOnce || idle < maxIdleForOnce) && k.isQuiet()
}

// popIdle removes and returns the most recently used idle connection that has not carried the
// request, or nil.
func (c *Client) popIdle(addr string, idHash uint64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[addr]
	if h == nil {
		return nil
	}
	for i, k := range slices.Backward(h.idleConns) {
		if !slices.Contains(k.carried, idHash) {
			return h.removeIdle(i)
		}
	}
	return nil
}

// popOldestIdle removes and returns the least recently used idle connection, or nil.
func (c *Client) popOldestIdle(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[addr]
	if h == nil || len(h.idleConns) == 0 {
		return nil
	}
	return h.removeIdle(0)
}

func (h *host) removeIdle(i int) *conn {
	k := h.idleConns[i]
	h.idleConns = slices.Delete(h.idleConns, i, i+1)
	return k
}

// host returns the state of an address. The caller holds c.mu and adds a connection or a waiter.
func (c *Client) host(addr string) *host {
	h := c.hosts[addr]
	if h == nil {
		h = new(host)
		c.hosts[addr] = h
	}
	return h
}

// reserveConn counts a new connection, in place of an idle one if need be, and reports whether the
// limit allows it.
func (c *Client) reserveConn(addr string) bool {
	c.mu.Lock()
	h := c.host(addr)
	if len(h.waiters) > 0 {
		c.mu.Unlock()
		return false
	}
	evicted, ok := c.reserveLocked(addr, h)
	c.mu.Unlock()
	if evicted != nil {
		evicted.net.Close()
	}
	return ok
}

// reserveLocked counts a new connection if the limit allows it. evicted is the idle connection that
// it replaces, which the caller must close without counting it. The caller holds c.mu.
func (c *Client) reserveLocked(addr string, h *host) (evicted *conn, ok bool) {
	limit := c.limits[addr]
	switch {
	case limit <= 0 || h.openConns < limit:
		h.openConns++
		return nil, true
	case h.openConns == limit && len(h.idleConns) > 0:
		return h.removeIdle(0), true
	}
	return nil, false
}

func (c *Client) releaseConn(addr string) {
	c.mu.Lock()
	h := c.hosts[addr]
	h.openConns--
	evicted := c.serveWaiters(addr, h)
	c.mu.Unlock()
	closeAll(evicted)
}

// returnIdle makes a connection available again after a complete answer.
func (c *Client) returnIdle(k *conn) {
	c.mu.Lock()
	k.idleSince = time.Now()
	h := c.hosts[k.addr]
	h.idleConns = append(h.idleConns, k)
	evicted := c.closeBeyondLimit(k.addr, h)
	evicted = append(evicted, c.serveWaiters(k.addr, h)...)
	c.mu.Unlock()
	closeAll(evicted)
}

// closeAll closes connections that are no longer counted.
func closeAll(conns []*conn) {
	for _, k := range conns {
		k.net.Close()
	}
}

// Conns returns how many connections to addr there are, including idle ones and those being
// established.
func (c *Client) Conns(addr string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[addr]
	if h == nil {
		return 0
	}
	return h.openConns
}

// AllConns is Conns summed over all addresses.
func (c *Client) AllConns() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, h := range c.hosts {
		n += h.openConns
	}
	return int64(n)
}

// CloseIdle closes the idle connections to an address that no longer belongs to an endpoint, and
// ends its limit.
func (c *Client) CloseIdle(addr string) {
	c.SetLimit(addr, 0)
	for {
		k := c.popOldestIdle(addr)
		if k == nil {
			return
		}
		k.close()
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (c *Client) CloseExpired() {
	for _, k := range c.removeExpired() {
		k.close()
	}
}

func (c *Client) removeExpired() []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*conn
	for _, h := range c.hosts {
		usable := h.idleConns[:0]
		for _, k := range h.idleConns {
			if time.Since(k.idleSince) < k.idleTimeout {
				usable = append(usable, k)
				continue
			}
			out = append(out, k)
		}
		clear(h.idleConns[len(usable):])
		h.idleConns = usable
	}
	return out
}
