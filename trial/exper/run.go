package exper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"lycheepond/trial/basel"
	"lycheepond/trial/engin"
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/platf"
	"lycheepond/trial/procs"
	"lycheepond/trial/serve"
)

// Lycheepond is the policy under test; the others are those of package basel.
const Lycheepond = "lycheepond"

// Policies returns the policies in the order in which they run.
func Policies() []string { return []string{Lycheepond, basel.RoundRobin, basel.LeastLoad} }

// runner is one run of a scenario under a policy.
type runner struct {
	ctx    context.Context
	policy string
	set    *procs.Set
	fleet  *fleet.Fleet
	// fronts are the baseline's dispatchers; empty under lycheepond.
	fronts []*front
	log    io.Writer
}

// front is one dispatcher of a baseline.
type front struct {
	proc   *procs.Proc
	listen string
	starts int
}

// Outcome is what one run gave.
type Outcome struct {
	Scenario, Policy string
	Results          []load.Result
	Records          []engin.Record
	// Capacity is requests a second at the engines' best.
	Capacity float64
	shapes   []shape
	// lead is how much of the beginning does not count.
	lead time.Duration
}

// Options are the choices of one run.
type Options struct {
	Policy string
	// Calm leaves the surplus of the scenario's hot customer out.
	Calm bool
	// Log takes notes for those who read along.
	Log io.Writer
	// Trace takes the entries' status over time; nil for none.
	Trace io.Writer
}

// Run runs a scenario with the processes of set.
func Run(ctx context.Context, set *procs.Set, sc Scenario, opt Options) (Outcome, error) {
	capacity, policy := Capacity(sc.shapes), opt.Policy
	phases := sc.phases(capacity)
	if opt.Calm {
		phases = sc.calm(capacity)
	}
	jobs := generate(sc.seed, sc.shapes, phases, sc.prefix)
	out := Outcome{Scenario: sc.Name, Policy: policy, Capacity: capacity, shapes: sc.shapes, lead: sc.lead}
	r := &runner{ctx: ctx, policy: policy, set: set, log: opt.Log}
	if err := r.start(sc); err != nil {
		return out, err
	}
	caller := load.NewCaller(r.targets())
	caller.AssumeComplete = policy != Lycheepond
	if err := r.warm(caller, jobs); err != nil {
		return out, err
	}
	err := r.drive(caller, jobs, sc.events, opt.Trace, &out)
	for _, u := range r.fleet.Units() {
		records, rerr := u.Records(ctx)
		err = errors.Join(err, rerr)
		out.Records = append(out.Records, records...)
	}
	return out, err
}

// drive sends the jobs while the events happen.
func (r *runner) drive(c *load.Caller, jobs []load.Job, events []event, trace io.Writer, out *Outcome) error {
	ctx, stop := context.WithCancel(r.ctx)
	traced, played := make(chan struct{}), make(chan error, 1)
	go func() {
		defer close(traced)
		if trace != nil {
			r.trace(ctx, trace)
		}
	}()
	go func() { played <- r.play(events) }()
	out.Results = c.Run(r.ctx, jobs)
	stop()
	<-traced
	return <-played
}

func (r *runner) start(sc Scenario) (err error) {
	r.fleet, err = fleet.Start(r.ctx, r.set, plan(r.policy != Lycheepond, sc.shapes))
	if err != nil || r.policy == Lycheepond {
		return err
	}
	for range 2 {
		f := new(front)
		if f.listen, err = procs.Port(); err != nil {
			return err
		}
		r.fronts = append(r.fronts, f)
		if err := r.launch(f); err != nil {
			return err
		}
	}
	return nil
}

// launch starts a dispatcher, also in place of one that was killed.
func (r *runner) launch(f *front) (err error) {
	args := []string{"baseline", "--policy", r.policy, "--listen", f.listen}
	for _, u := range r.fleet.Units() {
		args = append(args, "--engine", u.Addr)
	}
	f.starts++
	f.proc, err = r.set.Start(fmt.Sprintf("baseline-%s-%d", f.listen, f.starts), "trial", args...)
	if err != nil {
		return err
	}
	_, err = f.proc.Ready(r.ctx)
	return err
}

func (r *runner) targets() (out []string) {
	for _, f := range r.fronts {
		out = append(out, f.listen)
	}
	if len(out) > 0 {
		return out
	}
	for _, e := range r.fleet.Entries() {
		out = append(out, e.Listen)
	}
	return out
}

// warmup is how many requests make the connections before the run. They count
// in no figure.
const (
	warmup     = 40
	warmWidth  = 4
	warmPrompt = "warm up %d"
	warmTokens = 4
)

func (r *runner) warm(c *load.Caller, jobs []load.Job) error {
	if len(jobs) < warmup {
		return errors.New("exper: the workload is too small")
	}
	first := make([]load.Job, warmup)
	for i := range first {
		first[i] = jobs[i]
		first[i].Ask.Prompt, first[i].Ask.MaxTokens = fmt.Sprintf(warmPrompt, i), warmTokens
	}
	done := 0
	for _, res := range c.RunConcurrently(r.ctx, first, warmWidth) {
		if res.Outcome == load.Complete {
			done++
		} else {
			fmt.Fprintf(r.log, "warm up: %s %d %s\n", res.Outcome, res.Status, res.Detail)
		}
	}
	if done == 0 {
		return errors.New("exper: no request of the warm-up was answered: read the logs in " + r.set.Dir())
	}
	return nil
}

// play lets the events of a scenario happen.
func (r *runner) play(events []event) error {
	start := time.Now()
	var errs []error
	for _, ev := range events {
		if !serve.Sleep(r.ctx, ev.at-time.Since(start)) {
			break
		}
		errs = append(errs, ev.do(r))
	}
	return errors.Join(errs...)
}

// slowDown makes the fastest engine slow and says nothing.
func slowDown(r *runner) error {
	return r.fleet.Units()[0].Fault(r.ctx, engin.Fault{Speed: slowedTo})
}

func platformDown(r *runner) error {
	return r.fleet.Platform().Fault(r.ctx, platf.Fault{Down: true})
}

// killAgent kills an agent without warning and starts it again. The baselines
// have no agents, so nothing happens to them.
func killAgent(i int) func(*runner) error {
	return func(r *runner) error {
		if r.policy != Lycheepond {
			return nil
		}
		u := r.fleet.Units()[i]
		return errors.Join(u.Agent.Kill(), r.fleet.RestartAgent(r.ctx, u))
	}
}

// stopGrace is how long a planned stop may take in an experiment.
const stopGrace = 10 * time.Second

// stopAgent replaces an agent by a planned stop.
func stopAgent(i int) func(*runner) error {
	return func(r *runner) error {
		if r.policy != Lycheepond {
			return nil
		}
		u := r.fleet.Units()[i]
		return errors.Join(u.Agent.Stop(stopGrace), r.fleet.RestartAgent(r.ctx, u))
	}
}

// killEntry kills an entry, or a dispatcher, and starts it again.
func killEntry(i int) func(*runner) error {
	return func(r *runner) error {
		if r.policy != Lycheepond {
			return errors.Join(r.fronts[i].proc.Kill(), r.launch(r.fronts[i]))
		}
		e := r.fleet.Entries()[i]
		return errors.Join(e.Proc.Kill(), r.fleet.RestartEntry(r.ctx, e))
	}
}
