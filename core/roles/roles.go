// Package roles decides which endpoint serves which version of which model.
//
// It is designed for the nightly change, when every model gets a new version
// and, by the morning, another share of the load. If all endpoints loaded
// weights at the same time, nothing would be served until the weight store had
// delivered them to the whole fleet. If every change of the load moved
// endpoints, they would spend the day loading weights.
//
// Plan is called regularly with the current state and returns the orders to give
// now. It gives no unnecessary orders: an endpoint that serves the required
// version of a model that needs it is never moved. A model that is short of
// endpoints takes idle ones first, then those that another model can spare, the
// fastest first, because then fewer have to load. Upgrades are done in place,
// starting in the zone with the most capacity in service. They never take more
// out of service than the model can spare, except that one endpoint at a time
// may always be upgraded; otherwise a model under load all day would never be
// upgraded. No more endpoints load at the same time than the rate of the weight
// store allows.
//
// With at most a quarter of the endpoints out of service, the load of the
// others rises by at most a third.
package roles

import (
	"cmp"
	"slices"
	"time"

	"lycheepond/core/spec"
)

const (
	// maxOutDivisor limits the part of a model's endpoints that may be out of
	// service for an upgrade at the same time to 1/maxOutDivisor.
	maxOutDivisor = 4
	// loadTimeout is how long a load may take before the order is considered
	// lost and is given again.
	loadTimeout = 15 * time.Minute
)

// Endpoint is an endpoint that may serve a model.
type Endpoint struct {
	Name, Zone string
	// Model and Version are what it serves now. Both are empty if it serves
	// nothing.
	Model, Version string
	// OrderedModel and OrderedVersion are what it was last ordered to serve.
	// Both are empty if nothing was ordered.
	OrderedModel, OrderedVersion string
	// OrderedAt is when that order was given.
	OrderedAt time.Duration
	// Leaving is set when the endpoint accepts no new work.
	Leaving bool
	// RelativeSpeed is the speed of the endpoint relative to a usual one. Zero
	// means 1.
	RelativeSpeed float64
	// Labels are the labels of the instance. They are matched with
	// Requirement.Selector.
	Labels map[string]string
}

// Requirement is what operators require for a model. Selector holds the labels
// that its endpoints must have.
type Requirement struct {
	Model, Version string
	Selector       map[string]string
	// RequiredSpeed is the number of endpoints of usual speed that the model
	// needs to meet its targets at the current load. Zero means all endpoints
	// that match and serve no other required model.
	RequiredSpeed float64
}

// State is the input of Plan.
type State struct {
	Endpoints    []Endpoint
	Requirements []Requirement
	// MaxLoads is the number of endpoints that may load weights at the same
	// time. Zero means 1. RetryAt is when the weight store may be asked again
	// after it refused a load; Plan gives no orders before that time.
	MaxLoads int
	RetryAt  time.Duration
}

// Order is an instruction to an endpoint to serve a version of a model.
type Order struct {
	Endpoint, Model, Version string
}

// Plan returns the orders to give now.
func Plan(now time.Duration, s State) []Order {
	p := newPlan(now, s)
	if now < s.RetryAt {
		return nil
	}
	for _, r := range p.requirements {
		p.supply(r)
	}
	for _, r := range p.requirements {
		p.upgrade(r)
	}
	return p.orders
}

// plannedEndpoint is an endpoint during a plan, with its speed relative to a
// usual one.
type plannedEndpoint struct {
	*Endpoint
	speed float64
	// loading is set if an order is in progress or was given by this plan.
	loading bool
}

// plan is the working state of one call of Plan.
type plan struct {
	endpoints []*plannedEndpoint
	// requirements are sorted by model, so that equal states give equal plans.
	requirements []*Requirement
	byModel      map[string]*Requirement
	// loadsLeft is the number of loads that may still be started.
	loadsLeft int
	orders    []Order
}

func newPlan(now time.Duration, s State) *plan {
	p := &plan{loadsLeft: max(s.MaxLoads, 1), byModel: make(map[string]*Requirement)}
	for i := range s.Requirements {
		p.requirements = append(p.requirements, &s.Requirements[i])
		p.byModel[s.Requirements[i].Model] = &s.Requirements[i]
	}
	slices.SortFunc(p.requirements, func(a, b *Requirement) int { return cmp.Compare(a.Model, b.Model) })
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Leaving {
			continue
		}
		pe := &plannedEndpoint{Endpoint: e, speed: e.RelativeSpeed}
		if pe.speed <= 0 {
			pe.speed = 1
		}
		ordered := e.OrderedModel != "" && (e.OrderedModel != e.Model || e.OrderedVersion != e.Version)
		pe.loading = ordered && now-e.OrderedAt < loadTimeout
		if pe.loading {
			p.loadsLeft--
		}
		p.endpoints = append(p.endpoints, pe)
	}
	slices.SortFunc(p.endpoints, func(a, b *plannedEndpoint) int { return cmp.Compare(a.Name, b.Name) })
	return p
}

// plannedModel returns the model that the endpoint serves, or will serve after
// loading.
func (e *plannedEndpoint) plannedModel() string {
	if e.loading {
		return e.OrderedModel
	}
	return e.Model
}

// addOrder orders an endpoint to serve the required version.
func (p *plan) addOrder(e *plannedEndpoint, r *Requirement) {
	p.orders = append(p.orders, Order{Endpoint: e.Name, Model: r.Model, Version: r.Version})
	p.loadsLeft--
	ordered := *e.Endpoint
	ordered.OrderedModel, ordered.OrderedVersion = r.Model, r.Version
	e.Endpoint, e.loading = &ordered, true
}

// totalSpeed returns the sum of the speeds of the included endpoints.
func (p *plan) totalSpeed(include func(*plannedEndpoint) bool) float64 {
	total := 0.0
	for _, e := range p.endpoints {
		if include(e) {
			total += e.speed
		}
	}
	return total
}

// servingSpeed returns the total speed of the endpoints that serve a model now.
func (p *plan) servingSpeed(model string) float64 {
	return p.totalSpeed(func(e *plannedEndpoint) bool { return !e.loading && e.Model == model })
}

// plannedSpeed returns the total speed of the endpoints that serve a model now
// or will serve it after loading.
func (p *plan) plannedSpeed(model string) float64 {
	return p.totalSpeed(func(e *plannedEndpoint) bool { return e.plannedModel() == model })
}

// supply orders endpoints for a model that is short of them.
func (p *plan) supply(r *Requirement) {
	for p.loadsLeft > 0 && r.Version != "" {
		missing := r.RequiredSpeed - p.plannedSpeed(r.Model)
		if r.RequiredSpeed > 0 && missing <= 0 {
			return
		}
		e := p.donor(r)
		if e == nil {
			return
		}
		p.addOrder(e, r)
	}
}

// donor returns the endpoint to move to a model: an idle one, or else one that
// another model can spare. It prefers the fastest, then the zone in which the
// model has the least capacity. It returns nil if there is none.
func (p *plan) donor(r *Requirement) *plannedEndpoint {
	var best *plannedEndpoint
	for _, e := range p.endpoints {
		if e.loading || e.Model == r.Model || !spec.Matches(r.Selector, e.Labels) || !p.canSpare(e, r) {
			continue
		}
		if best == nil || p.isBetterDonor(e, best, r) {
			best = e
		}
	}
	return best
}

// isIdle reports whether an endpoint serves no required model.
func (p *plan) isIdle(e *plannedEndpoint) bool { return p.byModel[e.Model] == nil }

// canSpare reports whether an endpoint can be taken from the model that it
// serves.
func (p *plan) canSpare(e *plannedEndpoint, r *Requirement) bool {
	if p.isIdle(e) {
		return true
	}
	other := p.byModel[e.Model]
	return r.RequiredSpeed > 0 && other.RequiredSpeed > 0 && p.servingSpeed(e.Model)-e.speed >= other.RequiredSpeed
}

// isBetterDonor reports whether a should be moved rather than b.
func (p *plan) isBetterDonor(a, b *plannedEndpoint, r *Requirement) bool {
	if p.isIdle(a) != p.isIdle(b) {
		return p.isIdle(a)
	}
	if a.speed != b.speed {
		return a.speed > b.speed
	}
	return p.speedInZone(r.Model, a.Zone) < p.speedInZone(r.Model, b.Zone)
}

// speedInZone returns the plannedSpeed of a model in one zone.
func (p *plan) speedInZone(model, zone string) float64 {
	return p.totalSpeed(func(e *plannedEndpoint) bool { return e.Zone == zone && e.plannedModel() == model })
}

// upgrade orders the required version for endpoints of the model that serve
// another version.
func (p *plan) upgrade(r *Requirement) {
	for p.loadsLeft > 0 && r.Version != "" {
		e := p.nextToUpgrade(r)
		if e == nil || !p.mayUpgrade(e, r) {
			return
		}
		p.addOrder(e, r)
	}
}

// nextToUpgrade returns the next endpoint to upgrade: in the zone that has the
// most of the model in service, the slowest, whose absence has the least
// effect. It returns nil if all endpoints serve the required version.
func (p *plan) nextToUpgrade(r *Requirement) *plannedEndpoint {
	var best *plannedEndpoint
	mostInService := 0.0
	for _, e := range p.endpoints {
		if e.loading || e.Model != r.Model || e.Version == r.Version || !spec.Matches(r.Selector, e.Labels) {
			continue
		}
		inService := p.totalSpeed(func(o *plannedEndpoint) bool { return !o.loading && o.Model == r.Model && o.Zone == e.Zone })
		if best == nil || inService > mostInService || (inService == mostInService && e.speed < best.speed) {
			best, mostInService = e, inService
		}
	}
	return best
}

// mayUpgrade reports whether e may be taken out of service now. This is always
// allowed if no other endpoint of the model is out of service.
func (p *plan) mayUpgrade(e *plannedEndpoint, r *Requirement) bool {
	total, serving := p.plannedSpeed(r.Model), p.servingSpeed(r.Model)
	outOfService := total - serving
	if outOfService == 0 {
		return true
	}
	return outOfService+e.speed <= total/maxOutDivisor && serving-e.speed >= r.RequiredSpeed
}
