// Package orders maintains the assignments in the platform. A model's assignment
// says which version of it each endpoint must serve. Agents carry the assignments
// out by giving orders to their endpoints.
package orders

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/roles"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
	"lycheepond/entry/record"
)

const (
	// planInterval is the interval between two plans.
	planInterval = time.Second
	// confirmInterval is the interval between confirmations of an assignment while
	// an endpoint doesn't follow it yet. Agents give an order only after a recent
	// confirmation.
	confirmInterval = 1500 * time.Millisecond
	// conflictPause spreads the writes of entries whose writes have conflicted.
	conflictPause = 500 * time.Millisecond
	// maxConcurrentLoads bounds the endpoints that load weights at the same time,
	// because the weight store is rate limited.
	maxConcurrentLoads = 2
)

// Config holds the callbacks of a Planner. All functions must be set.
type Config struct {
	Record  record.Config
	Models  func() []spec.Model
	Members func(pool string) *agents.Members
	Now     func() time.Duration
	// Random returns a number in [0,1).
	Random func() float64
	Log    *zap.Logger
}

// Planner plans the assignments of all models. It is safe for concurrent use.
type Planner struct {
	cfg  Config
	loop *record.Loop
	// orderedAt holds when each current assignment of an endpoint was first seen at
	// this entry.
	orderedAt map[assignmentKey]time.Duration

	mu          sync.Mutex
	assignments map[string]*assignment
}

// assignmentKey identifies the assignment of one endpoint.
type assignmentKey struct{ model, endpoint, version string }

// assignment is the state of one model's assignment. Only Run uses it, except for
// FillLeaseReply of its Record.
type assignment struct {
	*record.Record
	// assign is the assignment in force at this entry, version its version at the
	// platform, zero if it is not there, and data its encoded form.
	assign  spec.Assign
	version int64
	data    []byte
	// confirmAt is when to confirm the assignment again.
	confirmAt time.Duration
}

// New returns a Planner that does nothing before Run is called.
func New(cfg Config) *Planner {
	return &Planner{
		cfg: cfg, loop: record.NewLoop(), orderedAt: make(map[assignmentKey]time.Duration), assignments: make(map[string]*assignment),
	}
}

// Wake requests planning now, for example after a new link.
func (p *Planner) Wake() { p.loop.Wake() }

// Run plans until ctx ends.
func (p *Planner) Run(ctx context.Context) error { return p.loop.Run(ctx, planInterval, p.plan) }

// FillLeaseReply sets the fields of reply that report how fresh the entry's
// knowledge of a model's assignment is.
func (p *Planner) FillLeaseReply(model string, reply *wire.LeaseReply) {
	p.mu.Lock()
	asg := p.assignments[model]
	p.mu.Unlock()
	if asg != nil {
		asg.FillLeaseReply(reply)
	}
}

// assignmentOf returns the state of a model's assignment and creates it if needed.
func (p *Planner) assignmentOf(model string) *assignment {
	p.mu.Lock()
	defer p.mu.Unlock()
	asg := p.assignments[model]
	if asg == nil {
		asg = &assignment{Record: record.New(p.cfg.Record, spec.KindAssign, model)}
		p.assignments[model] = asg
	}
	return asg
}

// refresh reads the assignment in force into asg.
func (asg *assignment) refresh() {
	o, ok := asg.Read()
	if !ok {
		asg.version = 0
		return
	}
	if o.Version <= asg.version {
		return
	}
	var a spec.Assign
	if json.Unmarshal(o.Data, &a) == nil {
		asg.assign, asg.version, asg.data = a, o.Version, o.Data
	}
}

// plan plans the assignments of all models together, because an endpoint may be able
// to serve any of several. It then writes the changes and confirms the assignments
// that endpoints don't follow yet.
func (p *Planner) plan(ctx context.Context) {
	now := p.cfg.Now()
	models := p.cfg.Models()
	state := p.planState(now, models)
	moves := make(map[string][]roles.Order)
	for _, m := range roles.Plan(now, state) {
		moves[m.Model] = append(moves[m.Model], m)
	}
	for _, m := range models {
		asg := p.assignmentOf(m.Name)
		switch {
		case len(moves[m.Name]) > 0:
			p.applyMoves(ctx, m.Name, asg, moves[m.Name])
		case asg.version != 0 && now >= asg.confirmAt && isPending(m.Name, asg, state.Endpoints):
			p.writeAssign(ctx, asg, asg.assign)
		}
		if members := p.cfg.Members(m.Name); members != nil && asg.version != 0 {
			asg.SendToAgents(members.Peers, asg.version, asg.assign.Epoch, asg.data)
		}
	}
}

// applyMoves writes the versions of moves into an assignment.
func (p *Planner) applyMoves(ctx context.Context, model string, asg *assignment, moves []roles.Order) {
	next := spec.Assign{Epoch: asg.assign.Epoch + 1, Endpoints: make(map[string]spec.Assignment)}
	for name, l := range asg.assign.Endpoints {
		next.Endpoints[name] = l
	}
	changed := false
	for _, m := range moves {
		old, wasAssigned := next.Endpoints[m.Endpoint]
		if wasAssigned && old.Version == m.Version {
			continue
		}
		changed = true
		next.Endpoints[m.Endpoint] = spec.Assignment{Version: m.Version, Adapter: old.Adapter, Role: old.Role}
	}
	if !changed || p.cfg.Now() < asg.confirmAt && asg.version == 0 {
		return
	}
	if p.writeAssign(ctx, asg, next) {
		logs.Info(p.cfg.Log, logs.EventOrderGiven, zap.String("model", model), zap.Int64("epoch", next.Epoch), zap.Int("moves", len(moves)))
	}
}

// writeAssign puts an assignment in force if asg holds the current one, and reports
// whether it did.
func (p *Planner) writeAssign(ctx context.Context, asg *assignment, a spec.Assign) bool {
	data, err := json.Marshal(a)
	if err != nil {
		return false
	}
	began := p.cfg.Now()
	if err := asg.Write(ctx, data, a.Epoch, asg.version); err != nil {
		asg.confirmAt = began + time.Duration(float64(conflictPause)*(0.5+p.cfg.Random()))
		asg.refresh()
		return false
	}
	asg.confirmAt = began + time.Duration(float64(confirmInterval)*(0.75+p.cfg.Random()/2))
	asg.refresh()
	return true
}

// isPending reports whether an endpoint doesn't serve its assigned version yet.
func isPending(model string, asg *assignment, endpoints []roles.Endpoint) bool {
	for _, e := range endpoints {
		if l, ok := asg.assign.Endpoints[e.Name]; ok && e.OrderedModel == model && e.Version != l.Version {
			return true
		}
	}
	return false
}

// planState collects the input of a plan.
func (p *Planner) planState(now time.Duration, models []spec.Model) roles.State {
	s := roles.State{MaxLoads: maxConcurrentLoads}
	byName := make(map[string]*roles.Endpoint)
	orderedAt := make(map[assignmentKey]time.Duration)
	for _, m := range models {
		asg := p.assignmentOf(m.Name)
		asg.refresh()
		s.Requirements = append(s.Requirements, roles.Requirement{Model: m.Name, Version: m.Version, Selector: m.Endpoints})
		members := p.cfg.Members(m.Name)
		if members == nil {
			continue
		}
		for _, peer := range members.Peers {
			model, version := peer.ServedModel()
			if !peer.IsLinked() || version == "" {
				// It is not known yet what the endpoint serves. An order might take
				// it out of service needlessly.
				continue
			}
			e := byName[peer.Name()]
			if e == nil {
				e = &roles.Endpoint{
					Name: peer.Name(), Zone: peer.Zone(), Model: model, Version: version,
					Leaving: peer.IsLeaving(), Labels: peer.Instance().Labels,
				}
				byName[e.Name] = e
			}
			p.recordOrder(now, m.Name, asg, e, orderedAt)
		}
	}
	for _, e := range byName {
		s.Endpoints = append(s.Endpoints, *e)
	}
	p.orderedAt = orderedAt
	sortEndpoints(s.Endpoints)
	return s
}

// recordOrder sets the version that an endpoint was last ordered to serve, and when
// that was. It records the time in orderedAt.
func (p *Planner) recordOrder(now time.Duration, model string, asg *assignment, e *roles.Endpoint, orderedAt map[assignmentKey]time.Duration) {
	l, ok := asg.assign.Endpoints[e.Name]
	if !ok {
		return
	}
	key := assignmentKey{model, e.Name, l.Version}
	at, isKnown := p.orderedAt[key]
	if !isKnown {
		at = now
	}
	orderedAt[key] = at
	if e.OrderedModel == "" || at >= e.OrderedAt {
		e.OrderedModel, e.OrderedVersion, e.OrderedAt = model, l.Version, at
	}
}
