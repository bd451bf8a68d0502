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
	"testing"
	"time"
)

// startEndpoint accepts connections, numbers them from zero and hands each to serve. It
// returns its address.
func startEndpoint(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
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

func newRequest(id string) *Request {
	return &Request{
		ID: id, Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {id}},
		MatchAnswer: func(_ int, h http.Header) Match {
			switch h.Get("Id") {
			case id:
				return Named
			case "":
				return Unnamed
			}
			return Foreign
		},
	}
}

// sendAndRead sends a request and returns the body of its answer.
func sendAndRead(t *testing.T, c *Client, addr string, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := c.Do(ctx, addr, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

func reply(c net.Conn, id, body string) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+twoDigits(len(body))+"\r\n\r\n"+body)
}

// twoDigits formats a number below 100.
// maxUnreadBytes is more than the kernel takes of what nobody reads before the connection is closed.
const maxUnreadBytes = 64 << 20

// writeEndlessly writes s again and again until the connection is closed, or 256 MiB at most. It
// returns how many bytes it wrote.
func writeEndlessly(c net.Conn, s string) int {
	n := 0
	for b := strings.Repeat(s, 100); n < 256<<20; {
		m, err := io.WriteString(c, b)
		if n += m; err != nil {
			break
		}
	}
	return n
}

func twoDigits(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

// An endpoint answers the first request twice. The second answer is already on the kept
// connection when the next request is sent, or arrives just after it. The next caller must not
// get the first caller's answer.
func TestDuplicateAnswerIsSkipped(t *testing.T) {
	for _, late := range []bool{false, true} {
		addr := startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
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
			if got, err := sendAndRead(t, c, addr, newRequest(id)); got != "answer to "+id || err != nil {
				t.Errorf("late %v, request %s: %q, %v", late, id, got, err)
			}
		}
	}
}

// Guards against a repeated answer that is taken for the answer to a later send of the same
// request, or, if it names no request, to any later request.
func TestRepeatedAnswerIsNotTakenForLaterSend(t *testing.T) {
	for name, tc := range map[string]struct {
		firstID string
		second  *Request
	}{
		"same request": {"a", newRequest("a")}, "same request, no ID": {"", newRequest("a")}, "other request, no ID": {"", newRequest("b")},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startEndpoint(t, func(n int, c net.Conn, r *bufio.Reader) {
				for refused := n > 0; ; refused = true {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if n == 0 {
						// The refusal, and its repetition where the next answer is expected.
						reply(c, tc.firstID, "refused")
					}
					if refused {
						reply(c, req.Header.Get("Id"), "done")
					}
				}
			})
			c := New()
			if got, err := sendAndRead(t, c, addr, newRequest("a")); got != "refused" || err != nil {
				t.Fatalf("first send: %q, %v", got, err)
			}
			if got, err := sendAndRead(t, c, addr, tc.second); got != "done" || err != nil {
				t.Errorf("second send: %q, %v", got, err)
			}
		})
	}
}

// Guards against a request that finds no connection because the idle ones, which fill the limit,
// have carried it before.
func TestIdleConnectionMakesRoomForRepeatedRequest(t *testing.T) {
	addr := startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			reply(c, req.Header.Get("Id"), "ok")
		}
	})
	c := New()
	c.SetLimit(addr, 1)
	for range 3 {
		a, err := c.Do(t.Context(), addr, newRequest("a"))
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, a)
		a.Close()
	}
}

// A slow endpoint reports repeatedly that it is still at work, with interim responses (102).
// If these counted as answers to other requests, the connection would be closed after the
// fourth and the real answer would be lost.
func TestInterimResponsesAreSkipped(t *testing.T) {
	addr := startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		for range 2 * maxForeignAnswers {
			io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
		}
		reply(c, "a", "answer")
	})
	if got, err := sendAndRead(t, New(), addr, newRequest("a")); got != "answer" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against an answer whose head never ends and takes the memory of the process: one line
// without an end, endless headers, or endless interim responses.
func TestEndlessHeadIsNoAnswer(t *testing.T) {
	for name, s := range map[string]string{
		"no line end": strings.Repeat("x", 1<<10), "headers": "X-Filler: x\r\n", "interim responses": "HTTP/1.1 102 Processing\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			addr := startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
				http.ReadRequest(r)
				if name == "headers" {
					io.WriteString(c, "HTTP/1.1 200 OK\r\n")
				}
				sent <- writeEndlessly(c, s)
			})
			if got, err := sendAndRead(t, New(), addr, newRequest("a")); !errors.Is(err, ErrUnknown) || !errors.Is(err, errLongHead) {
				t.Errorf("%q, %v", got, err)
			}
			if n := <-sent; n > maxUnreadBytes {
				t.Errorf("%d bytes were sent", n)
			}
		})
	}
}

// Guards against an answer to another request whose body never ends, so that the request waits
// for its deadline and gets nothing.
func TestEndlessForeignAnswerIsNotSkipped(t *testing.T) {
	part := strings.Repeat("x", 1<<10)
	for name, tc := range map[string]struct{ framing, part string }{
		"chunks": {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", len(part), part)}, "length": {"Content-Length: 99999999999", part},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			addr := startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
				http.ReadRequest(r)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: b\r\n%s\r\n\r\n", tc.framing)
				sent <- writeEndlessly(c, tc.part)
			})
			if got, err := sendAndRead(t, New(), addr, newRequest("a")); !errors.Is(err, ErrUnknown) || !errors.Is(err, errLongForeignAnswer) {
				t.Errorf("%q, %v", got, err)
			}
			if n := <-sent; n > maxUnreadBytes {
				t.Errorf("%d bytes were sent", n)
			}
		})
	}
}

// An endpoint resets the connection in the middle of an answer without a length. Half an
// answer must not count as a complete one.
func TestResetWithoutLengthIsIncomplete(t *testing.T) {
	addr := startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
		time.Sleep(50 * time.Millisecond)
		c.(*net.TCPConn).SetLinger(0)
	})
	if got, err := sendAndRead(t, New(), addr, newRequest("a")); err == nil {
		t.Errorf("%q counts as complete", got)
	}
}

// An endpoint that is shutting down closes its kept connections. A request that may run at
// most once and was written to such a connection would be lost for good.
func TestClosedIdleConnectionIsDetectedBeforeSending(t *testing.T) {
	closed := make(chan struct{})
	addr := startEndpoint(t, func(n int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		reply(c, req.Header.Get("Id"), "ok")
		if n == 0 {
			c.Close()
			close(closed)
		}
	})
	c := New()
	if _, err := sendAndRead(t, c, addr, newRequest("a")); err != nil {
		t.Fatal(err)
	}
	<-closed
	time.Sleep(20 * time.Millisecond)
	r := newRequest("b")
	r.AtMostOnce = true
	if got, err := sendAndRead(t, c, addr, r); got != "ok" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// An endpoint answers before it has read a long body and keeps the connection open. If the
// connection were reused, the endpoint would take the next request for the rest of that body.
func TestConnectionWithUnsentBodyIsNotReused(t *testing.T) {
	conns := make(chan int, 10)
	addr := startEndpoint(t, func(n int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		conns <- n
		reply(c, req.Header.Get("Id"), "no")
		time.Sleep(200 * time.Millisecond)
	})
	c := New()
	long := newRequest("a")
	long.Method, long.Body = "POST", []byte(strings.Repeat("x", 32<<20))
	if got, err := sendAndRead(t, c, addr, long); got != "no" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if got, err := sendAndRead(t, c, addr, newRequest("b")); got != "no" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if first, second := <-conns, <-conns; first == second {
		t.Error("the connection was reused")
	}
}

// A request may be sent again safely only if it was not sent. A connection that is closed after
// the request was sent must not be reported like one that was refused.
func TestErrorsDistinguishNotSentFromUnknown(t *testing.T) {
	addr := startEndpoint(t, func(_ int, _ net.Conn, r *bufio.Reader) { http.ReadRequest(r) })
	if _, err := sendAndRead(t, New(), addr, newRequest("a")); !errors.Is(err, ErrUnknown) {
		t.Errorf("closed after the request: %v", err)
	}
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	ln.Close()
	if _, err := sendAndRead(t, New(), ln.Addr().String(), newRequest("a")); !errors.Is(err, ErrNotSent) {
		t.Errorf("nothing listens: %v", err)
	}
}

// When a caller leaves, its endpoint must be freed at once.
func TestCancelClosesConnection(t *testing.T) {
	readErr := make(chan error, 1)
	addr := startEndpoint(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		_, err := r.ReadByte()
		readErr <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := New().Do(ctx, addr, newRequest("a")); err == nil {
		t.Fatal("got an answer after the cancellation")
	}
	select {
	case <-readErr:
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint's connection is still open")
	}
}

// A cancelled exchange fails like one that timed out. Without the cause in its error, an
// exchange that the entry gave up would look like a failure of the endpoint, before the head of
// the answer as well as after it.
func TestCancelledExchangeReturnsCause(t *testing.T) {
	cause := errors.New("given up")
	for _, headSent := range []bool{false, true} {
		addr := startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			if headSent {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nhalf")
			}
			r.ReadByte()
		})
		ctx, cancel := context.WithCancelCause(context.Background())
		time.AfterFunc(20*time.Millisecond, func() { cancel(cause) })
		a, err := New().Do(ctx, addr, newRequest("a"))
		if headSent && err == nil {
			_, err = io.ReadAll(a)
			a.Close()
		}
		if !errors.Is(err, cause) {
			t.Errorf("head sent %v: %v", headSent, err)
		}
	}
}
