package exper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"lycheepond/trial/basel"
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/procs"
	"lycheepond/trial/serve"
	"lycheepond/trial/simapi"
	"lycheepond/trial/simeng"
)

// Lycheepond is the policy under test. The other policies are those of package
// basel.
const Lycheepond = "lycheepond"

// Policies returns the policies in the order in which they run.
func Policies() []string { return []string{Lycheepond, basel.RoundRobin, basel.LeastLoad} }

// runner is one run of a scenario under a policy.
type runner struct {
	ctx    context.Context
	policy string
	set    *procs.Set
	fleet  *fleet.Fleet
	// dispatchers holds the dispatchers of a baseline. It is empty under Lycheepond.
	dispatchers []*dispatcher
	log         io.Writer
}

// dispatcher is one dispatcher process of a baseline.
type dispatcher struct {
	proc       *procs.Proc
	listenAddr string
	// startCount is how often it was started.
	startCount int
}

// RunResult holds the results of one run.
type RunResult struct {
	Scenario, Policy string
	// Results holds the results of all requests, in the order of SendAt.
	Results []load.Result
	// Records holds the engines' records of what they ran.
	Records []simeng.Record
	// CapacityRPS is the highest rate that the engines can serve, in requests per
	// second.
	CapacityRPS float64
	shapes      []shape
	// rampUp is the time at the start of the run whose requests don't count.
	rampUp time.Duration
}

// Options configures one run.
type Options struct {
	Policy string
	// Calm leaves out the extra load of the scenario's hot customer.
	Calm bool
	// Log receives a line for each warm-up request that failed.
	Log io.Writer
	// Trace receives the entries' status over time. It may be nil.
	Trace io.Writer
}

// Run starts a deployment with the processes of set, runs the scenario against it
// and returns the results. The caller ends the processes.
func Run(ctx context.Context, set *procs.Set, sc Scenario, opt Options) (RunResult, error) {
	capacity, policy := Capacity(sc.shapes), opt.Policy
	phases := sc.phases(capacity)
	if opt.Calm {
		phases = sc.calmPhases(capacity)
	}
	jobs := generateJobs(sc.seed, sc.shapes, phases, sc.prefixes)
	result := RunResult{Scenario: sc.Name, Policy: policy, CapacityRPS: capacity, shapes: sc.shapes, rampUp: sc.rampUp}
	r := &runner{ctx: ctx, policy: policy, set: set, log: opt.Log}
	if err := r.startDeployment(sc); err != nil {
		return result, err
	}
	caller := load.NewCaller(r.requestAddrs())
	caller.AssumeComplete = policy != Lycheepond
	if err := r.warmUp(caller, jobs); err != nil {
		return result, err
	}
	err := r.sendJobs(caller, jobs, sc.events, opt.Trace, &result)
	for _, u := range r.fleet.Units() {
		records, rerr := u.Records(ctx)
		err = errors.Join(err, rerr)
		result.Records = append(result.Records, records...)
	}
	return result, err
}

// sendJobs sends the jobs and triggers the events at the same time, and puts the
// results into result. It writes the entries' status to trace unless that is nil.
func (r *runner) sendJobs(c *load.Caller, jobs []load.Job, events []event, trace io.Writer, result *RunResult) error {
	ctx, stop := context.WithCancel(r.ctx)
	traceDone, eventsDone := make(chan struct{}), make(chan error, 1)
	go func() {
		defer close(traceDone)
		if trace != nil {
			r.writeTrace(ctx, trace)
		}
	}()
	go func() { eventsDone <- r.triggerEvents(events) }()
	result.Results = c.Run(r.ctx, jobs)
	stop()
	<-traceDone
	return <-eventsDone
}

// startDeployment starts the engines and, in front of them, agents and entries or
// the dispatchers of a baseline.
func (r *runner) startDeployment(sc Scenario) (err error) {
	r.fleet, err = fleet.Start(r.ctx, r.set, deploymentPlan(r.policy != Lycheepond, sc.shapes))
	if err != nil || r.policy == Lycheepond {
		return err
	}
	for range 2 {
		d := new(dispatcher)
		if d.listenAddr, err = procs.FreeAddr(); err != nil {
			return err
		}
		r.dispatchers = append(r.dispatchers, d)
		if err := r.startDispatcher(d); err != nil {
			return err
		}
	}
	return nil
}

// startDispatcher starts a dispatcher for the first time, or again after it was
// killed, and waits until it is ready.
func (r *runner) startDispatcher(d *dispatcher) (err error) {
	args := []string{"baseline", "--policy", r.policy, "--listen", d.listenAddr}
	for _, u := range r.fleet.Units() {
		args = append(args, "--engine", u.Addr)
	}
	d.startCount++
	d.proc, err = r.set.Start(fmt.Sprintf("baseline-%s-%d", d.listenAddr, d.startCount), "trial", args...)
	if err != nil {
		return err
	}
	_, err = d.proc.Ready(r.ctx)
	return err
}

// requestAddrs returns the addresses to which callers send requests.
func (r *runner) requestAddrs() (out []string) {
	for _, d := range r.dispatchers {
		out = append(out, d.listenAddr)
	}
	if len(out) > 0 {
		return out
	}
	for _, e := range r.fleet.Entries() {
		out = append(out, e.ListenAddr)
	}
	return out
}

// Parameters of the warm-up. Its requests open the connections before the run and
// are not counted in any figure.
const (
	warmupRequests     = 40
	warmupConcurrency  = 4
	warmupPrompt       = "warm up %d"
	warmupOutputTokens = 4
)

// warmUp sends the warm-up requests. It fails if none of them is answered.
func (r *runner) warmUp(c *load.Caller, jobs []load.Job) error {
	if len(jobs) < warmupRequests {
		return errors.New("exper: the workload is too small")
	}
	warmupJobs := make([]load.Job, warmupRequests)
	for i := range warmupJobs {
		warmupJobs[i] = jobs[i]
		warmupJobs[i].ModelRequest.Prompt, warmupJobs[i].ModelRequest.MaxTokens = fmt.Sprintf(warmupPrompt, i), warmupOutputTokens
	}
	completeCount := 0
	for _, res := range c.RunConcurrently(r.ctx, warmupJobs, warmupConcurrency) {
		if res.Outcome == load.Complete {
			completeCount++
		} else {
			fmt.Fprintf(r.log, "warm up: %s %d %s\n", res.Outcome, res.Status, res.Detail)
		}
	}
	if completeCount == 0 {
		return errors.New("exper: no request of the warm-up was answered: read the logs in " + r.set.Dir())
	}
	return nil
}

// triggerEvents triggers each event at its time and returns their errors.
func (r *runner) triggerEvents(events []event) error {
	start := time.Now()
	var errs []error
	for _, ev := range events {
		if !serve.Sleep(r.ctx, ev.at-time.Since(start)) {
			break
		}
		errs = append(errs, ev.trigger(r))
	}
	return errors.Join(errs...)
}

// slowFastestEngine slows the fastest engine down. The engine doesn't report it.
func slowFastestEngine(r *runner) error {
	return r.fleet.Units()[0].SetFault(r.ctx, simeng.Fault{Speed: slowedSpeed})
}

// takePlatformDown makes the platform unreachable.
func takePlatformDown(r *runner) error {
	return r.fleet.Platform().SetFault(r.ctx, simapi.Fault{Down: true})
}

// killAgent returns a trigger that kills agent i without warning and starts it
// again. It does nothing to the baselines, which have no agents.
func killAgent(i int) func(*runner) error {
	return func(r *runner) error {
		if r.policy != Lycheepond {
			return nil
		}
		u := r.fleet.Units()[i]
		return errors.Join(u.Agent.Kill(), r.fleet.RestartAgent(r.ctx, u))
	}
}

// maxStopTime is how long a planned stop may take in an experiment.
const maxStopTime = 10 * time.Second

// stopAgent returns a trigger that stops agent i as planned and starts it again. It
// does nothing to the baselines.
func stopAgent(i int) func(*runner) error {
	return func(r *runner) error {
		if r.policy != Lycheepond {
			return nil
		}
		u := r.fleet.Units()[i]
		return errors.Join(u.Agent.Stop(maxStopTime), r.fleet.RestartAgent(r.ctx, u))
	}
}

// killEntry returns a trigger that kills entry i, or dispatcher i of a baseline,
// and starts it again.
func killEntry(i int) func(*runner) error {
	return func(r *runner) error {
		if r.policy != Lycheepond {
			return errors.Join(r.dispatchers[i].proc.Kill(), r.startDispatcher(r.dispatchers[i]))
		}
		e := r.fleet.Entries()[i]
		return errors.Join(e.Proc.Kill(), r.fleet.RestartEntry(r.ctx, e))
	}
}
