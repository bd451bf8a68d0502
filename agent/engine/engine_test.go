package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lycheepond/agent/call"
	"lycheepond/core/ident"
	"lycheepond/core/wire"
)

// caller records what the caller of a request would receive.
type caller struct {
	status int
	chunks []string
}

func (c *caller) sink() call.Sink {
	return call.Sink{
		Head: func(status int, _ []wire.Field) { c.status = status },
		Chunk: func(_ context.Context, data []byte) error {
			c.chunks = append(c.chunks, string(data))
			return nil
		},
	}
}

func newTestEngine(t *testing.T, h http.HandlerFunc) *Engine {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return New(s.URL, call.NewClient(), s.Client())
}

func newRequest(id uint64) *call.Request {
	return &call.Request{ID: ident.Make(1, id), Method: http.MethodPost, Path: "/v1/completions", Body: []byte(`{}`)}
}

func (c *caller) run(t *testing.T, e *Engine, r *call.Request) call.Result {
	t.Helper()
	return e.Run(context.Background(), r, c.sink(), call.NewProgress())
}

const usageBody = `{"usage":{"prompt_tokens":9,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}}`

func writeEvent(w io.Writer, data string) {
	fmt.Fprintf(w, "data: %s\n\n", data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// Each event must be one chunk, because a stream is resumed by the number of its
// events.
func TestStreamIsRelayedEventByEvent(t *testing.T) {
	e := newTestEngine(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(call.IDHeader) != ident.Make(1, 1).String() {
			t.Errorf("header %q", r.Header.Get(call.IDHeader))
		}
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvent(w, `{"text":"a"}`)
		writeEvent(w, usageBody)
		writeEvent(w, "[DONE]")
	})
	var c caller
	res := c.run(t, e, newRequest(1))
	if !res.Complete || c.status != 200 || len(c.chunks) != 3 || c.chunks[0] != "data: {\"text\":\"a\"}\n\n" {
		t.Fatalf("%+v %q", res, c.chunks)
	}
	if u := res.Usage; u.PromptTokens != 9 || u.CachedTokens != 4 || u.OutputTokens != 2 {
		t.Fatalf("usage %+v", u)
	}
}

// The connection to the engine breaks in the middle of a stream, and the engine
// continues to run the request. The caller must get the remaining events without
// a gap or a duplicate, and the request must not be sent again.
func TestBrokenStreamIsResumed(t *testing.T) {
	var posts atomic.Int64
	e := newTestEngine(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Method == http.MethodPost {
			posts.Add(1)
			writeEvent(w, "1")
			writeEvent(w, "2")
			fmt.Fprint(w, "data: half")
			panic(http.ErrAbortHandler)
		}
		if !strings.HasSuffix(r.URL.Path, "/stream") || r.URL.Query().Get("from") != "2" {
			t.Errorf("resumed by %s", r.URL)
		}
		writeEvent(w, "3")
		writeEvent(w, "[DONE]")
	})
	var c caller
	r := newRequest(1)
	r.Stream = true
	res := c.run(t, e, r)
	if got := strings.Join(c.chunks, ""); !res.Complete || got != "data: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n\n" {
		t.Fatalf("%+v %q", res, got)
	}
	if posts.Load() != 1 {
		t.Fatalf("the request was sent %d times", posts.Load())
	}
}

// The engine fails and does not come back. The end of its connection looks like
// the end of the answer, but part of the answer is missing.
func TestTruncatedAnswersAreIncomplete(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"stream that ends early": func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				http.NotFound(w, r)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			writeEvent(w, "1")
		},
		"answer shorter than announced": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, usageBody)
		},
		"half a JSON text": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, usageBody[:20])
		},
	} {
		var c caller
		if res := c.run(t, newTestEngine(t, h), newRequest(1)); res.Complete || !res.Sent || res.Err == nil {
			t.Errorf("%s: %+v", name, res)
		}
	}
}

// An unstreamed answer must arrive unchanged, and its usage must be read.
func TestUnstreamedAnswerAndUsage(t *testing.T) {
	e := newTestEngine(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, usageBody) })
	var c caller
	res := c.run(t, e, newRequest(1))
	if !res.Complete || strings.Join(c.chunks, "") != usageBody || res.Usage.PromptTokens != 9 {
		t.Fatalf("%+v %q", res, c.chunks)
	}
}

// No process listens on the engine's address. Only this failure may be reported to
// the caller as a request that was not run.
func TestUnreachableEngineIsNotSent(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	url := s.URL
	s.Close()
	e := New(url, call.NewClient(), http.DefaultClient)
	var c caller
	if res := c.run(t, e, newRequest(1)); res.Sent || !errors.Is(res.Err, call.ErrUnreachable) {
		t.Fatalf("%+v", res)
	}
	if _, err := FetchLoad(context.Background(), http.DefaultClient, url); !errors.Is(err, ErrConnectionRefused) {
		t.Fatalf("report: %v", err)
	}
}

// The engine closes a connection without an answer. On a reused connection
// net/http would send a request with an idempotency key again, and the engine
// could run a request twice that must run once.
func TestRequestIsNeverSentTwice(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var conns atomic.Int64
	acceptDone := make(chan struct{})
	go func() {
		defer close(acceptDone)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if conns.Add(1) == 1 {
				// The first call is answered on a connection that stays open
				// until the client writes again. If the second call reused it,
				// it would be closed without an answer.
				_, _ = conn.Read(make([]byte, 4096))
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(usageBody), usageBody)
			}
			_, _ = conn.Read(make([]byte, 4096))
			conn.Close()
		}
	}()
	e := New("http://"+ln.Addr().String(), call.NewClient(), http.DefaultClient)
	r := newRequest(1)
	r.Header = []wire.Field{{Name: "Idempotency-Key", Value: "k"}}
	var c caller
	if res := c.run(t, e, r); !res.Complete {
		t.Fatalf("%+v", res)
	}
	if res := c.run(t, e, r); res.Complete || !res.Sent {
		t.Fatalf("%+v", res)
	}
	ln.Close()
	<-acceptDone
	if n := conns.Load(); n != 2 {
		t.Fatalf("%d connections for two calls", n)
	}
}

// The process is paused between its decision to send and the write. The guard
// must stop requests and orders before their first byte.
func TestGuardStopsRequestBeforeFirstByte(t *testing.T) {
	var requests atomic.Int64
	e := newTestEngine(t, func(http.ResponseWriter, *http.Request) { requests.Add(1) })
	errExpired := errors.New("late")
	r := newRequest(1)
	r.Guard = &call.Guard{Check: func() error { return errExpired }}
	var c caller
	if res := c.run(t, e, r); res.Sent || !errors.Is(res.Err, errExpired) || !r.Guard.Blocked() {
		t.Fatalf("%+v", res)
	}
	if err := e.SendOrder(context.Background(), Order{Fence: 1, Guard: r.Guard}); !errors.Is(err, errExpired) {
		t.Fatalf("order: %v", err)
	}
	if requests.Load() != 0 {
		t.Fatal("the engine was reached")
	}
}

// The engine rejects an order with an old fencing number.
func TestOrderIsFenced(t *testing.T) {
	e := newTestEngine(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path != "/orders" || string(body) != `{"fence":7,"model":"m","version":"v2","adapter":"","role":""}` {
			t.Errorf("order %s %s", r.URL.Path, body)
		}
		w.WriteHeader(http.StatusConflict)
	})
	if err := e.SendOrder(context.Background(), Order{Fence: 7, Model: "m", Version: "v2"}); !errors.Is(err, ErrFenced) {
		t.Fatal(err)
	}
}

// Cancel must name the request in its path, and report a request that the engine
// does not know.
func TestCancel(t *testing.T) {
	e := newTestEngine(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/requests/"+ident.Make(1, 1).String()+"/cancel" {
			http.NotFound(w, r)
		}
	})
	if err := e.Cancel(context.Background(), ident.Make(1, 1)); err != nil {
		t.Fatal(err)
	}
	if err := e.Cancel(context.Background(), ident.Make(1, 2)); !errors.Is(err, ErrUnknown) {
		t.Fatal(err)
	}
}

// Guards against a cancellation that never returns because its answer never ends.
func TestEndlessAnswerToCancel(t *testing.T) {
	e := newTestEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		for err := error(nil); err == nil; {
			_, err = w.Write(make([]byte, 1<<20))
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := e.Cancel(ctx, ident.Make(1, 1)); err != nil {
		t.Error(err)
	}
}

// No input may make the relay pass on more bytes than it has read.
func FuzzReadStream(f *testing.F) {
	f.Add("data: a\n\ndata: [DONE]\n\n")
	f.Add("\r\n\r\ndata: x\r\n\r\n")
	f.Add("data: half")
	f.Fuzz(func(t *testing.T, in string) {
		a := &relay{progress: call.NewProgress()}
		relayed := 0
		a.sink.Chunk = func(_ context.Context, data []byte) error {
			relayed += len(data)
			return nil
		}
		_ = a.readStream(context.Background(), strings.NewReader(in))
		if relayed > len(in) {
			t.Fatalf("%d bytes relayed of %d", relayed, len(in))
		}
	})
}
