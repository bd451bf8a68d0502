package capac

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/engin"
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/procs"
)

// Added is the pace of streams by one way to the engine.
type Added struct {
	// Path is direct or entry.
	Path     string  `json:"path"`
	Requests int     `json:"requests"`
	FirstP50 float64 `json:"first_p50_ms"`
	FirstP99 float64 `json:"first_p99_ms"`
	// Between is of the mean time between two tokens of a stream.
	BetweenP50 float64 `json:"between_p50_ms"`
	BetweenP99 float64 `json:"between_p99_ms"`
}

// Relay is how many streamed tokens a process passes on for each second of
// processor time.
type Relay struct {
	Role             string  `json:"relay"`
	Tokens           int     `json:"tokens"`
	TokensPerSecond  float64 `json:"tokens_s"`
	TokensPerCoreSec float64 `json:"tokens_core_s"`
}

// Sizes of the measurement of the path.
const (
	pathPairs    = 60
	pathWant     = 24
	relayJobs    = 1200
	relayWidth   = 300
	relayWant    = 200
	relayEngines = 6
)

// Path measures what the way through entry and agent adds to a stream against
// calling the engine directly, one request at a time and in turn, and how many
// tokens entry and agent relay.
func Path(ctx context.Context, set *procs.Set, show func(any) error) error {
	f, err := fleet.Start(ctx, set, relayPlan())
	if err != nil {
		return err
	}
	if err := await(ctx, f, relayEngines); err != nil {
		return err
	}
	if err := added(ctx, f, show); err != nil {
		return err
	}
	return relay(ctx, f, show)
}

func relayPlan() fleet.Plan {
	p := plan(relayEngines, 1, 1)
	for _, ep := range p.Endpoints {
		ep.Engine.Slots, ep.Engine.DecodeTPS, ep.Engine.BatchSlope = 128, 100, 0
	}
	return p
}

func pathJob(n, want int) load.Job {
	return load.Job{
		Class: spec.Class{Name: freeClass, Deadline: spec.Duration(time.Minute)}, Bearer: bearer(0),
		Ask: engin.Ask{
			Model: model, MaxTokens: want, Stream: true,
			Prompt: fmt.Sprintf("stream %d ", n) + strings.Repeat("note ", promptWords),
		},
	}
}

func added(ctx context.Context, f *fleet.Fleet, show func(any) error) error {
	through := caller(f)
	var engines []string
	for _, u := range f.Units() {
		engines = append(engines, u.Addr)
	}
	direct := load.NewCaller(engines)
	direct.AssumeComplete = true
	var a, b []load.Result
	for i := range pathPairs {
		a = append(a, direct.Send(ctx, i, pathJob(2*i, pathWant)))
		b = append(b, through.Send(ctx, i, pathJob(2*i+1, pathWant)))
	}
	return errors.Join(check(a), check(b), show(pace("direct", a)), show(pace("entry", b)))
}

func pace(path string, results []load.Result) Added {
	var first, between []time.Duration
	for _, r := range results {
		first, between = append(first, r.First), append(between, r.TokenInterval)
	}
	return Added{
		Path: path, Requests: len(results), FirstP50: part(first, 50), FirstP99: part(first, 99),
		BetweenP50: part(between, 50), BetweenP99: part(between, 99),
	}
}

// part returns the percentile of durations in milliseconds.
func part(d []time.Duration, percent int) float64 {
	slices.Sort(d)
	i := (len(d)*percent+99)/100 - 1
	return round(float64(d[max(i, 0)].Microseconds()) / 1000)
}

func relay(ctx context.Context, f *fleet.Fleet, show func(any) error) error {
	jobs := make([]load.Job, relayJobs)
	for i := range jobs {
		jobs[i] = pathJob(i, relayWant)
	}
	entries, agents, err := read(ctx, f)
	if err != nil {
		return err
	}
	start := time.Now()
	results := caller(f).RunConcurrently(ctx, jobs, relayWidth)
	took := time.Since(start)
	entries2, agents2, err := read(ctx, f)
	if err != nil {
		return err
	}
	tokens := 0
	for _, r := range results {
		tokens += r.Tokens
	}
	return errors.Join(
		check(results),
		show(relayed(RoleEntry, tokens, took, entries, entries2)),
		show(relayed(RoleAgent, tokens, took, agents, agents2)),
	)
}

func relayed(role string, tokens int, took time.Duration, from, to reading) Relay {
	var cpu time.Duration
	for name, u := range to {
		cpu += u.cpu - from[name].cpu
	}
	r := Relay{Role: role, Tokens: tokens, TokensPerSecond: round(float64(tokens) / took.Seconds())}
	if cpu > 0 {
		r.TokensPerCoreSec = round(float64(tokens) / cpu.Seconds())
	}
	return r
}
