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

	"lycheepond/agent/call"
	"lycheepond/core/ident"
	"lycheepond/core/wire"
)

// caller collects what the caller of a request would get.
type caller struct {
	status int
	pieces []string
}

func (c *caller) sink() call.Sink {
	return call.Sink{
		Head: func(status int, _ []wire.Field) { c.status = status },
		Chunk: func(_ context.Context, data []byte) error {
			c.pieces = append(c.pieces, string(data))
			return nil
		},
	}
}

func at(t *testing.T, h http.HandlerFunc) *Engine {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return New(s.URL, call.Client(), s.Client())
}

func ask(id uint64) *call.Request {
	return &call.Request{ID: ident.Make(1, id), Method: http.MethodPost, Path: "/v1/completions", Body: []byte(`{}`)}
}

func (c *caller) run(t *testing.T, e *Engine, r *call.Request) call.Result {
	t.Helper()
	return e.Run(context.Background(), r, c.sink(), call.NewProgress())
}

const usage = `{"usage":{"prompt_tokens":9,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}}`

func event(w io.Writer, data string) {
	fmt.Fprintf(w, "data: %s\n\n", data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func TestStreamIsRelayedByEvent(t *testing.T) {
	e := at(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(call.IDHeader) != ident.Make(1, 1).String() {
			t.Errorf("header %q", r.Header.Get(call.IDHeader))
		}
		w.Header().Set("Content-Type", "text/event-stream")
		event(w, `{"text":"a"}`)
		event(w, usage)
		event(w, "[DONE]")
	})
	var c caller
	res := c.run(t, e, ask(1))
	if !res.Whole || c.status != 200 || len(c.pieces) != 3 || c.pieces[0] != "data: {\"text\":\"a\"}\n\n" {
		t.Fatalf("%+v %q", res, c.pieces)
	}
	if u := res.Usage; u.PromptTokens != 9 || u.CachedTokens != 4 || u.OutputTokens != 2 {
		t.Fatalf("usage %+v", u)
	}
}

// The connection to the engine breaks in the middle of a stream while the
// engine goes on. The caller must get the rest without a gap or a repetition.
func TestBrokenStreamIsTakenUpAgain(t *testing.T) {
	var posts atomic.Int64
	e := at(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Method == http.MethodPost {
			posts.Add(1)
			event(w, "1")
			event(w, "2")
			fmt.Fprint(w, "data: half")
			panic(http.ErrAbortHandler)
		}
		if !strings.HasSuffix(r.URL.Path, "/stream") || r.URL.Query().Get("from") != "2" {
			t.Errorf("resumed by %s", r.URL)
		}
		event(w, "3")
		event(w, "[DONE]")
	})
	var c caller
	r := ask(1)
	r.Stream = true
	res := c.run(t, e, r)
	if got := strings.Join(c.pieces, ""); !res.Whole || got != "data: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n\n" {
		t.Fatalf("%+v %q", res, got)
	}
	if posts.Load() != 1 {
		t.Fatalf("the request was sent %d times", posts.Load())
	}
}

// The engine fails for good. The end of its connection looks like the end of
// an answer, but the last event is missing.
func TestTruncatedAnswersAreNotWhole(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"stream that ends early": func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				http.NotFound(w, r)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			event(w, "1")
		},
		"answer shorter than announced": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, usage)
		},
		"half a JSON text": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, usage[:20])
		},
	} {
		var c caller
		if res := c.run(t, at(t, h), ask(1)); res.Whole || !res.Sent || res.Err == nil {
			t.Errorf("%s: %+v", name, res)
		}
	}
}

func TestWholeAnswerAndUsage(t *testing.T) {
	e := at(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, usage) })
	var c caller
	res := c.run(t, e, ask(1))
	if !res.Whole || strings.Join(c.pieces, "") != usage || res.Usage.PromptTokens != 9 {
		t.Fatalf("%+v %q", res, c.pieces)
	}
}

// Nobody listens where the engine should be. This is the one failure after
// which the caller may be told that its request was not run.
func TestUnreachableIsNotSent(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	url := s.URL
	s.Close()
	e := New(url, call.Client(), http.DefaultClient)
	var c caller
	if res := c.run(t, e, ask(1)); res.Sent || !errors.Is(res.Err, call.ErrUnreachable) {
		t.Fatalf("%+v", res)
	}
	if _, err := Report(context.Background(), http.DefaultClient, url); !errors.Is(err, ErrRefused) {
		t.Fatalf("report: %v", err)
	}
}

// The engine takes the connection and closes it without an answer. The HTTP
// library would send a request that bears an idempotency key again by itself,
// and a register submission would be made twice.
func TestRequestIsNeverSentTwice(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var conns atomic.Int64
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if conns.Add(1) == 1 {
				// The first call is answered, the connection kept and then
				// closed under the second.
				_, _ = conn.Read(make([]byte, 4096))
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(usage), usage)
			}
			_, _ = conn.Read(make([]byte, 4096))
			conn.Close()
		}
	}()
	e := New("http://"+ln.Addr().String(), call.Client(), http.DefaultClient)
	r := ask(1)
	r.Header = []wire.Field{{Name: "Idempotency-Key", Value: "k"}}
	var c caller
	if res := c.run(t, e, r); !res.Whole {
		t.Fatalf("%+v", res)
	}
	if res := c.run(t, e, r); res.Whole || !res.Sent {
		t.Fatalf("%+v", res)
	}
	ln.Close()
	<-accepting
	if n := conns.Load(); n != 2 {
		t.Fatalf("%d connections for two calls", n)
	}
}

// The process is paused between its decision and the write.
func TestGuardHoldsTheRequestBack(t *testing.T) {
	var served atomic.Int64
	e := at(t, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	errLate := errors.New("late")
	r := ask(1)
	r.Guard = &call.Guard{Check: func() error { return errLate }}
	var c caller
	if res := c.run(t, e, r); res.Sent || !errors.Is(res.Err, errLate) || !r.Guard.Blocked() {
		t.Fatalf("%+v", res)
	}
	if err := e.Give(context.Background(), Order{Fence: 1, Guard: r.Guard}); !errors.Is(err, errLate) {
		t.Fatalf("order: %v", err)
	}
	if served.Load() != 0 {
		t.Fatal("the engine was reached")
	}
}

func TestOrderIsFenced(t *testing.T) {
	e := at(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path != "/orders" || string(body) != `{"fence":7,"model":"m","version":"v2","adapter":"","role":""}` {
			t.Errorf("order %s %s", r.URL.Path, body)
		}
		w.WriteHeader(http.StatusConflict)
	})
	if err := e.Give(context.Background(), Order{Fence: 7, Model: "m", Version: "v2"}); !errors.Is(err, ErrFenced) {
		t.Fatal(err)
	}
}

func TestCancel(t *testing.T) {
	e := at(t, func(w http.ResponseWriter, r *http.Request) {
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

func FuzzReadEvent(f *testing.F) {
	f.Add("data: a\n\ndata: [DONE]\n\n")
	f.Add("\r\n\r\ndata: x\r\n\r\n")
	f.Add("data: half")
	f.Fuzz(func(t *testing.T, in string) {
		a := &relay{progress: call.NewProgress()}
		n := 0
		a.sink.Chunk = func(_ context.Context, data []byte) error {
			n += len(data)
			return nil
		}
		_ = a.stream(context.Background(), strings.NewReader(in))
		if n > len(in) {
			t.Fatalf("%d bytes relayed of %d", n, len(in))
		}
	})
}
