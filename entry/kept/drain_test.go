package kept

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/meter"
)

// The head of a long answer is sent before a planned stop begins, so it does not say that the
// connection ends. If its caller keeps using the connection, a request that arrives seconds
// after the start of the stop may outlive the grace, and its answer is cut off. This has
// happened to streams that were accepted 3.8 and 6.3 s after the signal. The connection must
// end with the answer, and a request that still arrives on it must be refused.
func TestDrainClosesConnectionAfterAnswer(t *testing.T) {
	began, end := make(chan bool, 1), make(chan bool)
	admitted := make(chan string, 2)
	var srv *testServer
	srv = newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if srv.set.ArrivedDuringStop(r) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		admitted <- r.URL.Path
		w.Header().Set("Content-Length", "2")
		if r.URL.Path == "/long" {
			w.WriteHeader(http.StatusOK)
			http.NewResponseController(w).Flush()
			began <- true
			<-end
		}
		io.WriteString(w, "ok")
	})
	c := dial(t, srv.addr)
	if _, err := io.WriteString(c, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-began
	drained := make(chan error, 1)
	go func() { drained <- srv.set.Drain(t.Context()) }()
	<-srv.serveErr
	end <- true
	if err := c.readAnswer(); err != nil {
		t.Fatal(err)
	}
	// The request finds the connection closed or is refused.
	c.get("/late")
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if n := len(admitted); n != 1 {
		t.Errorf("%d requests were handed on: one arrived after the stop had begun", n)
	}
}

// A planned stop begins while a request runs and another one is half read. Both must be
// answered before Drain returns, and an idle connection must be closed.
func TestDrainAnswersReadRequests(t *testing.T) {
	began, end := make(chan bool), make(chan bool)
	srv := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			began <- true
			<-end
		}
		w.Header().Set("Connection", "close")
		answerOK(w, r)
	})
	long, half, unused := dial(t, srv.addr), dial(t, srv.addr), dial(t, srv.addr)
	answered := make(chan error, 1)
	go func() { answered <- long.get("/long") }()
	<-began
	io.WriteString(half, "GET / HTTP/1.1\r\n")
	waitFor(t, "the half request", func() bool {
		for _, c := range srv.set.connections() {
			c.mu.Lock()
			p := c.phase
			c.mu.Unlock()
			if p == phaseReading {
				return true
			}
		}
		return false
	})
	drained := make(chan error, 1)
	go func() { drained <- srv.set.Drain(t.Context()) }()
	if err := unused.readAnswer(); err == nil {
		t.Error("an idle connection got an answer")
	}
	if err := <-srv.serveErr; err != http.ErrServerClosed {
		t.Errorf("the server ended with %v", err)
	}
	io.WriteString(half, "Host: a\r\n\r\n")
	if err := half.readAnswer(); err != nil {
		t.Errorf("the half request: %v", err)
	}
	select {
	case err := <-drained:
		t.Fatalf("Drain returned %v while a request runs", err)
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

// A request outlives the grace. Its context must say that the process closed the connection,
// and why.
func TestCloseSetsCause(t *testing.T) {
	began, cause := make(chan bool), make(chan *ClosedError, 1)
	srv := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		began <- true
		<-r.Context().Done()
		cause <- Cause(r.Context())
		panic(http.ErrAbortHandler)
	})
	c := dial(t, srv.addr)
	answered := make(chan error, 1)
	go func() { answered <- c.get("/") }()
	<-began
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := srv.set.Drain(ctx); err != context.DeadlineExceeded {
		t.Errorf("Drain returned %v", err)
	}
	srv.set.Close(GraceExpired)
	if got := <-cause; got == nil || got.Reason != GraceExpired {
		t.Errorf("the cause is %v", got)
	}
	if err := <-answered; err == nil {
		t.Error("the caller got an answer")
	}
	if n := srv.counter("connections_closed", GraceExpired); n != 1 {
		t.Errorf("%d connections counted", n)
	}
}

// A caller sends the first byte of a request and nothing more. This must neither keep its
// connection open forever nor delay a planned stop.
func TestSlowHead(t *testing.T) {
	for _, stop := range []bool{false, true} {
		srv := newTestServer(t, answerOK)
		c := dial(t, srv.addr)
		if err := c.get("/"); err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, "G")
		srv.awaitPhase(t, phaseReading)
		k := srv.onlyConn(t)
		k.mu.Lock()
		k.phaseSince = k.phaseSince.Add(-maxHeadTime)
		k.mu.Unlock()
		if !stop {
			srv.set.CloseExpired()
		} else if err := srv.set.Drain(t.Context()); err != nil {
			t.Error(err)
		}
		if err := c.readAnswer(); err == nil {
			t.Error("got an answer")
		}
		if n := srv.counter("connections_closed", SlowHead); n != 1 {
			t.Errorf("%d connections counted", n)
		}
	}
}

// A caller has connected and sent its request, and the server has not accepted the connection
// yet. Closing the listener at this time would reset the connection.
func TestQueuedConnectionIsDetected(t *testing.T) {
	s := New(Config{IdleBound: func() time.Duration { return time.Minute }, Metrics: meter.New(), Log: zap.NewNop()})
	ln, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if hasQueuedConns(s.ln) {
		t.Error("a queued connection is reported although there is none")
	}
	dial(t, ln.Addr().String())
	waitFor(t, "the connection", func() bool { return hasQueuedConns(s.ln) })
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if hasQueuedConns(s.ln) {
		t.Error("the connection is still reported as queued")
	}
	if len(s.connections()) != 1 {
		t.Error("the accepted connection is not known")
	}
}

// Callers keep connecting, so the time to accept queued connections has run out when the
// listener is closed. The last accepted connection may not be known to the set by then. Drain
// must wait for it and not find the set empty before.
func TestDrainWaitsForLastAccept(t *testing.T) {
	s := New(Config{IdleBound: func() time.Duration { return time.Minute }, Metrics: meter.New(), Log: zap.NewNop()})
	ln, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, ln.Addr().String())
	waitFor(t, "the connection", func() bool { return hasQueuedConns(s.ln) })
	go func() {
		// The listener resets what it has not accepted.
		c.Read(make([]byte, 1))
		time.Sleep(50 * time.Millisecond)
		ln.Accept()
	}()
	if err := s.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	select {
	case <-s.acceptEnded:
	default:
		t.Error("Drain returned while the server still accepts")
	}
}
