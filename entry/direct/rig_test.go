package direct

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lycheepond/core/meter"
	"lycheepond/core/route"
	"lycheepond/entry/hop"
)

const (
	// rigSlots is how many requests each endpoint of a rig serves at once: over
	// twice what a test sends, so that nothing is refused for a slow pace.
	rigSlots = 256
	// rigRepeats is how many repeats a rig's pool has; none are earned.
	rigRepeats = 600
)

// standIn is an endpoint on loopback; each connection carries one request.
type standIn struct {
	addr string
	// runs counts the requests that came, cut those whose connection was closed
	// before their answer's end.
	runs, cut atomic.Int32
}

// stand returns an endpoint that serves each request with serve.
func stand(t *testing.T, serve func(s *standIn, c net.Conn, q *http.Request)) *standIn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{addr: ln.Addr().String()}
	var open sync.WaitGroup
	t.Cleanup(func() {
		ln.Close()
		open.Wait()
	})
	open.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			open.Go(func() {
				defer c.Close()
				q, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				s.runs.Add(1)
				serve(s, c, q)
			})
		}
	})
	return s
}

// pause waits and reports whether the request is still wanted after it.
func (s *standIn) pause(c net.Conn, d time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(d))
	if _, err := c.Read(make([]byte, 1)); err != nil && !isTimeout(err) {
		s.cut.Add(1)
		return false
	}
	return true
}

func isTimeout(err error) bool {
	late, ok := err.(net.Error)
	return ok && late.Timeout()
}

func whole(c net.Conn, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func opened(c net.Conn) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func piece(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func sent(c net.Conn, s string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }

func closed(c net.Conn) { io.WriteString(c, "0\r\n\r\n") }

// from returns the event after which a stream is wanted.
func from(q *http.Request) int {
	n, _ := strconv.Atoi(q.Header.Get("Last"))
	return n
}

// rig is a director with endpoints on loopback. Requests go to the first one if
// it has room.
type rig struct {
	d     *Director
	cfg   route.Config
	set   *meter.Set
	lines *observer.ObservedLogs
}

func newRig(t *testing.T, r route.Route, endpoints ...*standIn) *rig {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	g := &rig{set: meter.New(), lines: lines}
	g.d = New(Config{
		Zone: "near", Addr: "entry-1", Repeats: Repeats{Ratio: 1e-9, Slack: rigRepeats * fewEntries / retrySlack}, Client: hop.New(), Metrics: g.set, Log: zap.New(core),
		Reach: func() (int, int) { return 1, 1 },
		Stamp: func(r *hop.Request, o Order) { r.Header.Set("Last", o.LastEvent) },
		Own:   func(string, int, http.Header) bool { return true },
		Read:  func(*hop.Answer) Meta { return Meta{Signed: true} },
	})
	r.Name, r.Shares = "r", []route.Share{{Pool: "p", Weight: 1}}
	g.cfg = route.Config{Revision: 1, Routes: []route.Route{r}, Pools: []route.Pool{{Name: "p"}}}
	g.d.SetConfig(g.cfg)
	roster := route.Roster{Revision: 1}
	for i, s := range endpoints {
		zone := "far"
		if i == 0 {
			zone = "near"
		}
		roster.Endpoints = append(roster.Endpoints, route.Endpoint{ID: name(i), Incarnation: 1, Pool: "p", Addr: s.addr, Zone: zone, Slots: rigSlots})
	}
	g.d.SetRoster(roster)
	return g
}

func name(i int) string { return string(rune('a' + i)) }

// taken is what a caller got.
type taken struct {
	Result
	status int
	body   bytes.Buffer
	// failing is the error of each write, slow how long the first one takes.
	failing error
	slow    time.Duration
}

func (g *rig) send(ctx context.Context, id string, got taken) *taken {
	now := time.Now()
	j := &Job{
		ID: id, Route: &g.cfg.Routes[0], Pool: &g.cfg.Pools[0], Method: "GET", Target: "/", Host: "h", Header: make(http.Header),
		Accepted: now, Deadline: now.Add(time.Minute),
	}
	got.Result = g.d.Serve(ctx, j, Sink{
		Head: func(status int, _ http.Header, _ int64) { got.status = status },
		Write: func(p []byte) error {
			if got.body.Len() == 0 {
				time.Sleep(got.slow)
			}
			got.body.Write(p)
			return got.failing
		},
		Flush: func() error { return got.failing },
	})
	return &got
}

// said returns a field of the first line of an event, and its level.
func (g *rig) said(event, field string) (value any, level string) {
	for _, l := range g.lines.FilterMessage(event).All() {
		return l.ContextMap()[field], l.Level.String()
	}
	return nil, ""
}

func (g *rig) count(counter, why string) int64 {
	return g.set.Counter(counter, meter.Label{Key: "why", Value: why}).Count()
}

// spend uses up the repeats of the rig's pool and returns how many were left.
func (g *rig) spend() int {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	n := 0
	for g.d.v.pool("p", g.d.cfg.Repeats, 1).budget.Spend() {
		n++
	}
	return n
}

// idle reports whether nothing is counted at any endpoint any more.
func (g *rig) idle() bool {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	for _, e := range g.d.v.endpoints {
		if e.own != (hold{}) {
			return false
		}
	}
	return true
}
