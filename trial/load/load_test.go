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
	"lycheepond/trial/simeng"
)

func newJob(stream bool) Job {
	return Job{
		Class:        spec.Class{Name: "swap", Deadline: spec.Duration(5 * time.Second)},
		ModelRequest: simeng.CompletionRequest{Model: "roster", Prompt: "who can cover", MaxTokens: 3, Stream: stream},
	}
}

func tokenEvent(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"text\":%q}]}\n\n", text)
}

func tokenEvents(prompt string) string {
	return tokenEvent("t0 ") + tokenEvent("t1 ") + tokenEvent(simeng.DigestPrefix+simeng.Digest(prompt))
}

const endEvent = "data: [DONE]\n\n"

// Checks the outcome that each kind of answer gets. An answer that claims to be
// complete but belongs to another request, or lacks a part, must count as wrong.
// If it counted as complete, the experiments would hide the worst kind of failure.
func TestOutcomeOfAnswer(t *testing.T) {
	ownEvents := tokenEvents("who can cover")
	tests := []struct {
		name    string
		status  int
		outcome string
		body    string
		stream  bool
		want    Outcome
	}{
		{"complete stream", 200, outcomeComplete, ownEvents + endEvent, true, Complete},
		{"stream of another request", 200, outcomeComplete, tokenEvents("other") + endEvent, true, Wrong},
		{"truncated stream, claims complete", 200, outcomeComplete, tokenEvent("t0 "), true, Wrong},
		{"truncated stream, says unknown", 200, outcomeUnknown, tokenEvent("t0 "), true, Unknown},
		{"error event", 200, outcomeUnknown, tokenEvent("t0 ") + "event: error\ndata: {}\n\n", true, Unknown},
		{"stream without outcome", 200, "", ownEvents + endEvent, true, Unknown},
		{"stream with a missing token", 200, outcomeComplete, tokenEvent("t0 ") + tokenEvent(simeng.DigestPrefix+simeng.Digest("who can cover")) + endEvent, true, Wrong},
		{"complete answer", 200, outcomeComplete, fmt.Sprintf(`{"choices":[{"text":%q}]}`, simeng.AnswerText("who can cover", 3)), false, Complete},
		{"answer to another request", 200, outcomeComplete, fmt.Sprintf(`{"choices":[{"text":%q}]}`, simeng.AnswerText("other", 3)), false, Wrong},
		{"refused", 503, outcomeNotRun, `{"error":{"outcome":"not-run","retry_after_ms":1500}}`, true, Refused},
		{"error without outcome", 503, "", `busy`, true, Unknown},
		{"unknown", 502, outcomeUnknown, `{}`, true, Unknown},
		{"caller's mistake", 404, outcomeNotRun, `{}`, true, Failed},
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
			r := NewCaller([]string{srv.Listener.Addr().String()}).Send(context.Background(), 0, newJob(test.stream))
			if r.Outcome != test.want {
				t.Errorf("got %s (%s), want %s", r.Outcome, r.Detail, test.want)
			}
			if test.want == Refused && r.RetryAfter != 1500*time.Millisecond {
				t.Errorf("retry after %v", r.RetryAfter)
			}
		})
	}
}

// Checks that a request is sent to the next entry if one accepts no connection,
// and that a request which reached an entry is not sent again when the connection
// breaks: it may have run.
func TestFailoverOnlyBeforeSending(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer srv.Close()
	down := httptest.NewServer(nil)
	down.Close()
	c := NewCaller([]string{down.Listener.Addr().String(), srv.Listener.Addr().String()})
	if r := c.Send(context.Background(), 0, newJob(true)); r.Outcome != Unknown || calls.Load() != 1 {
		t.Errorf("%s after %d calls, want unknown after 1", r.Outcome, calls.Load())
	}
}

// Checks that an answer must meet each of the targets that its class has.
func TestMetTargets(t *testing.T) {
	r := Result{Outcome: Complete, TimeToFirstToken: 50 * time.Millisecond, TotalTime: time.Second}
	r.Job.Class.Target = spec.Target{FirstToken: spec.Duration(100 * time.Millisecond)}
	if !r.MetTargets() {
		t.Error("an answer within its target counts as late")
	}
	r.Job.Class.Target.Complete = spec.Duration(900 * time.Millisecond)
	if r.MetTargets() {
		t.Error("an answer later than a target counts as within it")
	}
}
