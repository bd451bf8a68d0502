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
	"lycheepond/trial/engin"
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/procs"
	"lycheepond/trial/serve"
)

// Config says what to measure.
type Config struct {
	// Agents, Customers and Entries are the sizes.
	Agents, Customers, Entries []int
	// Sample is how long each point is measured.
	Sample time.Duration
	// Rate is requests a second and agent at full load.
	Rate float64
	// IdleHeartbeat goes into the settings; zero leaves the default.
	IdleHeartbeat time.Duration
	// Show is called with each Point, Calls and Spread as soon as it is
	// measured.
	Show func(any) error
}

const (
	// settle is how long a deployment is left alone before it is measured.
	settle = 3 * time.Second
	// entries is how many entries run while something else is counted.
	entries = 2
	// engines is how many stand-ins the agents share.
	engines = 10
	// fewAgents is how many agents run while customers are counted.
	fewAgents = 10
	model     = "roster"
	ownClass  = "tag"
	// freeClass has no target, so that a flood of it waits and is not refused.
	freeClass = "batch"
)

// Agents measures one number of agents, idle, at half and at full load.
func Agents(ctx context.Context, set *procs.Set, cfg Config, n int) ([]Point, error) {
	start := time.Now()
	f, err := fleet.Start(ctx, set, cfg.plan(n, 1, entries))
	if err != nil {
		return nil, err
	}
	if err := await(ctx, f, n); err != nil {
		return nil, err
	}
	if err := Phases(ctx, f, Point{Measure: ByAgents, Size: n}, time.Since(start), cfg.Show); err != nil {
		return nil, err
	}
	var out []Point
	for _, l := range []struct {
		name string
		part float64
	}{{Idle, 0}, {Half, 0.5}, {Full, 1}} {
		rate := l.part * cfg.Rate * float64(n)
		points, err := under(ctx, f, cfg, rate, Point{Measure: ByAgents, Size: n, Load: l.name})
		if err != nil {
			return out, err
		}
		out = append(out, points...)
	}
	return out, nil
}

// Customers measures one number of customers, idle.
func Customers(ctx context.Context, set *procs.Set, cfg Config, n int) ([]Point, error) {
	f, err := fleet.Start(ctx, set, cfg.plan(fewAgents, n, entries))
	if err != nil {
		return nil, err
	}
	if err := await(ctx, f, fewAgents); err != nil {
		return nil, err
	}
	return under(ctx, f, cfg, 0, Point{Measure: ByCustomers, Size: n, Load: Idle})
}

// Entries measures one number of entries, idle: what they ask of the platform
// grows with their number, because each confirms the tables for itself.
func Entries(ctx context.Context, set *procs.Set, cfg Config, n int) ([]Point, error) {
	start := time.Now()
	f, err := fleet.Start(ctx, set, cfg.plan(fewAgents, 1, n))
	if err != nil {
		return nil, err
	}
	if err := await(ctx, f, fewAgents); err != nil {
		return nil, err
	}
	p := Point{Measure: ByEntries, Size: n, Load: Idle}
	if err := Phases(ctx, f, p, time.Since(start), cfg.Show); err != nil {
		return nil, err
	}
	return under(ctx, f, cfg, 0, p)
}

func (c Config) plan(n, customers, entries int) fleet.Plan {
	p := plan(n, customers, entries)
	p.IdleHeartbeat = c.IdleHeartbeat
	return p
}

// plan is n agents that share a few engines, and a number of customers and of
// entries.
func plan(n, customers, entries int) fleet.Plan {
	p := fleet.Plan{Name: "capacity", Zones: []string{"z1", "z2"}, Entries: entries, Objects: objects(customers)}
	for i := range n {
		cfg := engin.Default()
		cfg.Slots, cfg.DecodeTPS, cfg.KVBlocks = 64, 200, 16384
		ep := fleet.EngineEndpoint(fmt.Sprintf("engine-%03d", i), p.Zones[i%len(p.Zones)], model, cfg)
		if i >= engines {
			ep.Share = fmt.Sprintf("engine-%03d", i%engines)
		}
		p.Endpoints = append(p.Endpoints, ep)
	}
	return p
}

func bearer(i int) string { return fmt.Sprintf("capacity-key-%d", i) }

func ownClassObject() spec.Class {
	return spec.Class{
		Name: ownClass, Tier: 1, Deadline: spec.Duration(10 * time.Second),
		Target: spec.Target{Complete: spec.Duration(2 * time.Second)},
	}
}

func objects(customers int) []spec.Item {
	class := ownClassObject()
	m := spec.Model{Name: model, Endpoints: map[string]string{"model": model}, Version: "v1"}
	items := []spec.Item{
		{Kind: spec.KindClass, Name: class.Name, Object: class},
		{Kind: spec.KindClass, Name: freeClass, Object: spec.Class{Name: freeClass, Tier: 1}},
		{Kind: spec.KindModel, Name: m.Name, Object: m},
	}
	for i := range customers {
		c := customer(i)
		items = append(items, spec.Item{Kind: spec.KindCustomer, Name: c.Name, Object: c})
	}
	return items
}

func customer(i int) spec.Customer {
	sum := sha256.Sum256([]byte(bearer(i)))
	return spec.Customer{Name: fmt.Sprintf("customer-%05d", i), Keys: []spec.Key{{SHA256: hex.EncodeToString(sum[:]), Class: ownClass}}}
}

const (
	awaitLimit = 60 * time.Second
	awaitLook  = 200 * time.Millisecond
)

// await waits until every agent is linked to some entry.
func await(ctx context.Context, f *fleet.Fleet, agents int) error {
	ctx, stop := context.WithTimeout(ctx, awaitLimit)
	defer stop()
	for {
		linked := 0
		for _, e := range f.Entries() {
			s, err := entryStatus(ctx, e)
			if err != nil {
				return err
			}
			for _, p := range s.Pools {
				for _, a := range p.Agents {
					if a.Linked {
						linked++
					}
				}
			}
		}
		if linked >= agents {
			return nil
		}
		if !serve.Sleep(ctx, awaitLook) {
			return fmt.Errorf("capac: %d of %d agents are linked: read the logs", linked, agents)
		}
	}
}

// under measures while callers send at a rate.
func under(ctx context.Context, f *fleet.Fleet, cfg Config, rate float64, p Point) ([]Point, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var wait sync.WaitGroup
	var sent []load.Result
	if rate > 0 {
		jobs := arrivals(rate, settle+cfg.Sample+time.Second)
		wait.Go(func() { sent = caller(f).Run(ctx, jobs) })
	}
	if !serve.Sleep(ctx, settle) {
		return nil, context.Cause(ctx)
	}
	p.RequestsPerSecond = rate
	points, err := sample(ctx, f, cfg.Sample, p)
	if err != nil {
		return nil, err
	}
	wait.Wait()
	if err := check(sent); err != nil {
		return nil, err
	}
	var errs []error
	for _, p := range points {
		errs = append(errs, cfg.Show(p))
	}
	return points, errors.Join(errs...)
}

func caller(f *fleet.Fleet) *load.Caller {
	var targets []string
	for _, e := range f.Entries() {
		targets = append(targets, e.Listen)
	}
	return load.NewCaller(targets)
}

// goodPart is how much of the load must be answered for a point to stand.
const goodPart = 0.95

func check(results []load.Result) error {
	good := 0
	for _, r := range results {
		if r.Outcome == load.Complete {
			good++
		}
		if r.Outcome == load.Wrong {
			return errors.New("capac: an answer is wrong")
		}
	}
	if float64(good) < goodPart*float64(len(results)) {
		return fmt.Errorf("capac: %d of %d requests were answered: lower the rate", good, len(results))
	}
	return nil
}

const (
	promptWords = 40
	answerWant  = 32
)

func arrivals(rate float64, span time.Duration) []load.Job {
	rnd := rand.New(rand.NewPCG(1, 1))
	var jobs []load.Job
	for at := time.Duration(0); at < span; {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		jobs = append(jobs, load.Job{
			SendAt: at, Class: spec.Class{Name: ownClass, Deadline: spec.Duration(10 * time.Second)},
			Bearer: bearer(0),
			Ask: engin.Ask{
				Model: model, MaxTokens: answerWant, Stream: true,
				Prompt: fmt.Sprintf("job %d ", len(jobs)) + strings.Repeat("note ", promptWords),
			},
		})
	}
	return jobs
}
