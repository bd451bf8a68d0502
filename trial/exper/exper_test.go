package exper

import (
	"slices"
	"testing"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/load"
	"lycheepond/trial/simeng"
)

// Checks that a workload is the same each time, is sorted by time and has no two
// equal prompts. If it differed between runs, the policies would be compared on
// different requests. Engine records are assigned to a tier by their prompt, so
// records of equal prompts would count for the wrong tier.
func TestJobsAreReproducible(t *testing.T) {
	for _, sc := range Scenarios() {
		phases := sc.phases(Capacity(sc.shapes))
		jobs, jobsAgain := generateJobs(sc.seed, sc.shapes, phases, sc.prefixes), generateJobs(sc.seed, sc.shapes, phases, sc.prefixes)
		if len(jobs) < warmupRequests || len(jobs) != len(jobsAgain) {
			t.Fatalf("%s: %d and %d jobs", sc.Name, len(jobs), len(jobsAgain))
		}
		prompts := make(map[string]bool)
		for i, j := range jobs {
			if j.ModelRequest.Prompt != jobsAgain[i].ModelRequest.Prompt || j.SendAt != jobsAgain[i].SendAt {
				t.Fatalf("%s: job %d differs between two runs", sc.Name, i)
			}
			if i > 0 && j.SendAt < jobs[i-1].SendAt {
				t.Fatalf("%s: job %d is out of order", sc.Name, i)
			}
			if prompts[j.ModelRequest.Prompt] {
				t.Fatalf("%s: job %d has the same prompt as an earlier job", sc.Name, i)
			}
			prompts[j.ModelRequest.Prompt] = true
		}
	}
}

// Checks how results and engine records are counted by tier, and that a refusal
// while an answer of a lower tier is being streamed counts as an inversion.
func TestTierSummaries(t *testing.T) {
	topTierJob := load.Job{Class: spec.Class{Tier: 0}, ModelRequest: simeng.CompletionRequest{Prompt: "a"}}
	lowTierJob := load.Job{Class: spec.Class{Tier: 3}, ModelRequest: simeng.CompletionRequest{Prompt: "b", Stream: true}}
	run := RunResult{
		Results: []load.Result{
			{Job: topTierJob, Outcome: load.Complete, TotalTime: time.Second},
			{Job: topTierJob, Outcome: load.Refused, SentAt: time.Second, TotalTime: time.Millisecond},
			{Job: topTierJob, Outcome: load.GaveUp},
			{Job: lowTierJob, Outcome: load.Complete, TimeToFirstToken: 500 * time.Millisecond, TotalTime: 2 * time.Second, Tokens: 2},
			{Job: lowTierJob, Outcome: load.Wrong},
		},
		Records: []simeng.Record{{PromptDigest: simeng.Digest("b"), PromptTokens: 7, WastedPrefillTokens: 3}},
	}
	summaries := run.TierSummaries()
	want := TierSummary{Tier: 0, Offered: 3, WithinTarget: 1, Late: 1, Refused: 1, P50MS: 1000, P99MS: 1000}
	if summaries[0] != want {
		t.Errorf("tier 0: %+v, want %+v", summaries[0], want)
	}
	want = TierSummary{Tier: 3, Offered: 2, WithinTarget: 1, Wrong: 1, PromptTokens: 7, WastedPrefillTokens: 3, P50MS: 2000, P99MS: 2000}
	if summaries[3] != want {
		t.Errorf("tier 3: %+v, want %+v", summaries[3], want)
	}
	if n := countInversions(run.Results); n != 1 {
		t.Errorf("%d inversions, want 1", n)
	}
}

// Checks that the other customers send the same requests with and without the extra
// load of the hot customer. The two runs show what that load costs the others. If
// the others' requests differed, the comparison would show mere chance.
func TestCalmRunKeepsOtherCustomersRequests(t *testing.T) {
	for _, sc := range Scenarios() {
		if !sc.HasCalmRun() {
			continue
		}
		otherSendTimes := func(phases []phase) (at []time.Duration) {
			for _, j := range generateJobs(sc.seed, sc.shapes, phases, sc.prefixes) {
				if j.Customer != hotCustomer {
					at = append(at, j.SendAt)
				}
			}
			return at
		}
		capacity := Capacity(sc.shapes)
		withExtraLoad, withoutExtraLoad := otherSendTimes(sc.phases(capacity)), otherSendTimes(sc.calmPhases(capacity))
		if !slices.Equal(withExtraLoad, withoutExtraLoad) {
			t.Errorf("%s: other customers send %d requests with the extra load and %d without it, or at other times", sc.Name, len(withExtraLoad), len(withoutExtraLoad))
		}
	}
}
