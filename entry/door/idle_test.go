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
	// tick is how often the door sweeps, with a margin.
	tick = 1500 * time.Millisecond
	// grace is long enough that it ends no stop, also of a process that hardly
	// gets to run: what it cuts would hide what else is cut.
	grace = time.Minute
)

// idleBound labels connections that were closed as idle for too long.
var idleBound = meter.Label{Key: "why", Value: "idle_bound"}

// crowd is callers that each keep a connection and send again and again, until a
// time, with pauses of up to most.
func (st *stand) crowd(n int, most time.Duration, end time.Time) (answered, lost int64) {
	var yes, no atomic.Int64
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			var c *client
			for time.Now().Before(end) {
				if c == nil {
					var err error
					if c, err = st.dial(); err != nil {
						return
					}
				}
				if c.ask("/crowd") == http.StatusOK {
					yes.Add(1)
				} else {
					no.Add(1)
					c.Close()
					c = nil
				}
				time.Sleep(rand.N(most))
			}
			if c != nil {
				c.Close()
			}
		})
	}
	all.Wait()
	return yes.Load(), no.Load()
}

func slowly(ctx context.Context, j *direct.Job, s direct.Sink) direct.Result {
	time.Sleep(20 * time.Millisecond)
	return fine(ctx, j, s)
}

// The operator lowers the bound on idle time while many connections are kept, and
// requests arrive in the moment in which their connections are swept. A sweep that
// goes by what the standard server calls idle closes connections whose request was
// read and is about to be handed on: the work is done, and its caller finds a
// closed connection in place of an answer ("7025 handed on, 42 of these cut"). Each
// request that is handed on must be answered.
func TestSweepAmongManyConnections(t *testing.T) {
	const callers, pause = 2000, 2500 * time.Millisecond
	st := newStand(t, grace, slowly)
	time.AfterFunc(1500*time.Millisecond, func() { st.idle.Store(int64(time.Second)) })
	answered, lost := st.crowd(callers, pause, time.Now().Add(5*time.Second))
	t.Logf("%d answered, %d lost, %d handed on, %d of these cut", answered, lost, st.handed.Load(), st.cut.Load())
	if st.cut.Load() > 0 || st.handed.Load() != answered {
		t.Errorf("%d requests were handed on, %d answered, %d had their connection closed", st.handed.Load(), answered, st.cut.Load())
	}
	if st.metrics.Counter("connections_closed", idleBound).Count() == 0 {
		t.Error("no connection was closed: nothing was tried")
	}
}

// The sweep is held at the first connection that it closes, and meanwhile a
// request comes on the other one, which would be closed next. The server reads it,
// and whoever shares a lock with the sweep waits, is closed and goes on all the
// same ("got 0; 1 requests handed on, 1 of these cut").
func TestRequestReadDuringASweep(t *testing.T) {
	t.Parallel()
	st := newStand(t, grace, fine)
	st.idle.Store(int64(50 * time.Millisecond))
	held := st.log.hold("connection_closed")
	one, two := st.connect(t), st.connect(t)
	<-held
	other := one
	if one.gone() {
		other = two
	}
	before := st.handed.Load()
	other.send("/other")
	// Let the server read it. It may be answered meanwhile or not.
	time.Sleep(200 * time.Millisecond)
	held <- true
	got := other.answer()
	time.Sleep(100 * time.Millisecond)
	if st.cut.Load() > 0 || st.handed.Load() == before || got != http.StatusOK {
		t.Errorf("got %d; %d requests handed on, %d of these cut", got, st.handed.Load()-before, st.cut.Load())
	}
}

// gone reports whether the connection was closed by the server.
func (c *client) gone() bool {
	c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := c.r.Peek(1)
	return err == io.EOF
}

// Of a request half has come, right behind the one before it, when its connection
// would be swept. The standard server calls that connection idle until the head is
// whole. But the request has begun, and its caller would find a closed connection
// where it was told that it may send.
func TestHalfRequestDuringASweep(t *testing.T) {
	t.Parallel()
	st := newStand(t, grace, fine)
	st.idle.Store(int64(50 * time.Millisecond))
	c, err := st.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /half HTTP/1.1\r\n")
	if got := c.answer(); got != http.StatusOK {
		t.Fatalf("the first answer: %d", got)
	}
	time.Sleep(tick)
	io.WriteString(c, "Host: a\r\n\r\n")
	if got := c.answer(); got != http.StatusOK {
		t.Errorf("got %d", got)
	}
}

// A planned stop closes idle connections just as a request is being read. The
// standard server's own stop closes that one too, and ends ("ended with <nil>
// before the request"). It must be answered before the process ends.
func TestHalfRequestDuringAStop(t *testing.T) {
	t.Parallel()
	st := newStand(t, grace, fine)
	c, idle := st.connect(t), st.connect(t)
	io.WriteString(c, "GET /half HTTP/1.1\r\n")
	st.stop()
	if idle.answer() != 0 {
		t.Error("an idle connection got an answer")
	}
	select {
	case err := <-st.ended:
		t.Fatalf("ended with %v before the request", err)
	case <-time.After(200 * time.Millisecond):
	}
	io.WriteString(c, "Host: a\r\n\r\n")
	if got := c.answer(); got != http.StatusOK {
		t.Errorf("got %d", got)
	}
	if err := <-st.ended; err != nil {
		t.Error(err)
	}
}

// A planned stop among many callers: each request that is handed on is answered,
// and by the time the door ends no request is left in it.
func TestStopAmongManyConnections(t *testing.T) {
	const callers, pause = 1000, time.Second
	st := newStand(t, grace, slowly)
	time.AfterFunc(time.Second, st.stop)
	left := make(chan int64, 1)
	go func() {
		err := <-st.ended
		left <- st.running.Load()
		st.ended <- err
	}()
	answered, lost := st.crowd(callers, pause, time.Now().Add(5*time.Second))
	t.Logf("%d answered, %d lost, %d handed on, %d of these cut", answered, lost, st.handed.Load(), st.cut.Load())
	if st.cut.Load() > 0 || st.handed.Load() != answered {
		t.Errorf("%d requests were handed on, %d answered, %d had their connection closed", st.handed.Load(), answered, st.cut.Load())
	}
	t.Logf("%s%s%d connections closed at the end of the grace", st.log.line("leaving"), st.log.line("stopped"),
		st.metrics.Counter("connections_closed", meter.Label{Key: "why", Value: "end_of_the_grace"}).Count())
	if n := <-left; n > 0 {
		t.Errorf("the door ended with %d requests in it", n)
	}
	if err := <-st.ended; err != nil {
		t.Error(err)
	}
}
