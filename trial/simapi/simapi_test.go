package simapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

// call makes an HTTP call and decodes the answer into the variable that into
// points to, if any. It returns the status, or 0 if there was no reply.
func call(t *testing.T, method, url, ifMatch, body string, into any) int {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if into != nil {
		if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
			t.Fatalf("%s %s: %s: %v", method, url, resp.Status, err)
		}
	}
	return resp.StatusCode
}

// Checks conditional writes, invalid JSON, watches, compaction and deletion of
// objects through the HTTP API.
func TestObjects(t *testing.T) {
	p := New(Config{MaxEvents: 4})
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	u := srv.URL + "/v1/objects/class/swap"
	var o plat.Object
	if got := call(t, "PUT", u, `"0"`, `{"a":1}`, &o); got != 200 || o.Version != 1 {
		t.Fatalf("create: %d, %+v", got, o)
	}
	var c conflictAnswer
	if got := call(t, "PUT", u, `"0"`, `{}`, &c); got != 409 || c.Current != 1 {
		t.Errorf("create again: %d, %+v", got, c)
	}
	if got := call(t, "PUT", u, "", `{`, nil); got != 400 {
		t.Errorf("broken JSON: %d", got)
	}
	var b plat.Batch
	if got := call(t, "GET", srv.URL+"/v1/watch/class?after=0&wait=1s", "", "", &b); got != 200 || len(b.Events) != 1 {
		t.Errorf("watch: %d, %+v", got, b)
	}
	for range 6 {
		call(t, "PUT", u, "", `{}`, nil)
	}
	if got := call(t, "GET", srv.URL+"/v1/watch/class?after=0&wait=1s", "", "", nil); got != 410 {
		t.Errorf("watch from a compacted version: %d", got)
	}
	if got := call(t, "DELETE", u, "7", "", &b); got != 200 || b.Version != 8 {
		t.Errorf("delete: %d, %+v", got, b)
	}
	if got := call(t, "GET", u, "", "", nil); got != 404 {
		t.Errorf("get after delete: %d", got)
	}
}

// The reply to a write is lost after the write took effect. A client that
// repeats the write gets a conflict caused by its own change.
func TestLostReply(t *testing.T) {
	p := New(Config{})
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	p.SetFault(Fault{LoseReplies: 1})
	u := srv.URL + "/v1/objects/class/swap"
	if got := call(t, "PUT", u, "0", `{}`, nil); got != 0 {
		t.Fatalf("the reply was not lost: status %d", got)
	}
	if got := call(t, "PUT", u, "0", `{}`, nil); got != 409 {
		t.Errorf("repeated write: status %d, want 409", got)
	}
}

// Checks three faults: reads of stale state, a watch that repeats old events
// after new ones, and a watch that lags. A reader that applies the last event it
// gets regardless of its version would return to an old configuration.
func TestStaleAndReplay(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{})
	p.now = func() time.Time { return now }
	put := func(data string) { p.Put("class", "swap", json.RawMessage(data), AnyVersion) }
	put(`1`)
	now = now.Add(10 * time.Second)
	put(`2`)
	p.SetFault(Fault{StaleReads: spec.Duration(5 * time.Second)})
	if b := p.listObjects("class"); b.Version != 1 || string(b.Events[0].Object.Data) != "1" {
		t.Errorf("stale list: %+v", b)
	}
	p.SetFault(Fault{Replay: 1})
	b, _ := p.eventsAfter("class", 1)
	if len(b.Events) != 2 || b.Version != 2 || b.Events[1].Object.Version != 1 {
		t.Errorf("replay: %+v", b)
	}
	p.SetFault(Fault{Lag: spec.Duration(5 * time.Second)})
	b, untilVisible := p.eventsAfter("class", 1)
	if len(b.Events) != 0 || untilVisible != 5*time.Second {
		t.Errorf("lag: %+v, visible in %v", b, untilVisible)
	}
}

// Checks the instance list and the weight store, and that an outage is answered
// with 503.
func TestInstances(t *testing.T) {
	p := New(Config{MaxWeightReads: 1, WeightReadTime: time.Millisecond})
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	call(t, "PUT", srv.URL+"/admin/instances/e1", "", `{"role":"endpoint"}`, nil)
	var r plat.Roster
	call(t, "GET", srv.URL+"/v1/instances?after=0&wait=1s", "", "", &r)
	if r.Version != 1 || len(r.Instances) != 1 || r.Instances[0].State != plat.StateLive {
		t.Errorf("roster %+v", r)
	}
	if got := call(t, "GET", srv.URL+"/v1/weights/roster/v1", "", "", nil); got != 200 {
		t.Errorf("weights: %d", got)
	}
	p.SetFault(Fault{Down: true})
	if got := call(t, "GET", srv.URL+"/v1/instances", "", "", nil); got != 503 {
		t.Errorf("instance list during an outage: status %d, want 503", got)
	}
}
