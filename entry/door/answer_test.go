package door

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"lycheepond/entry/direct"
)

// A fault of the program in a handler must be seen in log and metrics, and its
// caller hears of it: by a status while it has nothing yet, else by a connection
// that ends before the answer does.
func TestPanicOfAHandler(t *testing.T) {
	t.Parallel()
	st := newStand(t, time.Second, func(_ context.Context, j *direct.Job, s direct.Sink) direct.Result {
		if j.ID == "/late" {
			s.Head(http.StatusOK, http.Header{}, 100)
			s.Flush()
		}
		panic("no such thing")
	})
	for path, want := range map[string]int{"/early": http.StatusBadGateway, "/late": 0} {
		c, err := st.dial()
		if err != nil {
			t.Fatal(err)
		}
		if got := c.ask(path); got != want {
			t.Errorf("%s: got %d, want %d", path, got, want)
		}
		c.Close()
	}
	line := st.log.line("handler_panicked")
	if !strings.Contains(line, "no such thing") || !strings.Contains(line, "answer_test.go") || !strings.Contains(line, `"request_id":"/`) {
		t.Errorf("the log tells %q", line)
	}
	if n := st.metrics.Counter("handlers_panicked").Count(); n != 2 {
		t.Errorf("%d panics counted", n)
	}
	if st.log.line("server_told") != "" {
		t.Error("the server told it too")
	}
}

// The caller does not read its answer. It is given up at its deadline, which must
// not look like a caller that left.
func TestAnswerNotTaken(t *testing.T) {
	t.Parallel()
	st := newStand(t, time.Second, func(_ context.Context, _ *direct.Job, s direct.Sink) direct.Result {
		s.Head(http.StatusOK, http.Header{}, -1)
		var err error
		for err == nil {
			err = s.Write(make([]byte, 1<<20))
		}
		return direct.Result{Outcome: direct.CallerLeft, Reason: "caller left"}
	})
	st.timeout.Store(int64(100 * time.Millisecond))
	c, err := st.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.send("/slow")
	await(t, "the line", func() bool { return st.log.line("answer_not_taken") != "" })
	if line := st.log.line("answer_not_taken"); !strings.Contains(line, `"request_id":"/slow"`) {
		t.Errorf("the log tells %q", line)
	}
	if n := st.metrics.Counter("answers_not_taken").Count(); n != 1 {
		t.Errorf("%d answers counted", n)
	}
}

// A caller sends requests and reads no answers, not even refusals. It must not
// hold its connection for ever.
func TestRefusalNotTaken(t *testing.T) {
	t.Parallel()
	st := newStand(t, time.Second, fine)
	st.informed.Store(false)
	c, err := st.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sent := make(chan error, 1)
	go func() {
		many := []byte(strings.Repeat("GET /x HTTP/1.1\r\nHost: a\r\n\r\n", 1000))
		for {
			if _, err := c.Write(many); err != nil {
				sent <- err
				return
			}
		}
	}()
	select {
	case <-sent:
	case <-time.After(30 * time.Second):
		t.Fatal("the connection is held")
	}
	if st.log.line("answer_not_taken") == "" {
		t.Error("the log does not tell it")
	}
}

// Answers without a body keep their connection.
func TestRefusalsKeepTheConnection(t *testing.T) {
	t.Parallel()
	st := newStand(t, time.Second, func(_ context.Context, j *direct.Job, s direct.Sink) direct.Result {
		if j.ID == "/no" {
			return direct.Result{Outcome: direct.Refused, RetryAfter: time.Second}
		}
		return fine(context.Background(), j, s)
	})
	c := st.connect(t)
	for _, path := range []string{"/no", "/yes", "/no", "/no", "/yes"} {
		want := http.StatusOK
		if path == "/no" {
			want = http.StatusServiceUnavailable
		}
		if got := c.ask(path); got != want {
			t.Fatalf("%s: got %d", path, got)
		}
	}
}
