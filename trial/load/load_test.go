package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/engin"
)

func job(stream bool) Job {
	return Job{
		Class: spec.Class{Name: "swap", Deadline: spec.Duration(5 * time.Second)},
		Ask:   engin.CompletionRequest{Model: "roster", Prompt: "who can cover", MaxTokens: 3, Stream: stream},
	}
}

func event(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"text\":%q}]}\n\n", text)
}

func tokens(prompt string) string {
	return event("t0 ") + event("t1 ") + event(engin.DigestPrefix+engin.Digest(prompt))
}

const done = "data: [DONE]\n\n"

// What a caller is told and what it received must agree: an answer that claims
// to be complete and isn't the request's own counts as wrong, whatever else it
// looks like. If the judge took such an answer for complete, the experiments
// would hide the worst of failures.
func TestJudge(t *testing.T) {
	own := tokens("who can cover")
	tests := []struct {
		name    string
		status  int
		outcome string
		body    string
		stream  bool
		want    Outcome
	}{
		{"whole stream", 200, saidComplete, own + done, true, Complete},
		{"someone else's", 200, saidComplete, tokens("other") + done, true, Wrong},
		{"truncated, claims complete", 200, saidComplete, event("t0 "), true, Wrong},
		{"truncated, says unknown", 200, saidUnknown, event("t0 "), true, Unknown},
		{"error event", 200, saidUnknown, event("t0 ") + "event: error\ndata: {}\n\n", true, Unknown},
		{"no outcome", 200, "", own + done, true, Unknown},
		{"token missing", 200, saidComplete, event("t0 ") + event(engin.DigestPrefix+engin.Digest("who can cover")) + done, true, Wrong},
		{"whole answer", 200, saidComplete, fmt.Sprintf(`{"choices":[{"text":%q}]}`, engin.AnswerText("who can cover", 3)), false, Complete},
		{"whole answer of another", 200, saidComplete, fmt.Sprintf(`{"choices":[{"text":%q}]}`, engin.AnswerText("other", 3)), false, Wrong},
		{"refused", 503, saidNotRun, `{"error":{"outcome":"not-run","retry_after_ms":1500}}`, true, Refused},
		{"refusal that does not say", 503, "", `busy`, true, Unknown},
		{"unknown", 502, saidUnknown, `{}`, true, Unknown},
		{"caller's mistake", 404, saidNotRun, `{}`, true, Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.stream && test.status == 200 {
					w.Header().Set("Trailer", headerOutcome)
				}
				if !test.stream || test.status != 200 {
					w.Header().Set(headerOutcome, test.outcome)
				}
				w.WriteHeader(test.status)
				fmt.Fprint(w, test.body)
				w.Header().Set(headerOutcome, test.outcome)
			}))
			defer srv.Close()
			r := NewCaller([]string{srv.Listener.Addr().String()}).Send(context.Background(), 0, job(test.stream))
			if r.Outcome != test.want {
				t.Errorf("got %s (%s), want %s", r.Outcome, r.Detail, test.want)
			}
			if test.want == Refused && r.RetryAfter != 1500*time.Millisecond {
				t.Errorf("retry after %v", r.RetryAfter)
			}
		})
	}
}

// A balancer passes over an entry that is down. A request that reached an
// entry is never sent a second time.
func TestNextTarget(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer srv.Close()
	down := httptest.NewServer(nil)
	down.Close()
	c := NewCaller([]string{down.Listener.Addr().String(), srv.Listener.Addr().String()})
	if r := c.Send(context.Background(), 0, job(true)); r.Outcome != Unknown || calls.Load() != 1 {
		t.Errorf("%s after %d calls, want unknown after one", r.Outcome, calls.Load())
	}
}

func TestWithin(t *testing.T) {
	r := Result{Outcome: Complete, First: 50 * time.Millisecond, Total: time.Second}
	r.Job.Class.Target = spec.Target{FirstToken: spec.Duration(100 * time.Millisecond)}
	if !r.Within() {
		t.Error("met its target")
	}
	r.Job.Class.Target.Complete = spec.Duration(900 * time.Millisecond)
	if r.Within() {
		t.Error("missed a target")
	}
}
