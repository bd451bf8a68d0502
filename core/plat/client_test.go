package plat

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lycheepond/core/sample"
)

// newTestClient returns a client of a server that answers every call with f.
func newTestClient(t *testing.T, f http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return New(Config{BaseURL: server.URL + "/", Token: "t0", HTTP: server.Client()})
}

// Each call must have the method, path, condition and token that the platform expects,
// and must be counted.
func TestCalls(t *testing.T) {
	var got []string
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		got = append(got, r.Method+" "+r.URL.String()+" "+r.Header.Get("If-Match")+" "+r.Header.Get("Authorization"))
		fmt.Fprint(w, `{"kind":"class","name":"swap","version":7,"events":[{"object":{"name":"x"}}],"instances":[{"name":"w"}]}`)
	})
	ctx := context.Background()
	if o, err := c.Get(ctx, "class", "a/b"); err != nil || o.Version != 7 {
		t.Errorf("Get: %+v %v", o, err)
	}
	if b, err := c.List(ctx, "class"); err != nil || b.Version != 7 || len(b.Events) != 1 {
		t.Errorf("List: %+v %v", b, err)
	}
	if _, err := c.Put(ctx, "class", "swap", []byte("{}"), Absent); err != nil {
		t.Error(err)
	}
	if _, err := c.Put(ctx, "class", "swap", []byte("{}"), Unconditional); err != nil {
		t.Error(err)
	}
	if err := c.Delete(ctx, "class", "swap", 7); err != nil {
		t.Error(err)
	}
	if _, err := c.Watch(ctx, AnyKind, 7, 30*time.Second); err != nil {
		t.Error(err)
	}
	if r, err := c.Instances(ctx, 7, time.Second); err != nil || len(r.Instances) != 1 {
		t.Errorf("Instances: %+v %v", r, err)
	}
	want := []string{
		"GET /v1/objects/class/a%2Fb  Bearer t0",
		"GET /v1/objects/class  Bearer t0",
		`PUT /v1/objects/class/swap "0" Bearer t0`,
		"PUT /v1/objects/class/swap  Bearer t0",
		`DELETE /v1/objects/class/swap "7" Bearer t0`,
		"GET /v1/watch/*?after=7&wait=30s  Bearer t0",
		"GET /v1/instances?after=7&wait=1s  Bearer t0",
	}
	for i := range want {
		if i >= len(got) || got[i] != want[i] {
			t.Errorf("call %d: got %q, want %q", i, got[min(i, len(got)-1)], want[i])
		}
	}
	if n := c.Calls().Read(); n != (CallCounts{Get: 1, List: 1, Put: 2, Delete: 1, Watch: 1, Instances: 1}) {
		t.Errorf("counts %+v", n)
	}
}

// The platform accepts a write and the connection breaks before the reply. If the
// client reported a failure, an operator would repeat the write and could undo what
// someone else has written since.
func TestLostReplyIsUncertain(t *testing.T) {
	c := newTestClient(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	var uncertain *UncertainError
	if _, err := c.Put(context.Background(), "class", "swap", []byte("{}"), 3); !errors.As(err, &uncertain) {
		t.Errorf("Put: %v, want an UncertainError", err)
	}
	if err := c.Delete(context.Background(), "class", "swap", 3); !errors.As(err, &uncertain) {
		t.Errorf("Delete: %v, want an UncertainError", err)
	}
	var unavailable *UnavailableError
	if _, err := c.Get(context.Background(), "class", "swap"); !errors.As(err, &unavailable) {
		t.Errorf("Get: %v, want an UnavailableError", err)
	}
}

// No process listens at the platform's address. The write certainly had no effect and
// may be repeated.
func TestUnreachablePlatformIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	c := New(Config{BaseURL: server.URL})
	server.Close()
	var unavailable *UnavailableError
	if _, err := c.Put(context.Background(), "class", "swap", []byte("{}"), 3); !errors.As(err, &unavailable) {
		t.Errorf("got %v, want an UnavailableError", err)
	}
}

// Each error status must give the error that tells the caller whether a write may have
// taken effect.
func TestErrorStatuses(t *testing.T) {
	var conflict *ConflictError
	var unavailable *UnavailableError
	var status *StatusError
	var uncertain *UncertainError
	for _, tt := range []struct {
		status int
		is     func(error) bool
	}{
		{404, func(err error) bool { return errors.Is(err, ErrNotFound) }},
		{409, func(err error) bool { return errors.As(err, &conflict) && conflict.Current() == 9 }},
		{410, func(err error) bool { return errors.Is(err, ErrCompacted) }},
		{413, func(err error) bool { return errors.Is(err, ErrTooLarge) }},
		{401, func(err error) bool { return errors.Is(err, ErrToken) }},
		{503, func(err error) bool { return errors.As(err, &unavailable) }},
		{502, func(err error) bool { return errors.As(err, &uncertain) }},
		{418, func(err error) bool { return errors.As(err, &status) && status.Status() == 418 }},
	} {
		c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(tt.status)
			fmt.Fprint(w, `{"current":9}`)
		})
		if _, err := c.Put(context.Background(), "class", "swap", []byte("{}"), 3); !tt.is(err) {
			t.Errorf("%d: %v", tt.status, err)
		}
	}
}

// Guards against malformed answers that count as answers: they don't tell whether a write took effect.
func TestMalformedAnswerIsUncertain(t *testing.T) {
	for _, answer := range sample.Malformed("", "{}") {
		t.Run(answer.Name, func(t *testing.T) {
			c := New(Config{BaseURL: sample.Serve(t, answer.Text)})
			var uncertain *UncertainError
			if err := c.Delete(t.Context(), "class", "swap", 3); !errors.As(err, &uncertain) {
				t.Errorf("Delete: %v, want an UncertainError", err)
			}
			if _, err := c.List(t.Context(), "class"); err == nil {
				t.Error("List succeeded")
			}
		})
	}
}
