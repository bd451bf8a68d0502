package basel

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/load"
	"lycheepond/trial/simeng"
)

// Checks that LeastLoad always picks the engine with the least load and that
// RoundRobin picks all engines equally often.
func TestPickEngine(t *testing.T) {
	d, err := New(Config{Policy: LeastLoad, Engines: []string{"a", "b", "c"}})
	if err != nil {
		t.Fatal(err)
	}
	d.loads = []int{2, 1, 2}
	for range 3 {
		if got := d.pickEngine(); got != "b" {
			t.Errorf("got %s, want the least loaded", got)
		}
	}
	d.cfg.Policy = RoundRobin
	seen := make(map[string]int)
	for range 6 {
		seen[d.pickEngine()]++
	}
	if seen["a"] != 2 || seen["b"] != 2 || seen["c"] != 2 {
		t.Errorf("picks in round-robin order: %v, want 2 of each", seen)
	}
}

// Checks that the dispatcher forwards a request and copies its answer unchanged,
// streamed or not.
func TestForward(t *testing.T) {
	e := simeng.New(simeng.DefaultConfig())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	defer func() { stop(); <-ended }()
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	d, err := New(Config{Policy: RoundRobin, Engines: []string{srv.Listener.Addr().String()}})
	if err != nil {
		t.Fatal(err)
	}
	front := httptest.NewServer(d)
	defer front.Close()
	c := load.NewCaller([]string{front.Listener.Addr().String()})
	c.AssumeComplete = true
	for _, stream := range []bool{true, false} {
		r := c.Send(ctx, 0, load.Job{
			Class:        spec.Class{Deadline: spec.Duration(30 * time.Second)},
			ModelRequest: simeng.CompletionRequest{Model: "roster", Prompt: "x", MaxTokens: 8, Stream: stream},
		})
		if r.Outcome != load.Complete {
			t.Errorf("stream %v: %s %s", stream, r.Outcome, r.Detail)
		}
	}
}
