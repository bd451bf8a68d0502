// Package hop carries one request to one endpoint over HTTP/1.1 and hands its
// answer back as it arrives.
//
// It keeps connections itself in place of using http.Transport, because what a
// failed request means depends on how far it got: a request that was never
// written has not run, one that was written may have. It also has to survive
// endpoints that send a second answer on a kept connection: such bytes must
// never be taken for the answer to the next request.
package hop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// ErrNotSent reports that no byte of the request reached the endpoint: it has
// not run.
var ErrNotSent = errors.New("hop: request not sent: the endpoint accepts no connection; send it to another one")

// Refused reports that nobody listens at the address: what listened there has ended.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ErrBusy reports that all connections that this entry may have to the endpoint
// are in use. The request has not run.
var ErrBusy = errors.New("hop: no connection left to the endpoint: send the request to another one")

// ErrUnknown reports a request that was sent and got no usable answer: it may
// have run.
var ErrUnknown = errors.New("hop: no whole answer: the request may have run; repeat it only if it is idempotent")

const (
	// dialTime bounds the set-up of a connection. Availability zones are a few
	// milliseconds apart; a lost opening packet is sent again after a second, by
	// which time another endpoint has answered.
	dialTime = 300 * time.Millisecond
	// keptTime is how long a connection without a request is kept if the
	// endpoint does not say, and keptMargin how much sooner than it says a
	// connection is given up: a request sent as the endpoint closes is lost.
	keptTime   = 4 * time.Second
	keptMargin = 700 * time.Millisecond
	// onceKept is the longest idle time of a connection that takes a request
	// that may run once only. An endpoint may have dropped an idle connection
	// without a word, which shows only when the request sent on it is lost, and
	// its loss could not be made good. A new connection costs a millisecond.
	onceKept = 300 * time.Millisecond
	// keepAlive are the probes that find a connection that went silent.
	keepAliveIdle  = time.Second
	keepAliveCount = 2
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Once is set for a request that may run once at most.
	Once bool
	// Own reports whether an answer's head belongs to this request.
	Own func(status int, h http.Header) bool
}

// Client keeps the connections to the endpoints. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer

	mu    sync.Mutex
	hosts map[string]*host
}

// host is one address.
type host struct {
	// idle holds connections without a request, the latest used last.
	idle []*conn
	// open counts all connections, idle ones and those in the making included.
	open int
}

// New returns a client without connections.
func New() *Client {
	return &Client{
		dialer: net.Dialer{
			Timeout: dialTime,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
			},
		},
		hosts: make(map[string]*host),
	}
}

// Do sends a request to addr and returns when the head of its answer is there.
// limit is how many connections this entry may have there; zero means no limit.
// When ctx ends the connection is closed, which tells the endpoint to stop, and
// the error holds its cause.
func (c *Client) Do(ctx context.Context, addr string, limit int, r *Request) (*Answer, error) {
	for {
		k, fresh, err := c.take(ctx, addr, limit, r.Once)
		if err != nil {
			return nil, err
		}
		idle := time.Since(k.since)
		a, err := k.exchange(ctx, r)
		if err == nil {
			return a, nil
		}
		k.close()
		if !fresh {
			err = fmt.Errorf("%w (on a connection that had been idle for %v)", err, idle.Round(time.Millisecond))
		}
		if fresh || ctx.Err() != nil || !errors.Is(err, ErrNotSent) {
			return nil, err
		}
		// The endpoint had closed the kept connection before anything was
		// written; this says nothing about the endpoint.
	}
}

// Reach makes a connection to addr and keeps it for the next request.
func (c *Client) Reach(ctx context.Context, addr string) error {
	nc, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	c.reserve(addr, 0)
	c.keep(newConn(c, addr, nc))
	return nil
}

// take returns a kept connection or makes one.
func (c *Client) take(ctx context.Context, addr string, limit int, once bool) (k *conn, fresh bool, err error) {
	if k := c.kept(addr, once); k != nil {
		return k, false, nil
	}
	if !c.reserve(addr, limit) {
		return nil, false, ErrBusy
	}
	nc, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		c.release(addr)
		return nil, false, errors.Join(ErrNotSent, ended(ctx, err))
	}
	return newConn(c, addr, nc), true, nil
}

// kept returns an idle connection that is still good.
func (c *Client) kept(addr string, once bool) *conn {
	for {
		k := c.pop(addr)
		if k == nil {
			return nil
		}
		age := time.Since(k.since)
		if age < k.keep && (!once || age < onceKept) && k.quiet() {
			return k
		}
		k.close()
	}
}

func (c *Client) pop(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[addr]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	k := h.idle[last]
	h.idle[last] = nil
	h.idle = h.idle[:last]
	return k
}

// reserve counts a new connection if there may be one more.
func (c *Client) reserve(addr string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[addr]
	if h == nil {
		h = new(host)
		c.hosts[addr] = h
	}
	if limit > 0 && h.open >= limit {
		return false
	}
	h.open++
	return true
}

func (c *Client) release(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[addr]
	if h.open--; h.open == 0 {
		delete(c.hosts, addr)
	}
}

// keep takes a connection back after a whole answer.
func (c *Client) keep(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.since = time.Now()
	h := c.hosts[k.addr]
	h.idle = append(h.idle, k)
}

// Drop closes the idle connections to an address that no longer belongs to an
// endpoint.
func (c *Client) Drop(addr string) {
	for {
		k := c.pop(addr)
		if k == nil {
			return
		}
		k.close()
	}
}

// Sweep closes connections that have been idle for too long.
func (c *Client) Sweep() {
	for _, k := range c.stale() {
		k.close()
	}
}

func (c *Client) stale() []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*conn
	for _, h := range c.hosts {
		fresh := h.idle[:0]
		for _, k := range h.idle {
			if time.Since(k.since) < k.keep {
				fresh = append(fresh, k)
				continue
			}
			out = append(out, k)
		}
		clear(h.idle[len(fresh):])
		h.idle = fresh
	}
	return out
}
