package simeng

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

// startEngine starts a fast engine and a server for its API. adjust changes the
// engine's configuration; it may be nil.
func startEngine(t *testing.T, adjust func(*Config)) (*Engine, *httptest.Server) {
	t.Helper()
	cfg := DefaultConfig()
	cfg.PrefillTPS, cfg.DecodeTPS = 200000, 2000
	if adjust != nil {
		adjust(&cfg)
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

// readStream reads a stream and returns the text and the usage in it.
func readStream(t *testing.T, r io.Reader) (string, *usage) {
	t.Helper()
	var text strings.Builder
	var u *usage
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		line, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok || line == "[DONE]" {
			continue
		}
		var a completionAnswer
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

// makePrompt returns a prompt of n tokens that repeats seed.
func makePrompt(n int, seed string) string { return strings.Repeat(seed, n*bytesPerToken/len(seed)) }

// Checks the text and the usage of streamed and unstreamed answers, and that a
// request for another model is refused.
func TestAnswers(t *testing.T) {
	_, srv := startEngine(t, nil)
	p := makePrompt(100, "ab")
	resp := post(t, srv.URL+"/v1/completions", "r1", CompletionRequest{Model: "roster", Prompt: p, MaxTokens: 5, Stream: true})
	text, u := readStream(t, resp.Body)
	if text != AnswerText(p, 5) || u == nil || u.PromptTokens != 100 || u.CompletionTokens != 5 {
		t.Errorf("stream: %q, %+v", text, u)
	}
	var a completionAnswer
	resp = post(t, srv.URL+"/v1/chat/completions", "r2", CompletionRequest{Model: "roster", Messages: []Message{{Content: p}}, MaxTokens: 5})
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		t.Fatal(err)
	}
	if a.Choices[0].Message.Content != AnswerText(p, 5) || a.Usage.Details.CachedTokens == 0 {
		t.Errorf("whole: %+v, %+v", a.Choices[0].Message, a.Usage)
	}
	resp = post(t, srv.URL+"/v1/completions", "r3", CompletionRequest{Model: "other", Prompt: p})
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("a model that isn't loaded: %s", resp.Status)
	}
}

// A caller whose connection broke requests the rest of its answer by the
// request's ID. If the engine sent a token twice or skipped one, the caller
// would get a wrong answer without noticing.
func TestResume(t *testing.T) {
	e, srv := startEngine(t, func(c *Config) { c.DecodeTPS = 200 })
	e.SetFault(Fault{TruncateNext: 1})
	p := makePrompt(20, "xy")
	resp := post(t, srv.URL+"/v1/completions", "r1", CompletionRequest{Model: "roster", Prompt: p, MaxTokens: 20, Stream: true})
	b, err := io.ReadAll(resp.Body)
	if err == nil {
		t.Fatal("the answer was not truncated")
	}
	n := bytes.Count(b, []byte("data: "))
	first, _ := readStream(t, bytes.NewReader(b))
	rest, err := http.Get(srv.URL + "/v1/requests/r1/stream?from=" + itoa(n))
	if err != nil {
		t.Fatal(err)
	}
	defer rest.Body.Close()
	second, _ := readStream(t, rest.Body)
	if first+second != AnswerText(p, 20) {
		t.Errorf("got %q + %q", first, second)
	}
}

// Guards against a stand-in that breaks off unframed streams only where every client notices.
func TestUnframedStreamEndsInsideEvent(t *testing.T) {
	e, srv := startEngine(t, func(c *Config) { c.DecodeTPS = 200 })
	e.SetFault(Fault{TruncateNext: 1, Unframed: true})
	for _, truncated := range []bool{true, false} {
		resp := post(t, srv.URL+"/v1/completions", "r"+itoa(len(e.Records())), CompletionRequest{Model: "roster", Prompt: makePrompt(20, "xy"), MaxTokens: 20, Stream: true})
		b, err := io.ReadAll(resp.Body)
		if err != nil || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
			t.Errorf("truncated %v: %v, length %d, %v", truncated, err, resp.ContentLength, resp.TransferEncoding)
		}
		if bytes.HasSuffix(b, []byte("\n\n")) == truncated {
			t.Errorf("truncated %v: the stream ends with %q", truncated, b[max(len(b)-40, 0):])
		}
	}
}

func itoa(n int) string {
	b, _ := json.Marshal(n)
	return string(b)
}

// If the running sequences need more than the KV memory, the engine preempts
// the newest one and computes its tokens again later. The caller must still get
// its complete answer, and the repeated work must be counted as wasted prefill.
func TestPreemption(t *testing.T) {
	e, srv := startEngine(t, func(c *Config) { c.KVBlocks = 24; c.Slots = 4 })
	var wait sync.WaitGroup
	for _, seed := range []string{"a", "b", "c", "d"} {
		wait.Go(func() {
			p := makePrompt(64, seed)
			resp := post(t, srv.URL+"/v1/completions", seed, CompletionRequest{Model: "roster", Prompt: p, MaxTokens: 120, Stream: true})
			if text, _ := readStream(t, resp.Body); text != AnswerText(p, 120) {
				t.Errorf("%s: wrong answer", seed)
			}
		})
	}
	wait.Wait()
	stats := e.Stats()
	if stats.Preempted == 0 || stats.WastedPrefillTokens == 0 || stats.Finished != 4 {
		t.Errorf("stats %+v: want preemptions, waste and 4 finished", stats)
	}
	if e.kv.privateBlocks != 0 || e.kv.usedBlocks() != 0 {
		t.Errorf("%d private and %d used blocks are left, want none", e.kv.privateBlocks, e.kv.usedBlocks())
	}
}

// Checks that a cancelled request ends with an error, is recorded as cancelled and
// counts its prefill as wasted, and that it cannot be cancelled twice.
func TestCancel(t *testing.T) {
	e, srv := startEngine(t, func(c *Config) { c.DecodeTPS = 50 })
	resp := post(t, srv.URL+"/v1/completions", "r1", CompletionRequest{Model: "roster", Prompt: makePrompt(64, "q"), MaxTokens: 1000, Stream: true})
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if got := post(t, srv.URL+"/v1/requests/r1/cancel", "", nil); got.StatusCode != http.StatusOK {
		t.Fatalf("cancel: %s", got.Status)
	}
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("a cancelled stream ended without an error")
	}
	if got := post(t, srv.URL+"/v1/requests/r1/cancel", "", nil); got.StatusCode != http.StatusNotFound {
		t.Errorf("second cancel: %s", got.Status)
	}
	r := e.Records()[0]
	if !r.Cancelled || r.Finished || r.WastedPrefillTokens < 64 {
		t.Errorf("record %+v", r)
	}
}

// Checks that an order with an outdated fencing number is refused only if the
// engine checks fencing numbers.
func TestOrders(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		e, srv := startEngine(t, func(c *Config) { c.ChecksFence = checksFence })
		post(t, srv.URL+"/orders", "", Order{Fence: 5, Version: "v5"})
		resp := post(t, srv.URL+"/orders", "", Order{Fence: 4, Version: "v4"})
		if refused := resp.StatusCode == http.StatusConflict; refused != checksFence {
			t.Errorf("checks %v: the outdated order got %s", checksFence, resp.Status)
		}
		want := 2
		if checksFence {
			want = 1
		}
		if got := len(e.Records()); got != want {
			t.Errorf("checks %v: %d orders accepted, want %d", checksFence, got, want)
		}
	}
}

// Runs a batch without a clock. The second run of a prompt must use the prefix
// cache. After its blocks were evicted, computing them again must count as waste.
func TestPrefixCache(t *testing.T) {
	cfg := DefaultConfig()
	cfg.KVBlocks = 20
	kv := newKVMemory(cfg.KVBlocks, func(string, uint64) {})
	b := newBatch(cfg, kv)
	run := func(p string) *sequence {
		s := &sequence{promptTokens: countTokens(p), answerTokens: 2, blockHashes: hashBlocks(p, cfg.BlockTokens)}
		b.waiting = append(b.waiting, s)
		for range 100 {
			b.admit()
			b.planStep()
			if len(b.runStep()) > 0 {
				return s
			}
		}
		t.Fatal("the sequence did not finish")
		return nil
	}
	p1, p2 := makePrompt(160, "1"), makePrompt(240, "2")
	if s := run(p1); s.cachedTokens != 0 || s.wastedTokens != 0 {
		t.Errorf("first: cached %d, wasted %d", s.cachedTokens, s.wastedTokens)
	}
	if s := run(p1); s.cachedTokens != 159 {
		t.Errorf("second: cached %d", s.cachedTokens)
	}
	run(p2)
	if s := run(p1); s.wastedTokens == 0 || s.cachedTokens >= 159 {
		t.Errorf("after eviction: cached %d, wasted %d", s.cachedTokens, s.wastedTokens)
	}
}

// Checks that a load report is shown only after the configured lag.
func TestLoadReportLag(t *testing.T) {
	e := New(DefaultConfig())
	now := time.Now()
	e.batchState.running = 1
	e.recordLoad(now)
	e.batchState.running = 2
	e.recordLoad(now.Add(e.cfg.LoadLag / 2))
	if got := e.loadReports[0].Running; got != 1 {
		t.Errorf("the load report shows %d running, want the older report", got)
	}
	e.recordLoad(now.Add(2 * e.cfg.LoadLag))
	if got := e.loadReports[0].Running; got != 2 {
		t.Errorf("the load report shows %d running, want the newer report", got)
	}
}
