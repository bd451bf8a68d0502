package engin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// start runs an engine that is fast enough for tests.
func start(t *testing.T, change func(*Config)) (*Engine, *httptest.Server) {
	t.Helper()
	cfg := Default()
	cfg.PrefillTPS, cfg.DecodeTPS = 200000, 2000
	if change != nil {
		change(&cfg)
	}
	e := New(cfg)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		stop()
		<-ended
		srv.CloseClientConnections()
		srv.Close()
	})
	return e, srv
}

func post(t *testing.T, url, id string, body any) *http.Response {
	t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// read returns the text and the usage of a stream.
func read(t *testing.T, r io.Reader) (string, *usage) {
	t.Helper()
	var text strings.Builder
	var u *usage
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		line, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok || line == "[DONE]" {
			continue
		}
		var a answer
		if err := json.Unmarshal([]byte(line), &a); err != nil {
			t.Fatal(err)
		}
		text.WriteString(a.Choices[0].Text)
		if a.Usage != nil {
			u = a.Usage
		}
	}
	return text.String(), u
}

func prompt(n int, seed string) string { return strings.Repeat(seed, n*bytesPerToken/len(seed)) }

func TestAnswers(t *testing.T) {
	_, srv := start(t, nil)
	p := prompt(100, "ab")
	resp := post(t, srv.URL+"/v1/completions", "r1", Ask{Model: "roster", Prompt: p, MaxTokens: 5, Stream: true})
	text, u := read(t, resp.Body)
	if text != Text(p, 5) || u == nil || u.PromptTokens != 100 || u.CompletionTokens != 5 {
		t.Errorf("stream: %q, %+v", text, u)
	}
	var a answer
	resp = post(t, srv.URL+"/v1/chat/completions", "r2", Ask{Model: "roster", Messages: []Message{{Content: p}}, MaxTokens: 5})
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		t.Fatal(err)
	}
	if a.Choices[0].Message.Content != Text(p, 5) || a.Usage.Details.CachedTokens == 0 {
		t.Errorf("whole: %+v, %+v", a.Choices[0].Message, a.Usage)
	}
	resp = post(t, srv.URL+"/v1/completions", "r3", Ask{Model: "other", Prompt: p})
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("a model that isn't loaded: %s", resp.Status)
	}
}

// A caller that loses its connection asks for the rest by the request's ID. If
// the engine gave a token twice or left one out, the caller's answer would be
// damaged without its noticing.
func TestResume(t *testing.T) {
	e, srv := start(t, func(c *Config) { c.DecodeTPS = 200 })
	e.SetFault(Fault{TruncateNext: 1})
	p := prompt(20, "xy")
	resp := post(t, srv.URL+"/v1/completions", "r1", Ask{Model: "roster", Prompt: p, MaxTokens: 20, Stream: true})
	b, err := io.ReadAll(resp.Body)
	if err == nil {
		t.Fatal("the answer was not truncated")
	}
	n := bytes.Count(b, []byte("data: "))
	first, _ := read(t, bytes.NewReader(b))
	rest, err := http.Get(srv.URL + "/v1/requests/r1/stream?from=" + itoa(n))
	if err != nil {
		t.Fatal(err)
	}
	defer rest.Body.Close()
	second, _ := read(t, rest.Body)
	if first+second != Text(p, 20) {
		t.Errorf("got %q + %q", first, second)
	}
}

func itoa(n int) string {
	b, _ := json.Marshal(n)
	return string(b)
}

// When more sequences run than the KV memory holds, the engine throws the
// newest one's memory away and computes it again. The caller still gets its
// whole answer, later; the repeated work shows as wasted prefill.
func TestPreemption(t *testing.T) {
	e, srv := start(t, func(c *Config) { c.KVBlocks = 24; c.Slots = 4 })
	var wait sync.WaitGroup
	for _, seed := range []string{"a", "b", "c", "d"} {
		wait.Go(func() {
			p := prompt(64, seed)
			resp := post(t, srv.URL+"/v1/completions", seed, Ask{Model: "roster", Prompt: p, MaxTokens: 120, Stream: true})
			if text, _ := read(t, resp.Body); text != Text(p, 120) {
				t.Errorf("%s: wrong answer", seed)
			}
		})
	}
	wait.Wait()
	s := e.Stats()
	if s.Preempted == 0 || s.WastedPrefillTokens == 0 || s.Finished != 4 {
		t.Errorf("stats %+v: want preemptions, waste and 4 finished", s)
	}
	if e.mem.private != 0 || e.mem.used() != 0 {
		t.Errorf("%d private and %d used blocks are left", e.mem.private, e.mem.used())
	}
}

func TestCancel(t *testing.T) {
	e, srv := start(t, func(c *Config) { c.DecodeTPS = 50 })
	resp := post(t, srv.URL+"/v1/completions", "r1", Ask{Model: "roster", Prompt: prompt(64, "q"), MaxTokens: 1000, Stream: true})
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if got := post(t, srv.URL+"/v1/requests/r1/cancel", "", nil); got.StatusCode != http.StatusOK {
		t.Fatalf("cancel: %s", got.Status)
	}
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("a cancelled stream ended as if it were whole")
	}
	if got := post(t, srv.URL+"/v1/requests/r1/cancel", "", nil); got.StatusCode != http.StatusNotFound {
		t.Errorf("second cancel: %s", got.Status)
	}
	r := e.Records()[0]
	if !r.Cancelled || r.Finished || r.WastedPrefillTokens < 64 {
		t.Errorf("record %+v", r)
	}
}

func TestOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e, srv := start(t, func(c *Config) { c.ChecksFence = checks })
		post(t, srv.URL+"/orders", "", Order{Fence: 5, Version: "v5"})
		resp := post(t, srv.URL+"/orders", "", Order{Fence: 4, Version: "v4"})
		if refused := resp.StatusCode == http.StatusConflict; refused != checks {
			t.Errorf("checks %v: old order got %s", checks, resp.Status)
		}
		want := 2
		if checks {
			want = 1
		}
		if got := len(e.Records()); got != want {
			t.Errorf("checks %v: %d orders obeyed, want %d", checks, got, want)
		}
	}
}

// The batch alone, without a clock: the prefix cache serves the second prompt,
// and what was evicted and is computed again counts as waste.
func TestPrefixCache(t *testing.T) {
	cfg := Default()
	cfg.KVBlocks = 20
	mem := newMemory(cfg.KVBlocks, func(string, uint64) {})
	b := newBatch(cfg, mem)
	run := func(p string) *seq {
		s := &seq{prompt: tokens(p), want: 2, hashes: chain(p, cfg.BlockTokens)}
		b.waiting = append(b.waiting, s)
		for range 100 {
			b.admit()
			b.plan()
			if len(b.step()) > 0 {
				return s
			}
		}
		t.Fatal("did not finish")
		return nil
	}
	p1, p2 := prompt(160, "1"), prompt(240, "2")
	if s := run(p1); s.cached != 0 || s.wasted != 0 {
		t.Errorf("first: cached %d, wasted %d", s.cached, s.wasted)
	}
	if s := run(p1); s.cached != 159 {
		t.Errorf("second: cached %d", s.cached)
	}
	run(p2)
	if s := run(p1); s.wasted == 0 || s.cached >= 159 {
		t.Errorf("after eviction: cached %d, wasted %d", s.cached, s.wasted)
	}
}

func TestLoadLags(t *testing.T) {
	e := New(Default())
	now := time.Now()
	e.shown.running = 1
	e.keepLoad(now)
	e.shown.running = 2
	e.keepLoad(now.Add(e.cfg.LoadLag / 2))
	if got := e.loads[0].Running; got != 1 {
		t.Errorf("shows %d, want the older report", got)
	}
	e.keepLoad(now.Add(2 * e.cfg.LoadLag))
	if got := e.loads[0].Running; got != 2 {
		t.Errorf("shows %d, want the newer report", got)
	}
}
