package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"lycheepond/core/spec"
	"lycheepond/entry/fault"
)

// A caller sends a request that can't be served. The answer must say what is wrong
// and what to do, with outcome not-run, and the entry must continue to serve.
func TestBadRequestsExplainTheRemedy(t *testing.T) {
	a := newStub(t, "a", answerAll("fine"))
	f := newTestEntry(t, entryOptions{}, a)
	ok := completion(false)
	for _, c := range []struct {
		name, path, body string
		header           []string
		status           int
		kind             fault.Kind
	}{
		{"no JSON", "/v1/completions", `{"model":`, nil, 400, fault.BadRequest},
		{"wrong type", "/v1/completions", `{"model":7,"prompt":"x"}`, nil, 400, fault.BadRequest},
		{"no prompt", "/v1/completions", `{"model":"roster"}`, nil, 400, fault.BadRequest},
		{"prompt for chat", "/v1/chat/completions", ok, nil, 400, fault.BadRequest},
		{"negative limit", "/v1/completions", `{"model":"roster","prompt":"x","max_tokens":-1}`, nil, 400, fault.BadRequest},
		{"unknown model", "/v1/completions", `{"model":"slate","prompt":"x"}`, nil, 404, fault.UnknownModel},
		{"unknown service", "/services/docket/x", "", nil, 404, fault.UnknownService},
		{"unknown path", "/v2/completions", ok, nil, 404, fault.NotFound},
		{"unknown class", "/v1/completions", ok, []string{headerClass, "urgent"}, 400, fault.UnknownClass},
		{"unknown key", "/v1/completions", ok, []string{"Authorization", "Bearer guess"}, 401, fault.BadKey},
		{"basic auth", "/v1/completions", ok, []string{"Authorization", "Basic c2VjcmV0"}, 401, fault.BadKey},
		{"bad deadline", "/v1/completions", ok, []string{headerDeadline, "soon"}, 400, fault.BadRequest},
		{"negative deadline", "/v1/completions", ok, []string{headerDeadline, "-1s"}, 400, fault.BadRequest},
		{"bad flag", "/v1/completions", ok, []string{headerNonIdempotent, "maybe"}, 400, fault.BadRequest},
		{"both flags", "/v1/completions", ok, []string{headerNonIdempotent, "true", headerRepeatable, "true"}, 400, fault.BadRequest},
		{"long key", "/services/app/x", "", []string{headerKey, strings.Repeat("k", maxKeyBytes+1)}, 400, fault.BadRequest},
		{"too large", "/services/app/x", strings.Repeat("x", maxBodyBytes+1), nil, 413, fault.TooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			res := f.post(t, c.path, c.body, c.header...)
			var got faultJSON
			if err := json.Unmarshal([]byte(readText(t, res)), &got); err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != c.status || got.Error.Type != c.kind || got.Error.Outcome != "not-run" ||
				res.Header.Get(headerOutcome) != "not-run" || got.Error.RequestID == "" || !strings.Contains(got.Error.Message, ":") {
				t.Errorf("status %d, %+v", res.StatusCode, got.Error)
			}
		})
	}
	expect(t, f.post(t, "/v1/completions", ok), http.StatusOK, "complete", "fine")
}

// Guards against a request that is handed on although a planned stop began while its body was
// being read.
func TestStopDuringBodyRefusesRequest(t *testing.T) {
	for path, body := range map[string]string{"/v1/completions": completion(false), "/services/app/x": "body"} {
		f := newTestEntry(t, entryOptions{stopsAfterHead: true}, newStub(t, "a", answerAll("fine")))
		res := f.post(t, path, body)
		if got := res.Header.Get(headerOutcome); res.StatusCode != http.StatusServiceUnavailable || got != "not-run" || res.Header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d, %s", path, res.StatusCode, got)
		}
		readText(t, res)
	}
}

// The time in a UUIDv7 decides whether a key may be older than a lost record. If it
// were read wrongly, an old key would count as new and the request would run again.
func TestKeyCreationTime(t *testing.T) {
	for key, want := range map[string]int64{
		"01a238da-9213-7abc-8def-0123456789ab": 0x01a238da9213,
		"01a238da-9213-4abc-8def-0123456789ab": 0,
		"01a238da92137abc8def0123456789abcdef": 0,
		"zza238da-9213-7abc-8def-0123456789ab": 0,
		"":                                     0,
	} {
		if got := keyCreatedMS(key); got != want {
			t.Errorf("%q: %d, want %d", key, got, want)
		}
	}
}

// A customer that sends far more than its limit gets a Retry-After, and one that
// keeps to the rate is never refused.
func TestLimits(t *testing.T) {
	l := newLimits()
	limit := spec.Limits{RequestsPerSecond: 2, Concurrent: 3}
	acquireAt := func(now time.Duration) (func(), *fault.Error) { return l.acquire("league", limit, now) }
	for i := range 2 {
		if _, e := acquireAt(0); e != nil {
			t.Fatalf("request %d of the burst: %v", i, e)
		}
	}
	_, e := acquireAt(0)
	if e == nil || e.Status() != http.StatusTooManyRequests || e.RetryAfter() != 500*time.Millisecond {
		t.Fatalf("third request: %v", e)
	}
	release, e := acquireAt(500 * time.Millisecond)
	if e != nil {
		t.Fatalf("after Retry-After: %v", e)
	}
	if _, e := acquireAt(time.Minute); e == nil {
		t.Fatal("a fourth concurrent request was admitted")
	}
	release()
	if _, e := acquireAt(2 * time.Minute); e != nil {
		t.Errorf("after one has ended: %v", e)
	}
	if _, e := l.acquire("other", spec.Limits{}, 0); e != nil || len(l.customers) != 1 {
		t.Errorf("a customer without limits: %v, %d known", e, len(l.customers))
	}
}

// The rest of a body that is too large is still on its way when the request is
// refused, so the connection is closed. The answer must say so, otherwise the caller
// sends its next request on that connection.
func TestTooLargeBodyClosesTheConnection(t *testing.T) {
	f := newTestEntry(t, entryOptions{}, newStub(t, "a", answerAll("x")))
	res := f.post(t, "/services/app/x", strings.Repeat("x", maxBodyBytes+1))
	if !res.Close || res.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, connection closed %v", res.StatusCode, res.Close)
	}
	res.Body.Close()
}
