package kept

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/meter"
)

// stand is a server with a set, for one test.
type stand struct {
	set   *Set
	addr  string
	bound atomic.Int64
	// handed counts requests that were handed on, cut those that then saw their
	// connection closed by the set.
	handed, cut atomic.Int64
	served      chan error
}

func newStand(t *testing.T, h http.HandlerFunc) *stand {
	t.Helper()
	st := &stand{served: make(chan error, 1)}
	st.bound.Store(int64(time.Minute))
	st.set = New(Config{
		Bound:   func() time.Duration { return time.Duration(st.bound.Load()) },
		Metrics: meter.New(), Log: zap.NewNop(),
	})
	ln, err := st.set.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	st.addr = ln.Addr().String()
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !st.set.Admit(r) {
			panic(http.ErrAbortHandler)
		}
		st.handed.Add(1)
		h(w, r)
		if Cause(r.Context()) != nil {
			st.cut.Add(1)
		}
	})}
	st.set.Attach(server)
	go func() { st.served <- server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return st
}

// counter reads a counter of the set.
func (st *stand) counter(name string, why Why) int64 {
	return st.set.cfg.Metrics.Counter(name, why.label()).Count()
}

// client is one kept connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return &client{Conn: nc, r: bufio.NewReader(nc)}
}

// answer reads one answer.
func (c *client) answer() error {
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (c *client) ask(path string) error {
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path); err != nil {
		return err
	}
	return c.answer()
}

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("gave up waiting for " + what)
		}
	}
}

// one returns the only connection of the set.
func (st *stand) one(t *testing.T) *conn {
	t.Helper()
	all := st.set.all()
	if len(all) != 1 {
		t.Fatalf("%d connections", len(all))
	}
	return all[0]
}

// in waits until the only connection is in a phase and the server waits for more.
func (st *stand) in(t *testing.T, p phase) {
	t.Helper()
	c := st.one(t)
	await(t, "the phase", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.phase == p && c.waiting
	})
}

func ok(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }

// Requests come at the moment in which their connections are swept. Each of them
// is either answered or was never handed on.
func TestSweepCutsNoRequest(t *testing.T) {
	const clients, bound, rounds = 200, 20 * time.Millisecond, 40
	st := newStand(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		ok(w, r)
	})
	st.bound.Store(int64(bound))
	ctx, stop := context.WithCancel(t.Context())
	swept := make(chan struct{})
	go func() {
		defer close(swept)
		for ctx.Err() == nil {
			st.set.Sweep()
		}
	}()
	var answered atomic.Int64
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			var c *client
			for n := range rounds {
				if c == nil {
					c = dial(t, st.addr)
				}
				if c.ask("/") != nil {
					c.Close()
					c = nil
				} else {
					answered.Add(1)
				}
				time.Sleep(bound*time.Duration((i+n)%5)/4 + bound/2)
			}
		})
	}
	all.Wait()
	stop()
	<-swept
	if st.cut.Load() > 0 || st.handed.Load() != answered.Load() {
		t.Errorf("%d requests were handed on, %d answered, %d saw their connection closed", st.handed.Load(), answered.Load(), st.cut.Load())
	}
	if st.counter("connections_closed", IdleBound) == 0 {
		t.Error("no connection was closed: nothing was tried")
	}
	if n := st.counter("requests_crossed", IdleBound); n > 0 {
		t.Errorf("%d requests were read on connections that were closed as idle", n)
	}
}

// The head of a request comes in parts. From its first byte on the connection is
// not idle, although the server has no request yet.
func TestBegunRequestIsNotIdle(t *testing.T) {
	st := newStand(t, ok)
	c := dial(t, st.addr)
	if err := c.ask("/"); err != nil {
		t.Fatal(err)
	}
	st.bound.Store(0)
	io.WriteString(c, "G")
	st.in(t, begun)
	st.set.Sweep()
	io.WriteString(c, "ET / HTTP/1.1\r\nHost: a\r\n")
	st.set.Sweep()
	io.WriteString(c, "\r\n")
	if err := c.answer(); err != nil {
		t.Error(err)
	}
}

// The process did not run for a while, and what callers sent meanwhile lies in the
// kernel when the sweep comes first.
func TestBytesInTheKernelKeepAConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	out := dial(t, ln.Addr().String())
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Bound: func() time.Duration { return 0 }, Metrics: meter.New(), Log: zap.NewNop()})
	c := newConn(s, nc.(*net.TCPConn), raw)
	s.conns[c] = struct{}{}
	c.rest(0)
	// The server waits and was not woken yet.
	c.waiting = true
	io.WriteString(out, "GET")
	await(t, "the bytes", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.quiet()
	})
	time.Sleep(2 * time.Millisecond)
	s.Sweep()
	p := make([]byte, 8)
	if n, err := c.Read(p); n != 3 || err != nil {
		t.Fatalf("read %d bytes and %v", n, err)
	}
	c.rest(0)
	c.waiting = true
	time.Sleep(time.Millisecond)
	s.Sweep()
	if n, err := c.Read(p); n != 0 || err == nil {
		t.Errorf("read %d bytes and %v of a closed connection", n, err)
	}
}

// A lower bound comes into force. Callers whose connections became idle under the
// older one keep to that.
func TestLowerBoundHoldsFromTheNextAnswer(t *testing.T) {
	st := newStand(t, ok)
	c := dial(t, st.addr)
	if err := c.ask("/"); err != nil {
		t.Fatal(err)
	}
	st.in(t, idle)
	st.bound.Store(int64(time.Millisecond))
	time.Sleep(10 * time.Millisecond)
	st.set.Sweep()
	if err := c.ask("/"); err != nil {
		t.Fatal(err)
	}
	st.in(t, idle)
	time.Sleep(10 * time.Millisecond)
	st.set.Sweep()
	if err := c.ask("/"); err == nil {
		t.Error("the connection was kept beyond the bound that it became idle under")
	}
}

// A planned stop begins while a request runs and another is half read. Both are
// answered before Drain returns; an idle connection is closed.
func TestDrainAnswersWhatWasRead(t *testing.T) {
	began, end := make(chan bool), make(chan bool)
	st := newStand(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			began <- true
			<-end
		}
		w.Header().Set("Connection", "close")
		ok(w, r)
	})
	long, half, rest := dial(t, st.addr), dial(t, st.addr), dial(t, st.addr)
	answered := make(chan error, 1)
	go func() { answered <- long.ask("/long") }()
	<-began
	io.WriteString(half, "GET / HTTP/1.1\r\n")
	await(t, "the half request", func() bool {
		for _, c := range st.set.all() {
			c.mu.Lock()
			p := c.phase
			c.mu.Unlock()
			if p == begun {
				return true
			}
		}
		return false
	})
	drained := make(chan error, 1)
	go func() { drained <- st.set.Drain(t.Context()) }()
	if err := rest.answer(); err == nil {
		t.Error("an idle connection got an answer")
	}
	if err := <-st.served; err != http.ErrServerClosed {
		t.Errorf("the server ended with %v", err)
	}
	io.WriteString(half, "Host: a\r\n\r\n")
	if err := half.answer(); err != nil {
		t.Errorf("the half request: %v", err)
	}
	select {
	case err := <-drained:
		t.Fatalf("drained with %v while a request runs", err)
	default:
	}
	end <- true
	if err := <-answered; err != nil {
		t.Errorf("the long request: %v", err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// A request outlives the grace. Its context tells that the process closed the
// connection, and why.
func TestCloseTellsTheCause(t *testing.T) {
	began, cause := make(chan bool), make(chan *Closed, 1)
	st := newStand(t, func(_ http.ResponseWriter, r *http.Request) {
		began <- true
		<-r.Context().Done()
		cause <- Cause(r.Context())
		panic(http.ErrAbortHandler)
	})
	c := dial(t, st.addr)
	answered := make(chan error, 1)
	go func() { answered <- c.ask("/") }()
	<-began
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := st.set.Drain(ctx); err != context.DeadlineExceeded {
		t.Errorf("drained with %v", err)
	}
	st.set.Close(GraceOver)
	if got := <-cause; got == nil || got.Why != GraceOver {
		t.Errorf("the cause is %v", got)
	}
	if err := <-answered; err == nil {
		t.Error("the caller got an answer")
	}
	if n := st.counter("connections_closed", GraceOver); n != 1 {
		t.Errorf("%d connections counted", n)
	}
}

// The caller leaves by itself: that is not the process's doing.
func TestCallerThatLeavesIsNoCause(t *testing.T) {
	began, cause := make(chan bool), make(chan *Closed, 1)
	st := newStand(t, func(_ http.ResponseWriter, r *http.Request) {
		began <- true
		<-r.Context().Done()
		cause <- Cause(r.Context())
	})
	c := dial(t, st.addr)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	c.Close()
	if got := <-cause; got != nil {
		t.Errorf("the cause is %v", got)
	}
}

// A caller sends its next request before it has the last answer.
func TestRequestsSentAhead(t *testing.T) {
	st := newStand(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		ok(w, r)
	})
	st.bound.Store(0)
	c := dial(t, st.addr)
	const n = 20
	for range n {
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	for i := range n {
		st.set.Sweep()
		if err := c.answer(); err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, plain := range []bool{true, false} {
		b.Run(fmt.Sprint("plain=", plain), func(b *testing.B) {
			s := New(Config{Bound: func() time.Duration { return time.Minute }, Metrics: meter.New(), Log: zap.NewNop()})
			server := &http.Server{Handler: http.HandlerFunc(ok)}
			var ln net.Listener
			var err error
			if plain {
				ln, err = net.Listen("tcp", "127.0.0.1:0")
			} else {
				ln, err = s.Listen("127.0.0.1:0")
				s.Attach(server)
			}
			if err != nil {
				b.Fatal(err)
			}
			defer server.Close()
			go server.Serve(ln)
			nc, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			c := &client{Conn: nc, r: bufio.NewReader(nc)}
			b.ReportAllocs()
			for b.Loop() {
				if err := c.ask("/"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
