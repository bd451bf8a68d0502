package door

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"lycheepond/entry/direct"
)

// A panic in a handler must show in the log and the metrics. Its caller must notice it: by a
// status if nothing has been written yet, and otherwise by a connection that ends before the
// answer does.
func TestHandlerPanicIsReported(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t, time.Second, func(_ context.Context, j *direct.Job, s direct.Sink) direct.Result {
		if j.ID == "/late" {
			s.Head(http.StatusOK, http.Header{}, 100)
			s.Flush()
		}
		panic("no such thing")
	})
	for path, want := range map[string]int{"/early": http.StatusBadGateway, "/late": 0} {
		c, err := srv.dial()
		if err != nil {
			t.Fatal(err)
		}
		if got := c.get(path); got != want {
			t.Errorf("%s: got %d, want %d", path, got, want)
		}
		c.Close()
	}
	line := srv.log.firstLine("handler_panicked")
	if !strings.Contains(line, "no such thing") || !strings.Contains(line, "answer_test.go") || !strings.Contains(line, `"request_id":"/`) {
		t.Errorf("the log says %q", line)
	}
	if n := srv.metrics.Counter("handlers_panicked").Count(); n != 2 {
		t.Errorf("%d panics counted", n)
	}
	if srv.log.firstLine("server_told") != "" {
		t.Error("net/http logged the panic too")
	}
}

// A caller does not read its answer. The answer is given up at its deadline, which must not
// look like a caller that left.
func TestUnreadAnswerIsLogged(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t, time.Second, func(_ context.Context, _ *direct.Job, s direct.Sink) direct.Result {
		s.Head(http.StatusOK, http.Header{}, -1)
		var err error
		for err == nil {
			err = s.Write(make([]byte, 1<<20))
		}
		return direct.Result{Outcome: direct.CallerLeft, Reason: "caller left"}
	})
	srv.routeTimeout.Store(int64(100 * time.Millisecond))
	c, err := srv.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.sendRequest("/slow")
	waitFor(t, "the log line", func() bool { return srv.log.firstLine("answer_not_taken") != "" })
	if line := srv.log.firstLine("answer_not_taken"); !strings.Contains(line, `"request_id":"/slow"`) {
		t.Errorf("the log says %q", line)
	}
	if n := srv.metrics.Counter("answers_not_taken").Count(); n != 1 {
		t.Errorf("%d answers counted", n)
	}
}

// A caller sends requests and reads no answers, not even refusals. It must not keep its
// connection forever.
func TestRefusalNotTaken(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t, time.Second, answerOK)
	srv.hasSynced.Store(false)
	c, err := srv.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	writeErr := make(chan error, 1)
	go func() {
		requests := []byte(strings.Repeat("GET /x HTTP/1.1\r\nHost: a\r\n\r\n", 1000))
		for {
			if _, err := c.Write(requests); err != nil {
				writeErr <- err
				return
			}
		}
	}()
	select {
	case <-writeErr:
	case <-time.After(30 * time.Second):
		t.Fatal("the connection is held")
	}
	if srv.log.firstLine("answer_not_taken") == "" {
		t.Error("the log does not say that the answer was not read")
	}
}

// Refusals without a body must keep the connection open.
func TestRefusalsKeepConnectionOpen(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t, time.Second, func(_ context.Context, j *direct.Job, s direct.Sink) direct.Result {
		if j.ID == "/no" {
			return direct.Result{Outcome: direct.Refused, RetryAfter: time.Second}
		}
		return answerOK(context.Background(), j, s)
	})
	c := srv.connectIdle(t)
	for _, path := range []string{"/no", "/yes", "/no", "/no", "/yes"} {
		want := http.StatusOK
		if path == "/no" {
			want = http.StatusServiceUnavailable
		}
		if got := c.get(path); got != want {
			t.Fatalf("%s: got %d", path, got)
		}
	}
}
