// Package roles decides which endpoint serves which version of which model.
//
// The load it answers is the nightly change: new versions for every model at
// once, and by morning another share of the load for each. If all endpoints
// loaded at the same moment nothing would be served for as long as the weight
// store needs for the whole fleet, and if each change of the load moved
// endpoints, they would spend the day loading weights.
//
// Plan is called again and again with what is served at present, and returns
// the orders to give now. It gives none that is not needed: an endpoint that
// serves what it should is never moved, and a model that is short of endpoints
// takes idle ones first, then those that another model can spare, the fastest
// first, since fewer have to load. Upgrades are made in place, from the zone
// that has most left, and never take more out of service than the model can
// spare, but one at a time whatever the load, or a model under load all day
// would never be upgraded. No more endpoints load at a time than the weight
// store's rate allows.
//
// Grounds of the figures: a quarter out of service at most keeps the load of
// the others within a third more; to be measured with real loading times.
package roles

import (
	"cmp"
	"slices"
	"time"

	"lycheepond/core/spec"
)

const (
	// mostOut is the part of a model's endpoints, as a divisor, that may be out
	// of service for an upgrade at a time.
	mostOut = 4
	// loadFor is how long a load may take before the order counts as lost and
	// is given again.
	loadFor = 15 * time.Minute
)

// Endpoint is one endpoint that may serve a model.
type Endpoint struct {
	Name, Zone string
	// Model and Version are what it serves now; both empty when nothing.
	Model, Version string
	// WantModel and WantVersion are what it was last ordered to serve; both
	// empty when nothing was ordered.
	WantModel, WantVersion string
	// Ordered is when that order was given.
	Ordered time.Duration
	// Leaving is set when it takes no new work.
	Leaving bool
	// Pace is its speed beside the usual one; zero means 1.
	Pace float64
	// Labels are those of the instance, to be matched with Want.Endpoints.
	Labels map[string]string
}

// Want is what operators want of a model.
type Want struct {
	Model, Version string
	Endpoints      map[string]string
	// Need is how many endpoints of usual pace its targets need at the present
	// load; zero means all that match and serve no other wanted model.
	Need float64
}

// State is everything that a plan rests on.
type State struct {
	Endpoints []Endpoint
	Wants     []Want
	// Loads is how many endpoints may load weights at the same time; zero
	// means 1. Retry is when the weight store answers again after it refused.
	Loads int
	Retry time.Duration
}

// Move orders one endpoint to serve a version of a model.
type Move struct {
	Endpoint, Model, Version string
}

// Plan returns the orders to give now.
func Plan(now time.Duration, s State) []Move {
	p := newPlan(now, s)
	if now < s.Retry {
		return nil
	}
	for _, w := range p.wants {
		p.supply(w)
	}
	for _, w := range p.wants {
		p.upgrade(w)
	}
	return p.moves
}

// standing is an endpoint during a plan.
type standing struct {
	*Endpoint
	pace float64
	// loading is set while an order is under way or given by this plan.
	loading bool
}

// plan is the work on one call of Plan.
type plan struct {
	endpoints []*standing
	// wants is in order of names, so that equal states give equal plans.
	wants  []*Want
	byWant map[string]*Want
	// slots is how many loads may still begin.
	slots int
	moves []Move
}

func newPlan(now time.Duration, s State) *plan {
	p := &plan{slots: max(s.Loads, 1), byWant: make(map[string]*Want)}
	for i := range s.Wants {
		p.wants = append(p.wants, &s.Wants[i])
		p.byWant[s.Wants[i].Model] = &s.Wants[i]
	}
	slices.SortFunc(p.wants, func(a, b *Want) int { return cmp.Compare(a.Model, b.Model) })
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Leaving {
			continue
		}
		st := &standing{Endpoint: e, pace: e.Pace}
		if st.pace <= 0 {
			st.pace = 1
		}
		ordered := e.WantModel != "" && (e.WantModel != e.Model || e.WantVersion != e.Version)
		st.loading = ordered && now-e.Ordered < loadFor
		if st.loading {
			p.slots--
		}
		p.endpoints = append(p.endpoints, st)
	}
	slices.SortFunc(p.endpoints, func(a, b *standing) int { return cmp.Compare(a.Name, b.Name) })
	return p
}

// model returns the model that an endpoint serves or will serve.
func (s *standing) model() string {
	if s.loading {
		return s.WantModel
	}
	return s.Model
}

// order gives an order.
func (p *plan) order(e *standing, w *Want) {
	p.moves = append(p.moves, Move{Endpoint: e.Name, Model: w.Model, Version: w.Version})
	p.slots--
	moved := *e.Endpoint
	moved.WantModel, moved.WantVersion = w.Model, w.Version
	e.Endpoint, e.loading = &moved, true
}

// sum adds up the pace of the endpoints that count.
func (p *plan) sum(count func(*standing) bool) float64 {
	total := 0.0
	for _, e := range p.endpoints {
		if count(e) {
			total += e.pace
		}
	}
	return total
}

// serving is the pace that serves a model now.
func (p *plan) serving(model string) float64 {
	return p.sum(func(e *standing) bool { return !e.loading && e.Model == model })
}

// coming is the pace that serves a model now or after loading.
func (p *plan) coming(model string) float64 {
	return p.sum(func(e *standing) bool { return e.model() == model })
}

// supply moves endpoints to a model that is short of them.
func (p *plan) supply(w *Want) {
	for p.slots > 0 && w.Version != "" {
		short := w.Need - p.coming(w.Model)
		if w.Need > 0 && short <= 0 {
			return
		}
		e := p.donor(w)
		if e == nil {
			return
		}
		p.order(e, w)
	}
}

// donor returns the endpoint to move to w: an idle one, or one that another
// model can spare, the fastest first, in the zone where w has least.
func (p *plan) donor(w *Want) *standing {
	var best *standing
	for _, e := range p.endpoints {
		if e.loading || e.Model == w.Model || !spec.Matches(w.Endpoints, e.Labels) || !p.spare(e, w) {
			continue
		}
		if best == nil || p.better(e, best, w) {
			best = e
		}
	}
	return best
}

func (p *plan) idle(e *standing) bool { return p.byWant[e.Model] == nil }

// spare reports whether what an endpoint serves can do without it.
func (p *plan) spare(e *standing, w *Want) bool {
	if p.idle(e) {
		return true
	}
	other := p.byWant[e.Model]
	return w.Need > 0 && other.Need > 0 && p.serving(e.Model)-e.pace >= other.Need
}

func (p *plan) better(a, b *standing, w *Want) bool {
	if p.idle(a) != p.idle(b) {
		return p.idle(a)
	}
	if a.pace != b.pace {
		return a.pace > b.pace
	}
	return p.inZone(w.Model, a.Zone) < p.inZone(w.Model, b.Zone)
}

func (p *plan) inZone(model, zone string) float64 {
	return p.sum(func(e *standing) bool { return e.Zone == zone && e.model() == model })
}

// upgrade orders the wanted version for endpoints that serve another one.
func (p *plan) upgrade(w *Want) {
	for p.slots > 0 && w.Version != "" {
		e := p.oldest(w)
		if e == nil || !p.mayLeave(e, w) {
			return
		}
		p.order(e, w)
	}
}

// oldest returns the next endpoint to upgrade: of the zone that has most of
// the model in service, the slowest, which is missed least.
func (p *plan) oldest(w *Want) *standing {
	var best *standing
	left := 0.0
	for _, e := range p.endpoints {
		if e.loading || e.Model != w.Model || e.Version == w.Version || !spec.Matches(w.Endpoints, e.Labels) {
			continue
		}
		here := p.sum(func(o *standing) bool { return !o.loading && o.Model == w.Model && o.Zone == e.Zone })
		if best == nil || here > left || (here == left && e.pace < best.pace) {
			best, left = e, here
		}
	}
	return best
}

// mayLeave reports whether e may be out of service now. One endpoint at a time
// always may.
func (p *plan) mayLeave(e *standing, w *Want) bool {
	total, serving := p.coming(w.Model), p.serving(w.Model)
	out := total - serving
	if out == 0 {
		return true
	}
	return out+e.pace <= total/mostOut && serving-e.pace >= w.Need
}
