package kept

import (
	"context"
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

// The bound is raised and lowered again while a connection is idle. The larger one
// was in force, so its caller may rely on it until the next answer.
func TestRaisedBoundHoldsUntilTheNextAnswer(t *testing.T) {
	st := newStand(t, ok)
	st.bound.Store(int64(time.Millisecond))
	c := dial(t, st.addr)
	if err := c.ask("/"); err != nil {
		t.Fatal(err)
	}
	st.in(t, idle)
	for _, bound := range []time.Duration{time.Minute, time.Millisecond} {
		st.bound.Store(int64(bound))
		time.Sleep(10 * time.Millisecond)
		st.set.Sweep()
	}
	if err := c.ask("/"); err != nil {
		t.Error(err)
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
