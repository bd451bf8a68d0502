package capac

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/procs"
	"lycheepond/trial/simeng"
)

// StreamLatency holds the latency of streams over one path to the engines. All times
// are in milliseconds.
type StreamLatency struct {
	// Path is direct, from the caller to the engine, or entry, through an entry and
	// an agent.
	Path            string  `json:"path"`
	Requests        int     `json:"requests"`
	FirstTokenP50MS float64 `json:"first_p50_ms"`
	FirstTokenP99MS float64 `json:"first_p99_ms"`
	// TokenIntervalP50MS and TokenIntervalP99MS are percentiles of the mean time between
	// two tokens of a stream.
	TokenIntervalP50MS float64 `json:"between_p50_ms"`
	TokenIntervalP99MS float64 `json:"between_p99_ms"`
}

// RelayThroughput holds how many streamed tokens the processes of a role pass on.
type RelayThroughput struct {
	Role   string `json:"relay"`
	Tokens int    `json:"tokens"`
	// TokensPerSecond is per second of the run and TokensPerCoreSecond per second of
	// processor time, which is summed over all processes of the role.
	TokensPerSecond     float64 `json:"tokens_s"`
	TokensPerCoreSecond float64 `json:"tokens_core_s"`
}

// The parameters of MeasurePath.
const (
	// streamsPerPath is the number of streams over each path.
	streamsPerPath    = 60
	pathOutputTokens  = 24
	relayRequests     = 1200
	relayConcurrency  = 300
	relayOutputTokens = 200
	relayEngines      = 6
)

// MeasurePath measures the latency that an entry and an agent add to a stream, and
// how many tokens they relay. For the latency it sends one request at a time, alternately
// directly to an engine and through an entry. It calls report with two StreamLatency
// values and two RelayThroughput values.
func MeasurePath(ctx context.Context, set *procs.Set, report func(any) error) error {
	f, err := fleet.Start(ctx, set, relayPlan())
	if err != nil {
		return err
	}
	if err := waitForLinks(ctx, f, relayEngines); err != nil {
		return err
	}
	if err := measureLatency(ctx, f, report); err != nil {
		return err
	}
	return measureRelay(ctx, f, report)
}

// relayPlan returns a plan with one entry and with engines that don't slow down as more
// of their slots are in use.
func relayPlan() fleet.Plan {
	p := deploymentPlan(relayEngines, 1, 1)
	for _, ep := range p.Endpoints {
		ep.Engine.Slots, ep.Engine.DecodeTPS, ep.Engine.BatchSlope = 128, 100, 0
	}
	return p
}

// streamJob returns job number n, a stream with the given number of output tokens.
func streamJob(n, outputTokens int) load.Job {
	return load.Job{
		Class: spec.Class{Name: batchClassName, Deadline: spec.Duration(time.Minute)}, Bearer: bearer(0),
		ModelRequest: simeng.CompletionRequest{
			Model: model, MaxTokens: outputTokens, Stream: true,
			Prompt: fmt.Sprintf("stream %d ", n) + strings.Repeat("note ", promptWords),
		},
	}
}

// measureLatency sends streams to the engines directly and through the entry.
func measureLatency(ctx context.Context, f *fleet.Fleet, report func(any) error) error {
	entryCaller := newEntryCaller(f)
	var engineAddrs []string
	for _, u := range f.Units() {
		engineAddrs = append(engineAddrs, u.Addr)
	}
	engineCaller := load.NewCaller(engineAddrs)
	engineCaller.AssumeComplete = true
	var directResults, entryResults []load.Result
	for i := range streamsPerPath {
		directResults = append(directResults, engineCaller.Send(ctx, i, streamJob(2*i, pathOutputTokens)))
		entryResults = append(entryResults, entryCaller.Send(ctx, i, streamJob(2*i+1, pathOutputTokens)))
	}
	return errors.Join(checkResults(directResults), checkResults(entryResults), report(newStreamLatency("direct", directResults)), report(newStreamLatency("entry", entryResults)))
}

// newStreamLatency summarizes the results of one path.
func newStreamLatency(path string, results []load.Result) StreamLatency {
	var firstTokenTimes, tokenIntervals []time.Duration
	for _, r := range results {
		firstTokenTimes, tokenIntervals = append(firstTokenTimes, r.TimeToFirstToken), append(tokenIntervals, r.TokenInterval)
	}
	return StreamLatency{
		Path: path, Requests: len(results), FirstTokenP50MS: percentile(firstTokenTimes, 50), FirstTokenP99MS: percentile(firstTokenTimes, 99),
		TokenIntervalP50MS: percentile(tokenIntervals, 50), TokenIntervalP99MS: percentile(tokenIntervals, 99),
	}
}

// percentile returns the given percentile of d in milliseconds. It sorts d.
func percentile(d []time.Duration, percent int) float64 {
	slices.Sort(d)
	i := (len(d)*percent+99)/100 - 1
	return round(float64(d[max(i, 0)].Microseconds()) / 1000)
}

// measureRelay sends many streams at once and reads how much processor time entry and
// agents spend meanwhile.
func measureRelay(ctx context.Context, f *fleet.Fleet, report func(any) error) error {
	jobs := make([]load.Job, relayRequests)
	for i := range jobs {
		jobs[i] = streamJob(i, relayOutputTokens)
	}
	entriesBefore, agentsBefore, err := readUsages(ctx, f)
	if err != nil {
		return err
	}
	start := time.Now()
	results := newEntryCaller(f).RunConcurrently(ctx, jobs, relayConcurrency)
	elapsed := time.Since(start)
	entriesAfter, agentsAfter, err := readUsages(ctx, f)
	if err != nil {
		return err
	}
	tokens := 0
	for _, r := range results {
		tokens += r.Tokens
	}
	return errors.Join(
		checkResults(results),
		report(newRelayThroughput(RoleEntry, tokens, elapsed, entriesBefore, entriesAfter)),
		report(newRelayThroughput(RoleAgent, tokens, elapsed, agentsBefore, agentsAfter)),
	)
}

// newRelayThroughput returns the throughput of a role that relayed tokens within
// elapsed, given the usage of its processes before and after.
func newRelayThroughput(role string, tokens int, elapsed time.Duration, before, after usageByName) RelayThroughput {
	var cpuTime time.Duration
	for name, u := range after {
		cpuTime += u.cpuTime - before[name].cpuTime
	}
	r := RelayThroughput{Role: role, Tokens: tokens, TokensPerSecond: round(float64(tokens) / elapsed.Seconds())}
	if cpuTime > 0 {
		r.TokensPerCoreSecond = round(float64(tokens) / cpuTime.Seconds())
	}
	return r
}
