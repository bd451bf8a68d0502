package hop

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// heldEndpoint answers requests on any number of connections once release has a value for each.
type heldEndpoint struct {
	addr          string
	release       chan bool
	conns, served atomic.Int64
	// shared is set once there were several connections at once.
	shared atomic.Bool
}

func startHeldEndpoint(t *testing.T) *heldEndpoint {
	e := &heldEndpoint{release: make(chan bool, 1000)}
	e.addr = startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		n := e.conns.Add(1)
		defer e.conns.Add(-1)
		if n > 1 {
			e.shared.Store(true)
		}
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			<-e.release
			e.served.Add(1)
			reply(c, req.Header.Get("Id"), "ok")
		}
	})
	return e
}

// awaitWaiting waits until n requests wait for a connection to addr.
func awaitWaiting(t *testing.T, c *Client, addr string, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, waiting := c.InUse(addr); waiting == n {
			return
		}
	}
	t.Fatalf("%d requests do not wait", n)
}

// awaitUsed waits until one connection to addr is in use.
func awaitUsed(t *testing.T, c *Client, addr string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if used, _ := c.InUse(addr); used == 1 {
			return
		}
	}
	t.Fatal("no connection is in use")
}

// sendWaiting sends a request that may wait for a connection, and sends its ID on done once it is
// answered.
func sendWaiting(t *testing.T, c *Client, addr, id string, rank int, done chan<- string) {
	r := newRequest(id)
	r.Rank, r.MaxConnWait = rank, 5*time.Second
	if _, err := sendAndRead(t, c, addr, r); err != nil {
		id += ": " + err.Error()
	}
	done <- id
}

// Guards against a request of a higher tier that gets its connection after lower ones, and against
// more connections than the limit, which the endpoint would reset.
func TestWaitingRequestsGetConnectionsByRank(t *testing.T) {
	c, e, done := New(), startHeldEndpoint(t), make(chan string, 10)
	c.SetLimit(e.addr, 1)
	go sendWaiting(t, c, e.addr, "first", 0, done)
	awaitUsed(t, c, e.addr)
	for i, rank := range []int{1, 1, 0} {
		go sendWaiting(t, c, e.addr, fmt.Sprint("rank ", rank, " no. ", i), rank, done)
		awaitWaiting(t, c, e.addr, i+1)
	}
	var got []string
	for range 4 {
		e.release <- true
		got = append(got, <-done)
	}
	if want := "first, rank 0 no. 2, rank 1 no. 0, rank 1 no. 1"; strings.Join(got, ", ") != want {
		t.Errorf("answered in the order %s, want %s", strings.Join(got, ", "), want)
	}
	if e.shared.Load() {
		t.Error("several connections at once, 1 allowed")
	}
}

// Guards against requests that wait on although the entry may have more connections now.
func TestHigherLimitEndsWait(t *testing.T) {
	c, e, done := New(), startHeldEndpoint(t), make(chan string, 10)
	c.SetLimit(e.addr, 1)
	for i := range 4 {
		go sendWaiting(t, c, e.addr, fmt.Sprint(i), 0, done)
	}
	awaitWaiting(t, c, e.addr, 3)
	c.SetLimit(e.addr, 3)
	awaitWaiting(t, c, e.addr, 1)
	for range 4 {
		e.release <- true
		if id := <-done; len(id) > 1 {
			t.Error(id)
		}
	}
	if open := c.SetLimit(e.addr, 1); open != 1 {
		t.Errorf("%d connections are left after the idle ones were closed, want 1", open)
	}
}

// Guards against a wait that outlasts its bound, and against a request that is sent after its wait
// although its endpoint must not get it any more.
func TestWaitForConnectionEnds(t *testing.T) {
	errNotAllowed := errors.New("not allowed")
	c, e, done := New(), startHeldEndpoint(t), make(chan string, 10)
	c.SetLimit(e.addr, 1)
	go sendWaiting(t, c, e.addr, "first", 0, done)
	awaitUsed(t, c, e.addr)
	r := newRequest("bounded")
	r.MaxConnWait = 30 * time.Millisecond
	if _, err := c.Do(t.Context(), e.addr, r); !errors.Is(err, ErrBusy) {
		t.Errorf("after the bound: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	r = newRequest("cancelled")
	r.MaxConnWait = time.Minute
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := c.Do(ctx, e.addr, r); !errors.Is(err, ErrBusy) {
		t.Errorf("after the caller has left: %v", err)
	}
	r = newRequest("stopped")
	r.MaxConnWait, r.AfterConnWait = time.Minute, func() error { return errNotAllowed }
	time.AfterFunc(10*time.Millisecond, func() { e.release <- true })
	if _, err := c.Do(t.Context(), e.addr, r); !errors.Is(err, errNotAllowed) {
		t.Errorf("after a wait that must not end with a send: %v", err)
	}
	<-done
	if n := e.served.Load(); n != 1 {
		t.Errorf("%d requests were sent, want 1", n)
	}
	if n := c.AllConns(); n != 0 {
		t.Errorf("%d connections are counted, want 0", n)
	}
}

// Guards against connections that are counted twice or never uncounted when requests, limits, ends
// of connections and cancellations overlap: the entry could use ever fewer of them.
func TestConnectionsAreCountedOnce(t *testing.T) {
	const limit = 4
	addr := startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for range 5 {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			time.Sleep(time.Millisecond)
			reply(c, req.Header.Get("Id"), "ok")
		}
	})
	c := New()
	c.SetLimit(addr, limit)
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			for n := range 60 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+(i*7+n)%20)*time.Millisecond)
				r := newRequest(fmt.Sprint(i, "-", n))
				r.Rank, r.MaxConnWait = i%3, time.Duration(n%30)*time.Millisecond
				if a, err := c.Do(ctx, addr, r); err == nil {
					io.Copy(io.Discard, a)
					a.Close()
				}
				cancel()
				if open := c.Conns(addr); open > limit {
					t.Errorf("%d connections, %d allowed", open, limit)
				}
				if n%10 == 0 {
					c.SetLimit(addr, limit-n/10%3)
				}
			}
		})
	}
	callers.Wait()
	c.CloseIdle(addr)
	if n := c.AllConns(); n != 0 {
		t.Errorf("%d connections are still counted", n)
	}
}
