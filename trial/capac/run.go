package capac

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/procs"
	"lycheepond/trial/serve"
	"lycheepond/trial/simeng"
)

// Config configures the measurements.
type Config struct {
	// Agents, Customers and Entries are the numbers of each to measure at.
	Agents, Customers, Entries []int
	// SampleTime is how long each point is measured.
	SampleTime time.Duration
	// RatePerAgent is the number of requests per second and agent at full load.
	RatePerAgent float64
	// IdleHeartbeat is the idle_heartbeat setting of entries and agents. Zero means
	// the default.
	IdleHeartbeat time.Duration
	// Report is called with each Point, PlatformCalls and ConfigPropagation as soon as
	// it is measured.
	Report func(any) error
}

const (
	// settleTime is the wait before a deployment is measured.
	settleTime = 3 * time.Second
	// baseEntries is the number of entries in measurements by agents or customers.
	baseEntries = 2
	// sharedEngines is the number of simulated engines that the agents share.
	sharedEngines = 10
	// baseAgents is the number of agents in measurements by customers or entries.
	baseAgents   = 10
	model        = "roster"
	tagClassName = "tag"
	// batchClassName has no target, so that many of its requests queue and are not refused.
	batchClassName = "batch"
)

// MeasureAgents measures a deployment with n agents when idle, at half and at full
// load.
func MeasureAgents(ctx context.Context, set *procs.Set, cfg Config, n int) ([]Point, error) {
	start := time.Now()
	f, err := fleet.Start(ctx, set, cfg.deploymentPlan(n, 1, baseEntries))
	if err != nil {
		return nil, err
	}
	if err := waitForLinks(ctx, f, n); err != nil {
		return nil, err
	}
	if err := MeasurePhases(ctx, f, Point{Dimension: ByAgents, Size: n}, time.Since(start), cfg.Report); err != nil {
		return nil, err
	}
	var out []Point
	for _, l := range []struct {
		name     string
		fraction float64
	}{{IdleLoad, 0}, {HalfLoad, 0.5}, {FullLoad, 1}} {
		rate := l.fraction * cfg.RatePerAgent * float64(n)
		points, err := measureAtRate(ctx, f, cfg, rate, Point{Dimension: ByAgents, Size: n, Load: l.name})
		if err != nil {
			return out, err
		}
		out = append(out, points...)
	}
	return out, nil
}

// MeasureCustomers measures an idle deployment with n customers.
func MeasureCustomers(ctx context.Context, set *procs.Set, cfg Config, n int) ([]Point, error) {
	f, err := fleet.Start(ctx, set, cfg.deploymentPlan(baseAgents, n, baseEntries))
	if err != nil {
		return nil, err
	}
	if err := waitForLinks(ctx, f, baseAgents); err != nil {
		return nil, err
	}
	return measureAtRate(ctx, f, cfg, 0, Point{Dimension: ByCustomers, Size: n, Load: IdleLoad})
}

// MeasureEntries measures an idle deployment with n entries. The calls to the platform
// grow with n, because each entry confirms the tables on its own.
func MeasureEntries(ctx context.Context, set *procs.Set, cfg Config, n int) ([]Point, error) {
	start := time.Now()
	f, err := fleet.Start(ctx, set, cfg.deploymentPlan(baseAgents, 1, n))
	if err != nil {
		return nil, err
	}
	if err := waitForLinks(ctx, f, baseAgents); err != nil {
		return nil, err
	}
	p := Point{Dimension: ByEntries, Size: n, Load: IdleLoad}
	if err := MeasurePhases(ctx, f, p, time.Since(start), cfg.Report); err != nil {
		return nil, err
	}
	return measureAtRate(ctx, f, cfg, 0, p)
}

// deploymentPlan returns a plan with the configured heartbeat.
func (c Config) deploymentPlan(agents, customers, entries int) fleet.Plan {
	p := deploymentPlan(agents, customers, entries)
	p.IdleHeartbeat = c.IdleHeartbeat
	return p
}

// deploymentPlan returns a plan with the given numbers of agents, customers and entries.
// The agents share a few engines.
func deploymentPlan(agents, customers, entries int) fleet.Plan {
	p := fleet.Plan{Name: "capacity", Zones: []string{"z1", "z2"}, Entries: entries, Objects: platformObjects(customers)}
	for i := range agents {
		cfg := simeng.DefaultConfig()
		cfg.Slots, cfg.DecodeTPS, cfg.KVBlocks = 64, 200, 16384
		ep := fleet.EngineEndpoint(fmt.Sprintf("engine-%03d", i), p.Zones[i%len(p.Zones)], model, cfg)
		if i >= sharedEngines {
			ep.SharesWith = fmt.Sprintf("engine-%03d", i%sharedEngines)
		}
		p.Endpoints = append(p.Endpoints, ep)
	}
	return p
}

// bearer returns the key of customer i.
func bearer(i int) string { return fmt.Sprintf("capacity-key-%d", i) }

// newTagClass returns the class of the requests that measureAtRate sends.
func newTagClass() spec.Class {
	return spec.Class{
		Name: tagClassName, Tier: 1, Deadline: spec.Duration(10 * time.Second),
		Target: spec.Target{Complete: spec.Duration(2 * time.Second)},
	}
}

// platformObjects returns the classes, the model and the customers of a deployment.
func platformObjects(customers int) []spec.Item {
	class := newTagClass()
	m := spec.Model{Name: model, Endpoints: map[string]string{"model": model}, Version: "v1"}
	items := []spec.Item{
		{Kind: spec.KindClass, Name: class.Name, Object: class},
		{Kind: spec.KindClass, Name: batchClassName, Object: spec.Class{Name: batchClassName, Tier: 1}},
		{Kind: spec.KindModel, Name: m.Name, Object: m},
	}
	for i := range customers {
		c := newCustomer(i)
		items = append(items, spec.Item{Kind: spec.KindCustomer, Name: c.Name, Object: c})
	}
	return items
}

// newCustomer returns customer i.
func newCustomer(i int) spec.Customer {
	sum := sha256.Sum256([]byte(bearer(i)))
	return spec.Customer{Name: fmt.Sprintf("customer-%05d", i), Keys: []spec.Key{{SHA256: hex.EncodeToString(sum[:]), Class: tagClassName}}}
}

// The bound on the wait for links and the time between two checks.
const (
	maxLinkTime      = 60 * time.Second
	linkPollInterval = 200 * time.Millisecond
)

// waitForLinks waits until the entries have at least minLinks links to agents in total.
// Callers pass the number of agents.
func waitForLinks(ctx context.Context, f *fleet.Fleet, minLinks int) error {
	ctx, stop := context.WithTimeout(ctx, maxLinkTime)
	defer stop()
	for {
		links := 0
		for _, e := range f.Entries() {
			s, err := readEntryStatus(ctx, e)
			if err != nil {
				return err
			}
			for _, p := range s.Pools {
				for _, a := range p.Agents {
					if a.Linked {
						links++
					}
				}
			}
		}
		if links >= minLinks {
			return nil
		}
		if !serve.Sleep(ctx, linkPollInterval) {
			return fmt.Errorf("capac: %d of %d agents are linked: read the logs", links, minLinks)
		}
	}
}

// measureAtRate measures while callers send rate requests per second. It fills in the
// figures of p, reports and returns one point for each role.
func measureAtRate(ctx context.Context, f *fleet.Fleet, cfg Config, rate float64, p Point) ([]Point, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var wait sync.WaitGroup
	var results []load.Result
	if rate > 0 {
		jobs := poissonJobs(rate, settleTime+cfg.SampleTime+time.Second)
		wait.Go(func() { results = newEntryCaller(f).Run(ctx, jobs) })
	}
	if !serve.Sleep(ctx, settleTime) {
		return nil, context.Cause(ctx)
	}
	p.RequestsPerSecond = rate
	points, err := samplePoints(ctx, f, cfg.SampleTime, p)
	if err != nil {
		return nil, err
	}
	wait.Wait()
	if err := checkResults(results); err != nil {
		return nil, err
	}
	var errs []error
	for _, p := range points {
		errs = append(errs, cfg.Report(p))
	}
	return points, errors.Join(errs...)
}

// newEntryCaller returns a caller that sends to all entries in turn.
func newEntryCaller(f *fleet.Fleet) *load.Caller {
	var addrs []string
	for _, e := range f.Entries() {
		addrs = append(addrs, e.ListenAddr)
	}
	return load.NewCaller(addrs)
}

// minCompleteShare is the minimum share of requests that must be answered for a
// measurement to be valid.
const minCompleteShare = 0.95

// checkResults returns an error if any answer is wrong or too few are complete.
func checkResults(results []load.Result) error {
	completeCount := 0
	for _, r := range results {
		if r.Outcome == load.Complete {
			completeCount++
		}
		if r.Outcome == load.Wrong {
			return errors.New("capac: an answer is wrong")
		}
	}
	if float64(completeCount) < minCompleteShare*float64(len(results)) {
		return fmt.Errorf("capac: %d of %d requests were answered: lower the rate", completeCount, len(results))
	}
	return nil
}

// The size of a request in words and of its answer in tokens.
const (
	promptWords  = 40
	outputTokens = 32
)

// poissonJobs returns jobs with Poisson arrivals at rate requests per second during the
// time span. Every call with the same arguments returns the same jobs.
func poissonJobs(rate float64, span time.Duration) []load.Job {
	rnd := rand.New(rand.NewPCG(1, 1))
	var jobs []load.Job
	for at := time.Duration(0); at < span; {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		jobs = append(jobs, load.Job{
			SendAt: at, Class: spec.Class{Name: tagClassName, Deadline: spec.Duration(10 * time.Second)},
			Bearer: bearer(0),
			ModelRequest: simeng.CompletionRequest{
				Model: model, MaxTokens: outputTokens, Stream: true,
				Prompt: fmt.Sprintf("job %d ", len(jobs)) + strings.Repeat("note ", promptWords),
			},
		})
	}
	return jobs
}
