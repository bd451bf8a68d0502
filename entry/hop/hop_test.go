package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// endpoint accepts connections and hands each to serve, in order.
func endpoint(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func(n int) {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}(n)
		}
	}()
	return ln.Addr().String()
}

func request(id string) *Request {
	return &Request{
		Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {id}},
		Own: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

func read(t *testing.T, c *Client, addr string, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := c.Do(ctx, addr, 0, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

func reply(c net.Conn, id, body string) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

// An endpoint answers the first request twice. The second answer lies on the
// kept connection when the next request goes out, or comes right after it. The
// next caller would get the bytes of the first one's answer.
func TestSecondAnswerIsNotTakenForTheNext(t *testing.T) {
	for _, late := range []bool{false, true} {
		addr := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
			first, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := first.Header.Get("Id")
			reply(c, id, "answer to "+id)
			if !late {
				reply(c, id, "again to "+id)
			}
			second, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if late {
				reply(c, id, "again to "+id)
			}
			reply(c, second.Header.Get("Id"), "answer to "+second.Header.Get("Id"))
		})
		c := New()
		for _, id := range []string{"a", "b"} {
			if got, err := read(t, c, addr, request(id)); got != "answer to "+id || err != nil {
				t.Errorf("late %v, request %s: %q, %v", late, id, got, err)
			}
		}
	}
}

// A slow endpoint says again and again that it is at work, with answers that are
// none yet (102). If they count as answers to other requests, the connection is
// given up after the fourth and the real answer is lost.
func TestInterimAnswersDoNotEndTheWait(t *testing.T) {
	addr := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		for range 2 * maxForeign {
			io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
		}
		reply(c, "a", "answer")
	})
	if got, err := read(t, New(), addr, request("a")); got != "answer" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// An endpoint resets the connection in the middle of an answer that has no
// length. Half an answer would pass for a whole one.
func TestResetAnswerWithoutLengthIsNotWhole(t *testing.T) {
	addr := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
		time.Sleep(50 * time.Millisecond)
		c.(*net.TCPConn).SetLinger(0)
	})
	if got, err := read(t, New(), addr, request("a")); err == nil {
		t.Errorf("%q passed for whole", got)
	}
}

// An endpoint that leaves closes its kept connections. A request that may run
// once only and was written to such a connection would be lost for good.
func TestClosedKeptConnectionIsNoticedBeforeSending(t *testing.T) {
	closed := make(chan struct{})
	addr := endpoint(t, func(n int, c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		reply(c, q.Header.Get("Id"), "ok")
		if n == 0 {
			c.Close()
			close(closed)
		}
	})
	c := New()
	if _, err := read(t, c, addr, request("a")); err != nil {
		t.Fatal(err)
	}
	<-closed
	time.Sleep(20 * time.Millisecond)
	r := request("b")
	r.Once = true
	if got, err := read(t, c, addr, r); got != "ok" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// An endpoint answers before it has read a long body and keeps the connection.
// It would take the next request for the rest of that body.
func TestConnectionWithUnsentBodyIsNotUsedAgain(t *testing.T) {
	conns := make(chan int, 10)
	addr := endpoint(t, func(n int, c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		conns <- n
		reply(c, q.Header.Get("Id"), "no")
		time.Sleep(200 * time.Millisecond)
	})
	c := New()
	long := request("a")
	long.Method, long.Body = "POST", []byte(strings.Repeat("x", 32<<20))
	if got, err := read(t, c, addr, long); got != "no" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if got, err := read(t, c, addr, request("b")); got != "no" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if a, b := <-conns, <-conns; a == b {
		t.Error("the connection was used again")
	}
}

func TestErrorsTellWhetherItMayHaveRun(t *testing.T) {
	addr := endpoint(t, func(_ int, _ net.Conn, r *bufio.Reader) { http.ReadRequest(r) })
	if _, err := read(t, New(), addr, request("a")); !errors.Is(err, ErrUnknown) {
		t.Errorf("closed after the request: %v", err)
	}
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	ln.Close()
	if _, err := read(t, New(), ln.Addr().String(), request("a")); !errors.Is(err, ErrNotSent) {
		t.Errorf("nobody listens: %v", err)
	}
}

// A caller that leaves must free its endpoint at once.
func TestCancelClosesTheConnection(t *testing.T) {
	gone := make(chan error, 1)
	addr := endpoint(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		_, err := r.ReadByte()
		gone <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := New().Do(ctx, addr, 0, request("a")); err == nil {
		t.Fatal("an answer")
	}
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint still has its connection")
	}
}

// A cancelled exchange fails as one that came too late does. Without the cause
// in its error, an entry that gave up could not be told from an endpoint that
// failed, neither before the head of the answer nor after it.
func TestCancelledExchangeTellsTheCause(t *testing.T) {
	given := errors.New("given up")
	for _, headCame := range []bool{false, true} {
		addr := endpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			if headCame {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nhalf")
			}
			r.ReadByte()
		})
		ctx, cancel := context.WithCancelCause(context.Background())
		time.AfterFunc(20*time.Millisecond, func() { cancel(given) })
		a, err := New().Do(ctx, addr, 0, request("a"))
		if headCame && err == nil {
			_, err = io.ReadAll(a)
			a.Close()
		}
		if !errors.Is(err, given) {
			t.Errorf("head came %v: %v", headCame, err)
		}
	}
}
