package caller

import (
	"fmt"
	"net/http"
	"testing"

	"lycheepond/core/wire"
)

// A request crashes every endpoint that runs it, and its caller sends it again and
// again. It must be quarantined and not be dispatched for ever.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	crash := func(_ *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idleLoad})
		case *wire.Grant:
			l.Send(&wire.End{ID: m.ID, Reason: wire.ReasonUnreachable, Load: idleLoad})
		}
	}
	// Each agent reports a crashed endpoint each time, which counts once a second.
	stubs := []*stub{newStub(t, "a", crash), newStub(t, "b", crash), newStub(t, "c", crash), newStub(t, "d", crash)}
	f := newTestEntry(t, entryOptions{}, stubs...)
	grants := func() int {
		n := 0
		for _, s := range stubs {
			n += s.count(wire.KindGrant)
		}
		return n
	}
	var last *http.Response
	for range 100 {
		last = f.post(t, "/v1/completions", completion(false), headerRepeatable, "true")
		last.Body.Close()
		if last.StatusCode == http.StatusServiceUnavailable {
			break
		}
	}
	if last.Header.Get("Retry-After") == "" {
		t.Errorf("status %d without Retry-After", last.StatusCode)
	}
	before := grants()
	expect(t, f.post(t, "/v1/completions", completion(false), headerRepeatable, "true"), http.StatusServiceUnavailable, "not-run", `"type":"quarantined"`)
	if n := grants(); n != before {
		t.Errorf("%d grants for a request in quarantine", n-before)
	}
	if before > 30 {
		t.Errorf("%d grants before the quarantine", before)
	}
}

// Guards against requests that are all different and share a part of their prompts that crashes
// every endpoint.
func TestRequestsWithPartThatCrashesEndpoints(t *testing.T) {
	crash := func(_ *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idleLoad})
		case *wire.Grant:
			l.Send(&wire.End{ID: m.ID, Reason: wire.ReasonUnreachable, Load: idleLoad})
		}
	}
	stubs := []*stub{newStub(t, "a", crash), newStub(t, "b", crash), newStub(t, "c", crash), newStub(t, "d", crash)}
	f := newTestEntry(t, entryOptions{}, stubs...)
	body := func(n int) string { return fmt.Sprintf(`{"model":%q,"prompt":"p%d"}`, stubPool, n) }
	n := 0
	for ; n < 100; n++ {
		resp := f.post(t, "/v1/completions", body(n), headerPromptParts, "deadly")
		resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable {
			break
		}
	}
	if n > 30 {
		t.Errorf("%d requests were dispatched before the quarantine", n)
	}
	expect(t, f.post(t, "/v1/completions", body(200), headerPromptParts, "other, deadly"), http.StatusServiceUnavailable, "not-run", `"type":"quarantined"`)
	expect(t, f.post(t, "/v1/completions", body(201), headerPromptParts, "a,,b"), http.StatusBadRequest, "not-run", headerPromptParts)
}
