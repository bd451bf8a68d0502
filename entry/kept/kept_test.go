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

// Requests arrive at the moment at which their connections are checked. Each of them must
// either be answered or never reach the handler.
func TestCloseExpiredInterruptsNoRequest(t *testing.T) {
	const clients, bound, rounds = 200, 20 * time.Millisecond, 40
	srv := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		answerOK(w, r)
	})
	srv.bound.Store(int64(bound))
	ctx, stop := context.WithCancel(t.Context())
	swept := make(chan struct{})
	go func() {
		defer close(swept)
		for ctx.Err() == nil {
			srv.set.CloseExpired()
		}
	}()
	var answered atomic.Int64
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			var c *client
			for n := range rounds {
				if c == nil {
					c = dial(t, srv.addr)
				}
				if c.get("/") != nil {
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
	if srv.interrupted.Load() > 0 || srv.admitted.Load() != answered.Load() {
		t.Errorf("%d requests were handed on, %d answered, %d interrupted by a closed connection", srv.admitted.Load(), answered.Load(), srv.interrupted.Load())
	}
	if srv.counter("connections_closed", IdleBound) == 0 {
		t.Error("no connection was closed: the test shows nothing")
	}
	if n := srv.counter("requests_crossed", IdleBound); n > 0 {
		t.Errorf("%d requests were read on connections that were closed as idle", n)
	}
}

// The head of a request arrives in parts. From its first byte on the connection is not idle,
// although the server has no request yet.
func TestPartialHeadIsNotIdle(t *testing.T) {
	srv := newTestServer(t, answerOK)
	c := dial(t, srv.addr)
	if err := c.get("/"); err != nil {
		t.Fatal(err)
	}
	srv.bound.Store(0)
	io.WriteString(c, "G")
	srv.awaitPhase(t, phaseReading)
	srv.set.CloseExpired()
	io.WriteString(c, "ET / HTTP/1.1\r\nHost: a\r\n")
	srv.set.CloseExpired()
	io.WriteString(c, "\r\n")
	if err := c.readAnswer(); err != nil {
		t.Error(err)
	}
}

// The process was paused, and after it resumes, CloseExpired runs before the server reads what
// callers have sent in the meantime. It must not close their connections.
func TestUnreadBytesKeepConnectionOpen(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	caller := dial(t, ln.Addr().String())
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{IdleBound: func() time.Duration { return 0 }, Metrics: meter.New(), Log: zap.NewNop()})
	c := newConn(s, nc.(*net.TCPConn), raw)
	s.conns[c] = struct{}{}
	c.endServing(0)
	// The server waits and has not been woken up yet.
	c.serverWaiting = true
	io.WriteString(caller, "GET")
	waitFor(t, "the bytes", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.isQuiet()
	})
	time.Sleep(2 * time.Millisecond)
	s.CloseExpired()
	p := make([]byte, 8)
	if n, err := c.Read(p); n != 3 || err != nil {
		t.Fatalf("read %d bytes and %v", n, err)
	}
	c.endServing(0)
	c.serverWaiting = true
	time.Sleep(time.Millisecond)
	s.CloseExpired()
	if n, err := c.Read(p); n != 0 || err == nil {
		t.Errorf("read %d bytes and %v of a closed connection", n, err)
	}
}

// A lower bound comes into force. The older one must still apply to connections that became
// idle under it, until their next answer.
func TestLowerBoundAppliesAfterNextAnswer(t *testing.T) {
	srv := newTestServer(t, answerOK)
	c := dial(t, srv.addr)
	if err := c.get("/"); err != nil {
		t.Fatal(err)
	}
	srv.awaitPhase(t, phaseIdle)
	srv.bound.Store(int64(time.Millisecond))
	time.Sleep(10 * time.Millisecond)
	srv.set.CloseExpired()
	if err := c.get("/"); err != nil {
		t.Fatal(err)
	}
	srv.awaitPhase(t, phaseIdle)
	time.Sleep(10 * time.Millisecond)
	srv.set.CloseExpired()
	if err := c.get("/"); err == nil {
		t.Error("the connection was kept for longer than the bound under which it became idle")
	}
}

// The bound is raised and lowered again while a connection is idle. The larger bound was in
// force, so the caller may rely on it until the next answer.
func TestRaisedBoundAppliesUntilNextAnswer(t *testing.T) {
	srv := newTestServer(t, answerOK)
	srv.bound.Store(int64(time.Millisecond))
	c := dial(t, srv.addr)
	if err := c.get("/"); err != nil {
		t.Fatal(err)
	}
	srv.awaitPhase(t, phaseIdle)
	for _, bound := range []time.Duration{time.Minute, time.Millisecond} {
		srv.bound.Store(int64(bound))
		time.Sleep(10 * time.Millisecond)
		srv.set.CloseExpired()
	}
	if err := c.get("/"); err != nil {
		t.Error(err)
	}
}

// A caller that leaves on its own must not count as a connection closed by this process.
func TestDepartedCallerSetsNoCause(t *testing.T) {
	began, cause := make(chan bool), make(chan *ClosedError, 1)
	srv := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		began <- true
		<-r.Context().Done()
		cause <- Cause(r.Context())
	})
	c := dial(t, srv.addr)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	c.Close()
	if got := <-cause; got != nil {
		t.Errorf("the cause is %v", got)
	}
}

// A caller sends its next requests before it has received the last answer. The connection must
// not be closed as idle between them.
func TestPipelinedRequests(t *testing.T) {
	srv := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		answerOK(w, r)
	})
	srv.bound.Store(0)
	c := dial(t, srv.addr)
	const n = 20
	for range n {
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	for i := range n {
		srv.set.CloseExpired()
		if err := c.readAnswer(); err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
	}
}
