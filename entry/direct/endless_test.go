package direct

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lycheepond/core/memory"
)

// endlessBody is a form of a body that never ends.
type endlessBody struct{ name, head, part string }

// endlessBodies are the forms in which endpoints send bodies without end.
var endlessBodies = []endlessBody{
	{"chunks", "Transfer-Encoding: chunked\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	{"length", "Content-Length: 99999999999\r\n", strings.Repeat("x", 1<<10)},
	{"no framing", "", strings.Repeat("x", 1<<10)},
}

// serve returns an endpoint's answer with a status and the body, of which a part is sent in each
// interval until the connection is closed.
func (b endlessBody) serve(status int, interval time.Duration) func(*testEndpoint, net.Conn, *http.Request) {
	return func(_ *testEndpoint, c net.Conn, _ *http.Request) {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\nConnection: close\r\n%s\r\n", status, b.head)
		for err == nil {
			_, err = fmt.Fprint(c, b.part)
			time.Sleep(interval)
		}
	}
}

// Guards against an error with an endless body that delays the request at another endpoint, for as
// long as the body arrives.
func TestEndlessErrorDoesNotDelayRetry(t *testing.T) {
	for _, b := range endlessBodies {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			sound := newTestEndpoint(t, func(_ *testEndpoint, c net.Conn, _ *http.Request) { writeWhole(c, http.StatusOK, "answer") })
			h := newHarness(t, unaryRoute, newTestEndpoint(t, b.serve(http.StatusInternalServerError, time.Millisecond)), sound)
			start := time.Now()
			got := h.send(t.Context(), "x", callerAnswer{})
			if got.Outcome != Complete || got.body.String() != "answer" {
				t.Errorf("%v, %q", got.Outcome, got.Reason)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("answered after %v", took)
			}
		})
	}
}

// Guards against whole answers that are refused, cut or mixed up because there is no memory to hold
// them, and against memory that is not released.
func TestAnswersAreWholeWithoutMemory(t *testing.T) {
	var text strings.Builder
	for i := range 200_000 {
		fmt.Fprintln(&text, i)
	}
	long := text.String()
	event := "data: " + strings.ReplaceAll(long[:100_000], "\n", " ") + "\n\n"
	for name, tc := range map[string]struct {
		budget int64
		write  func(c net.Conn, body string)
		body   string
	}{
		"length":          {0, func(c net.Conn, body string) { writeWhole(c, http.StatusOK, body) }, long},
		"chunks":          {0, writeChunked, long},
		"chunks in part":  {256 << 10, writeChunked, long},
		"short":           {0, writeChunked, long[:unbudgetedBytes-1]},
		"held":            {4 << 20, writeChunked, long},
		"event that fits": {1 << 20, writeChunked, event},
	} {
		t.Run(name, func(t *testing.T) {
			r := unaryRoute
			r.Stream, r.Target = strings.Contains(name, "event"), r.Timeout
			h := newHarness(t, r, newTestEndpoint(t, func(_ *testEndpoint, c net.Conn, _ *http.Request) { tc.write(c, tc.body) }))
			h.d.answerMemory = memory.New(tc.budget)
			if got := h.send(t.Context(), "x", callerAnswer{}); got.Outcome != Complete || got.body.String() != tc.body {
				t.Errorf("%v, %q: %d bytes of %d", got.Outcome, got.Reason, got.body.Len(), len(tc.body))
			}
			if n := h.d.answerMemory.Held(); n != 0 {
				t.Errorf("%d bytes are held at the end", n)
			}
		})
	}
}

// writeChunked writes an answer in chunks of various lengths.
func writeChunked(c net.Conn, body string) {
	writeStreamHead(c)
	for n := 1; len(body) > 0; n = n*3%50_000 + 1 {
		n = min(n, len(body))
		writeChunk(c, body[:n])
		body = body[n:]
	}
	writeStreamEnd(c)
}

// Guards against an endpoint that goes on getting requests, as the nearest one, although its answers
// never end, so that no caller gets an answer although another endpoint is sound. The callers may
// leave before the request's own deadline.
func TestEndpointWithEndlessAnswersIsAvoided(t *testing.T) {
	const requests = 10
	for _, b := range endlessBodies {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, callers leave %v", b.name, leaves), func(t *testing.T) {
				t.Parallel()
				answer := func(_ *testEndpoint, c net.Conn, _ *http.Request) { writeWhole(c, http.StatusOK, "answer") }
				near := newTestEndpoint(t, func(e *testEndpoint, c net.Conn, r *http.Request) {
					if e.runs.Load() == 1 {
						answer(e, c, r)
						return
					}
					b.serve(http.StatusOK, 0)(e, c, r)
				})
				r := unaryRoute
				r.Repeatable, r.Timeout = false, 300*time.Millisecond
				h := newHarness(t, r, near, newTestEndpoint(t, answer))
				served := 0
				for i := range requests {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					if leaves {
						time.AfterFunc(r.Timeout*2/3, cancel)
					}
					if got := h.send(ctx, fmt.Sprint(i), callerAnswer{}); got.Outcome == Complete {
						served++
					}
					cancel()
				}
				if served < requests/2 {
					t.Errorf("%d of %d requests were served, %d ran at the faulty endpoint", served, requests, near.runs.Load())
				}
			})
		}
	}
}

// Guards against a caller that waits for an answer without end, or gets a part of it, although its
// request may be repeated and another endpoint has room. The body may be too long for its route,
// go on slowly, or stop.
func TestEndlessAnswerIsReplaced(t *testing.T) {
	for _, b := range endlessBodies {
		for name, interval := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond, "stops": time.Minute} {
			if b.name == "length" && name != "stops" {
				// The stated length is forwarded as it arrives.
				continue
			}
			t.Run(b.name+", "+name, func(t *testing.T) {
				t.Parallel()
				answer := func(_ *testEndpoint, c net.Conn, _ *http.Request) { writeWhole(c, http.StatusOK, "answer") }
				near := newTestEndpoint(t, func(e *testEndpoint, c net.Conn, r *http.Request) {
					switch {
					case e.runs.Load() == 1:
						answer(e, c, r)
					case b.name == "length":
						fmt.Fprint(c, "HTTP/1.1 200 x\r\nContent-Length: 9000\r\n\r\nhalf")
						e.pause(c, interval)
					case interval >= time.Minute:
						fmt.Fprintf(c, "HTTP/1.1 200 x\r\n%s\r\n%s", b.head, b.part)
						e.pause(c, interval)
					default:
						b.serve(http.StatusOK, interval)(e, c, r)
					}
				})
				h := newHarness(t, unaryRoute, near, newTestEndpoint(t, answer))
				// So little that the answer fills it before it is late.
				h.d.answerMemory = memory.New(1 << 20)
				for i := range 2 {
					start := time.Now()
					got := h.send(t.Context(), fmt.Sprint(i), callerAnswer{})
					if took := time.Since(start); got.Outcome != Complete || got.body.String() != "answer" || took > 2*time.Second {
						t.Errorf("%v after %v, %q, %d bytes", got.Outcome, took, got.Reason, got.body.Len())
					}
				}
				if !h.isIdle() || h.d.answerMemory.Held() != 0 {
					t.Errorf("work is still counted at an endpoint, or %d bytes are held", h.d.answerMemory.Held())
				}
			})
		}
	}
}
