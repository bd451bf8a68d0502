package door

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lycheepond/core/meter"
	"lycheepond/entry/direct"
)

const (
	// idleCheckInterval is the time between two checks for idle connections, with a margin.
	idleCheckInterval = 1500 * time.Millisecond
	// longGrace is long enough that no stop reaches its end, even if the process gets hardly
	// any CPU time. Requests interrupted by the end of the grace would hide other interrupted
	// requests.
	longGrace = time.Minute
)

// idleBoundLabel is the label of connections that were closed because they were idle for too
// long.
var idleBoundLabel = meter.Label{Key: "why", Value: "idle_bound"}

// runClients runs n callers that each keep a connection and send requests until end, with
// pauses of up to maxPause. It returns how many requests were answered and how many were not.
func (srv *testServer) runClients(n int, maxPause time.Duration, end time.Time) (answered, lost int64) {
	var ok, failed atomic.Int64
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			var c *client
			for time.Now().Before(end) {
				if c == nil {
					var err error
					if c, err = srv.dial(); err != nil {
						return
					}
				}
				if c.get("/crowd") == http.StatusOK {
					ok.Add(1)
				} else {
					failed.Add(1)
					c.Close()
					c = nil
				}
				time.Sleep(rand.N(maxPause))
			}
			if c != nil {
				c.Close()
			}
		})
	}
	all.Wait()
	return ok.Load(), failed.Load()
}

func answerSlowly(ctx context.Context, j *direct.Job, s direct.Sink) direct.Result {
	time.Sleep(20 * time.Millisecond)
	return answerOK(ctx, j, s)
}

// The operator lowers the idle bound while many connections are kept, and requests arrive at
// the moment at which their connections are checked. If the check relies on what net/http
// calls idle, it closes connections whose request was read and is about to be served: the work
// is done, and the caller finds a closed connection instead of an answer ("7025 handed on, 42
// of these interrupted"). Each request that is served must be answered.
func TestIdleCloseUnderLoad(t *testing.T) {
	const callers, pause = 2000, 2500 * time.Millisecond
	srv := newTestServer(t, longGrace, answerSlowly)
	time.AfterFunc(1500*time.Millisecond, func() { srv.idleBound.Store(int64(time.Second)) })
	answered, lost := srv.runClients(callers, pause, time.Now().Add(5*time.Second))
	t.Logf("%d answered, %d lost, %d handed on, %d of these interrupted", answered, lost, srv.admitted.Load(), srv.interrupted.Load())
	if srv.interrupted.Load() > 0 || srv.admitted.Load() != answered {
		t.Errorf("%d requests were handed on, %d answered, %d interrupted by a closed connection", srv.admitted.Load(), answered, srv.interrupted.Load())
	}
	if srv.metrics.Counter("connections_closed", idleBoundLabel).Count() == 0 {
		t.Error("no connection was closed: the test shows nothing")
	}
}

// The check is blocked at the first connection that it closes, and meanwhile a request arrives
// on the other one, which would be closed next. The server reads the request. If reading only
// waits for a lock that the check holds, the connection is closed and the request is served
// nevertheless ("got 0; 1 requests handed on, 1 of these interrupted").
func TestRequestDuringIdleClose(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t, longGrace, answerOK)
	srv.idleBound.Store(int64(50 * time.Millisecond))
	blocked := srv.log.blockOn("connection_closed")
	one, two := srv.connectIdle(t), srv.connectIdle(t)
	<-blocked
	other := one
	if one.isClosed() {
		other = two
	}
	admittedBefore := srv.admitted.Load()
	other.sendRequest("/other")
	// Let the server read the request. It may or may not be answered in this time.
	time.Sleep(200 * time.Millisecond)
	blocked <- true
	got := other.readStatus()
	time.Sleep(100 * time.Millisecond)
	if srv.interrupted.Load() > 0 || srv.admitted.Load() == admittedBefore || got != http.StatusOK {
		t.Errorf("got %d; %d requests handed on, %d of these interrupted", got, srv.admitted.Load()-admittedBefore, srv.interrupted.Load())
	}
}

// isClosed reports whether the server closed the connection.
func (c *client) isClosed() bool {
	c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := c.r.Peek(1)
	return err == io.EOF
}

// Half of a request has arrived, directly after the previous one, when its connection would be
// closed as idle. net/http calls that connection idle until the head is complete. But the
// request has begun, and its caller would find a closed connection although it sent within the
// idle bound.
func TestPartialRequestDuringIdleClose(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t, longGrace, answerOK)
	srv.idleBound.Store(int64(50 * time.Millisecond))
	c, err := srv.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /half HTTP/1.1\r\n")
	if got := c.readStatus(); got != http.StatusOK {
		t.Fatalf("the first answer: %d", got)
	}
	time.Sleep(idleCheckInterval)
	io.WriteString(c, "Host: a\r\n\r\n")
	if got := c.readStatus(); got != http.StatusOK {
		t.Errorf("got %d", got)
	}
}

// A planned stop closes idle connections while a request is being read. http.Server.Shutdown
// closes that connection too, and returns ("ended with <nil> before the request"). The request
// must be answered before the process ends.
func TestPartialRequestDuringStop(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t, longGrace, answerOK)
	c, idleClient := srv.connectIdle(t), srv.connectIdle(t)
	io.WriteString(c, "GET /half HTTP/1.1\r\n")
	srv.stop()
	if idleClient.readStatus() != 0 {
		t.Error("an idle connection got an answer")
	}
	select {
	case err := <-srv.runErr:
		t.Fatalf("ended with %v before the request", err)
	case <-time.After(200 * time.Millisecond):
	}
	io.WriteString(c, "Host: a\r\n\r\n")
	if got := c.readStatus(); got != http.StatusOK {
		t.Errorf("got %d", got)
	}
	if err := <-srv.runErr; err != nil {
		t.Error(err)
	}
}

// A planned stop with many callers: each request that is served must be answered, and no
// request may be running when the server ends.
func TestStopUnderLoad(t *testing.T) {
	const callers, pause = 1000, time.Second
	srv := newTestServer(t, longGrace, answerSlowly)
	time.AfterFunc(time.Second, srv.stop)
	stillRunning := make(chan int64, 1)
	go func() {
		err := <-srv.runErr
		stillRunning <- srv.running.Load()
		srv.runErr <- err
	}()
	answered, lost := srv.runClients(callers, pause, time.Now().Add(5*time.Second))
	t.Logf("%d answered, %d lost, %d handed on, %d of these interrupted", answered, lost, srv.admitted.Load(), srv.interrupted.Load())
	if srv.interrupted.Load() > 0 || srv.admitted.Load() != answered {
		t.Errorf("%d requests were handed on, %d answered, %d interrupted by a closed connection", srv.admitted.Load(), answered, srv.interrupted.Load())
	}
	t.Logf("%s%s%d connections closed at the end of the grace", srv.log.firstLine("leaving"), srv.log.firstLine("stopped"),
		srv.metrics.Counter("connections_closed", meter.Label{Key: "why", Value: "end_of_the_grace"}).Count())
	if n := <-stillRunning; n > 0 {
		t.Errorf("the server ended with %d requests running", n)
	}
	if err := <-srv.runErr; err != nil {
		t.Error(err)
	}
}
