// Package orders keeps the assignments in the platform: which endpoint is to
// serve which version of a model. Agents give the orders that follow.
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
	// planEvery is how often assignments are looked at.
	planEvery = time.Second
	// touchEvery is how often an assignment is confirmed while an endpoint has
	// yet to follow it. Agents give an order only on a fresh confirmation.
	touchEvery = 1500 * time.Millisecond
	// conflictPause spreads entries that raced one another.
	conflictPause = 500 * time.Millisecond
	// loads is how many endpoints may load weights at the same time, because
	// the weight store is rate limited.
	loads = 2
)

// Config is what a Planner depends on. All functions must be set.
type Config struct {
	Record  record.Config
	Models  func() []spec.Model
	Members func(pool string) *agents.Members
	Now     func() time.Duration
	// Random returns a number in [0,1).
	Random func() float64
	Log    *zap.Logger
}

// Planner is safe for concurrent use.
type Planner struct {
	cfg  Config
	loop *record.Loop
	// ordered is when a present line of an assignment was first seen here.
	ordered map[line]time.Duration

	mu    sync.Mutex
	books map[string]*book
}

// line is one line of an assignment.
type line struct{ model, endpoint, version string }

// book is one model's assignment. Run alone uses it, but for its Record's Ack.
type book struct {
	*record.Record
	assign  spec.Assign
	version int64
	data    []byte
	// next is when to confirm again.
	next time.Duration
}

// New returns a Planner that does nothing until Run.
func New(cfg Config) *Planner {
	return &Planner{
		cfg: cfg, loop: record.NewLoop(), ordered: make(map[line]time.Duration), books: make(map[string]*book),
	}
}

// Wake has the assignments looked at now, as after a new link.
func (p *Planner) Wake() { p.loop.Wake() }

// Run plans until ctx ends.
func (p *Planner) Run(ctx context.Context) error { return p.loop.Run(ctx, planEvery, p.plan) }

// Ack fills in the answer to an agent that asks how fresh the entry's
// knowledge of a model's assignment is.
func (p *Planner) Ack(model string, ack *wire.LeaseAck) {
	p.mu.Lock()
	b := p.books[model]
	p.mu.Unlock()
	if b != nil {
		b.FillAck(ack)
	}
}

func (p *Planner) book(model string) *book {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.books[model]
	if b == nil {
		b = &book{Record: record.New(p.cfg.Record, spec.KindAssign, model)}
		p.books[model] = b
	}
	return b
}

// read takes the assignment in force into b.
func (b *book) read() {
	o, ok := b.Read()
	if !ok {
		b.version = 0
		return
	}
	if o.Version <= b.version {
		return
	}
	var a spec.Assign
	if json.Unmarshal(o.Data, &a) == nil {
		b.assign, b.version, b.data = a, o.Version, o.Data
	}
}

// plan looks at all models at once, because one endpoint may serve any of
// several.
func (p *Planner) plan(ctx context.Context) {
	now := p.cfg.Now()
	models := p.cfg.Models()
	state := p.state(now, models)
	moves := make(map[string][]roles.Move)
	for _, m := range roles.Plan(now, state) {
		moves[m.Model] = append(moves[m.Model], m)
	}
	for _, m := range models {
		b := p.book(m.Name)
		switch {
		case len(moves[m.Name]) > 0:
			p.move(ctx, m.Name, b, moves[m.Name])
		case b.version != 0 && now >= b.next && behind(m.Name, b, state.Endpoints):
			p.write(ctx, b, b.assign)
		}
		if ms := p.cfg.Members(m.Name); ms != nil && b.version != 0 {
			b.SendToAgents(ms.Peers, b.version, b.assign.Epoch, b.data)
		}
	}
}

// move writes new lines into an assignment.
func (p *Planner) move(ctx context.Context, model string, b *book, moves []roles.Move) {
	next := spec.Assign{Epoch: b.assign.Epoch + 1, Endpoints: make(map[string]spec.Assignment)}
	for name, l := range b.assign.Endpoints {
		next.Endpoints[name] = l
	}
	changed := false
	for _, m := range moves {
		old, had := next.Endpoints[m.Endpoint]
		if had && old.Version == m.Version {
			continue
		}
		changed = true
		next.Endpoints[m.Endpoint] = spec.Assignment{Version: m.Version, Adapter: old.Adapter, Role: old.Role}
	}
	if !changed || p.cfg.Now() < b.next && b.version == 0 {
		return
	}
	if p.write(ctx, b, next) {
		logs.Info(p.cfg.Log, logs.EventOrderGiven, zap.String("model", model), zap.Int64("epoch", next.Epoch), zap.Int("moves", len(moves)))
	}
}

func (p *Planner) write(ctx context.Context, b *book, a spec.Assign) bool {
	data, err := json.Marshal(a)
	if err != nil {
		return false
	}
	began := p.cfg.Now()
	if err := b.Write(ctx, data, a.Epoch, b.version); err != nil {
		b.next = began + time.Duration(float64(conflictPause)*(0.5+p.cfg.Random()))
		b.read()
		return false
	}
	b.next = began + time.Duration(float64(touchEvery)*(0.75+p.cfg.Random()/2))
	b.read()
	return true
}

// behind reports whether an endpoint has yet to follow the assignment.
func behind(model string, b *book, eps []roles.Endpoint) bool {
	for _, e := range eps {
		if l, ok := b.assign.Endpoints[e.Name]; ok && e.WantModel == model && e.Version != l.Version {
			return true
		}
	}
	return false
}

// state gathers what the plan rests on.
func (p *Planner) state(now time.Duration, models []spec.Model) roles.State {
	s := roles.State{Loads: loads}
	known := make(map[string]*roles.Endpoint)
	ordered := make(map[line]time.Duration)
	for _, m := range models {
		b := p.book(m.Name)
		b.read()
		s.Wants = append(s.Wants, roles.Want{Model: m.Name, Version: m.Version, Endpoints: m.Endpoints})
		ms := p.cfg.Members(m.Name)
		if ms == nil {
			continue
		}
		for _, peer := range ms.Peers {
			model, version := peer.ServedModel()
			if !peer.IsLinked() || version == "" {
				// What an endpoint serves is not known yet, so nothing is
				// ordered: the order might take it from its present work.
				continue
			}
			e := known[peer.Name()]
			if e == nil {
				e = &roles.Endpoint{
					Name: peer.Name(), Zone: peer.Zone(), Model: model, Version: version,
					Leaving: peer.IsLeaving(), Labels: peer.Instance().Labels,
				}
				known[e.Name] = e
			}
			p.wanted(now, m.Name, b, e, ordered)
		}
	}
	for _, e := range known {
		s.Endpoints = append(s.Endpoints, *e)
	}
	p.ordered = ordered
	sortEndpoints(s.Endpoints)
	return s
}

// wanted fills in what an endpoint was last ordered to serve.
func (p *Planner) wanted(now time.Duration, model string, b *book, e *roles.Endpoint, ordered map[line]time.Duration) {
	l, ok := b.assign.Endpoints[e.Name]
	if !ok {
		return
	}
	key := line{model, e.Name, l.Version}
	at, seen := p.ordered[key]
	if !seen {
		at = now
	}
	ordered[key] = at
	if e.WantModel == "" || at >= e.Ordered {
		e.WantModel, e.WantVersion, e.Ordered = model, l.Version, at
	}
}
