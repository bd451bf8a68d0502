package exper

import (
	"slices"
	"testing"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/engin"
	"lycheepond/trial/load"
)

func TestGenerate(t *testing.T) {
	for _, sc := range Scenarios() {
		phases := sc.phases(Capacity(sc.shapes))
		jobs, again := generate(sc.seed, sc.shapes, phases, sc.prefix), generate(sc.seed, sc.shapes, phases, sc.prefix)
		if len(jobs) < warmup || len(jobs) != len(again) {
			t.Fatalf("%s: %d and %d jobs", sc.Name, len(jobs), len(again))
		}
		prompts := make(map[string]bool)
		for i, j := range jobs {
			if j.Ask.Prompt != again[i].Ask.Prompt || j.SendAt != again[i].SendAt {
				t.Fatalf("%s: job %d differs between two runs", sc.Name, i)
			}
			if i > 0 && j.SendAt < jobs[i-1].SendAt {
				t.Fatalf("%s: job %d is out of order", sc.Name, i)
			}
			if prompts[j.Ask.Prompt] {
				t.Fatalf("%s: job %d has the prompt of another", sc.Name, i)
			}
			prompts[j.Ask.Prompt] = true
		}
	}
}

func TestLines(t *testing.T) {
	top := load.Job{Class: spec.Class{Tier: 0}, Ask: engin.Ask{Prompt: "a"}}
	low := load.Job{Class: spec.Class{Tier: 3}, Ask: engin.Ask{Prompt: "b", Stream: true}}
	o := Outcome{
		Results: []load.Result{
			{Job: top, Outcome: load.Complete, Total: time.Second},
			{Job: top, Outcome: load.Refused, SentAt: time.Second, Total: time.Millisecond},
			{Job: top, Outcome: load.GaveUp},
			{Job: low, Outcome: load.Complete, First: 500 * time.Millisecond, Total: 2 * time.Second, Tokens: 2},
			{Job: low, Outcome: load.Wrong},
		},
		Records: []engin.Record{{PromptDigest: engin.Digest("b"), PromptTokens: 7, WastedPrefillTokens: 3}},
	}
	lines := o.Lines()
	want := Line{Tier: 0, Offered: 3, WithinTarget: 1, Late: 1, Refused: 1, P50MS: 1000, P99MS: 1000}
	if lines[0] != want {
		t.Errorf("tier 0: %+v, want %+v", lines[0], want)
	}
	want = Line{Tier: 3, Offered: 2, WithinTarget: 1, Wrong: 1, PromptTokens: 7, WastedPrefillTokens: 3, P50MS: 2000, P99MS: 2000}
	if lines[3] != want {
		t.Errorf("tier 3: %+v, want %+v", lines[3], want)
	}
	if n := inversions(o.Results); n != 1 {
		t.Errorf("%d inversions, want 1", n)
	}
}

// The hot customer's surplus is judged by what it takes from the others. If
// their own requests differed between the two runs, the comparison would show
// chance.
func TestCalmIsTheSameForOthers(t *testing.T) {
	for _, sc := range Scenarios() {
		if !sc.HasCalm() {
			continue
		}
		others := func(phases []phase) (at []time.Duration) {
			for _, j := range generate(sc.seed, sc.shapes, phases, sc.prefix) {
				if j.Customer != hotCustomer {
					at = append(at, j.SendAt)
				}
			}
			return at
		}
		capacity := Capacity(sc.shapes)
		a, b := others(sc.phases(capacity)), others(sc.calm(capacity))
		if !slices.Equal(a, b) {
			t.Errorf("%s: others send %d requests with the surplus and %d without, or at other times", sc.Name, len(a), len(b))
		}
	}
}
