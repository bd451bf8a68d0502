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
	// harnessSlots is how many requests each endpoint of a harness serves at once: more than
	// twice what a test sends, so that nothing is refused because of a slow pace.
	harnessSlots = 256
	// harnessRetries is how many retries the pool of a harness has; none are earned.
	harnessRetries = 600
)

// testEndpoint is an endpoint on loopback. Each connection carries one request.
type testEndpoint struct {
	addr string
	// runs counts the requests that arrived, cancelled those whose connection was closed
	// before the end of the answer.
	runs, cancelled atomic.Int32
}

// newTestEndpoint returns an endpoint that serves each request with serve.
func newTestEndpoint(t *testing.T, serve func(e *testEndpoint, c net.Conn, req *http.Request)) *testEndpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &testEndpoint{addr: ln.Addr().String()}
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
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				e.runs.Add(1)
				serve(e, c, req)
			})
		}
	})
	return e
}

// pause waits for d and reports whether the request has not been cancelled in that time.
func (e *testEndpoint) pause(c net.Conn, d time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(d))
	if _, err := c.Read(make([]byte, 1)); err != nil && !isTimeout(err) {
		e.cancelled.Add(1)
		return false
	}
	return true
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

func writeWhole(c net.Conn, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func writeStreamHead(c net.Conn) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func streamEvent(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func writeChunk(c net.Conn, s string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }

func writeStreamEnd(c net.Conn) { io.WriteString(c, "0\r\n\r\n") }

// lastEventOf returns the number of the event after which a request resumes a stream; zero if
// it starts one.
func lastEventOf(req *http.Request) int {
	n, _ := strconv.Atoi(req.Header.Get("Last"))
	return n
}

// harness is a director with endpoints on loopback. Requests go to the first endpoint if it
// has room.
type harness struct {
	d       *Director
	cfg     route.Config
	metrics *meter.Set
	logs    *observer.ObservedLogs
}

func newHarness(t *testing.T, r route.Route, endpoints ...*testEndpoint) *harness {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	h := &harness{metrics: meter.New(), logs: lines}
	h.d = New(Config{
		Zone: "near", Addr: "entry-1", RetryBudget: RetryBudget{Ratio: 1e-9, Slack: harnessRetries * minSlackEntries / retrySlackShare}, Client: hop.New(), AnswerMemory: 64 << 20, Metrics: h.metrics, Log: zap.New(core),
		EntryCounts:  func() (int, int) { return 1, 1 },
		StampHeaders: func(r *hop.Request, o AttemptInfo) { r.Header.Set("Last", o.LastEventID) },
		MatchAnswer:  func(string, int, http.Header) hop.Match { return hop.Named },
		ReadMeta:     func(*hop.Answer) Meta { return Meta{Signed: true} },
	})
	r.Name, r.Shares = "r", []route.Share{{Pool: "p", Weight: 1}}
	h.cfg = route.Config{Revision: 1, Routes: []route.Route{r}, Pools: []route.Pool{{Name: "p"}}}
	h.d.SetConfig(h.cfg)
	roster := route.Roster{Revision: 1}
	for i, e := range endpoints {
		zone := "far"
		if i == 0 {
			zone = "near"
		}
		roster.Endpoints = append(roster.Endpoints, route.Endpoint{ID: name(i), Incarnation: 1, Pool: "p", Addr: e.addr, Zone: zone, Slots: harnessSlots})
	}
	h.d.SetRoster(roster)
	return h
}

func name(i int) string { return string(rune('a' + i)) }

// callerAnswer is what a caller got. Its last two fields control the caller's writes.
type callerAnswer struct {
	Result
	status int
	body   bytes.Buffer
	// writeErr is the error of each write, firstWriteDelay how long the first one takes.
	writeErr        error
	firstWriteDelay time.Duration
}

func (h *harness) send(ctx context.Context, id string, got callerAnswer) *callerAnswer {
	now := time.Now()
	j := &Job{
		ID: id, Route: &h.cfg.Routes[0], Pool: &h.cfg.Pools[0], Method: "GET", Target: "/", Host: "h", Header: make(http.Header),
		AcceptedAt: now, Deadline: now.Add(time.Minute),
	}
	got.Result = h.d.Serve(ctx, j, Sink{
		Head: func(status int, _ http.Header, _ int64) { got.status = status },
		Write: func(p []byte) error {
			if got.body.Len() == 0 {
				time.Sleep(got.firstWriteDelay)
			}
			got.body.Write(p)
			return got.writeErr
		},
		Flush: func() error { return got.writeErr },
		Abort: func() {},
	})
	return &got
}

// loggedField returns a field of the first log line of an event, and the level of the line.
func (h *harness) loggedField(event, field string) (value any, level string) {
	for _, l := range h.logs.FilterMessage(event).All() {
		return l.ContextMap()[field], l.Level.String()
	}
	return nil, ""
}

func (h *harness) counterValue(counter, why string) int64 {
	return h.metrics.Counter(counter, meter.Label{Key: "why", Value: why}).Count()
}

// spendRetries uses up the retries of the pool and returns how many were left.
func (h *harness) spendRetries() int {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	n := 0
	for h.d.view.pool("p", h.d.cfg.RetryBudget, 1).budget.Spend() {
		n++
	}
	return n
}

// isIdle reports whether no work is counted at any endpoint any more.
func (h *harness) isIdle() bool {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	for _, e := range h.d.view.endpoints {
		if e.ownWork != (inFlight{}) {
			return false
		}
	}
	return true
}

// contextWithRun runs the periodic work of a director until stop is called.
func contextWithRun(t *testing.T, d *Director) (ctx context.Context, stop func()) {
	t.Helper()
	runCtx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(runCtx) }()
	return t.Context(), func() {
		cancel()
		<-ended
	}
}
