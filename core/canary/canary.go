// Package canary moves a pool to endpoints of another version when an operator orders it.
// It decides how many requests the new version receives, whether it is bad, and when it
// replaces the old one.
//
// A new version may fail or slow down a part of its answers, from the start or later, under
// load or on one route only, while some endpoints have faults that are unrelated to the
// version. If it received all requests at once, all of them could fail; if it were judged
// by few answers, a good version could be blamed for unrelated faults. Each entry therefore
// sends a bounded share of its own requests to the new version, so that the limit holds
// over all entries, whatever they know about each other. The results of all entries are
// added up and compared with those of the old version on the same routes at the same time.
//
// The package uses no network, clock or random source. A Controller is owned by one
// goroutine.
package canary

import (
	"time"

	"lycheepond/core/eras"
)

// Limit bounds the requests that may be sent to a new version, which may turn out to be
// bad.
type Limit struct {
	// Share is the largest share of a pool's requests between order and deadline, and Slack
	// a number of additional requests, both over all entries. With a Share of zero there
	// are no rollouts, and the endpoints of all versions are in service.
	Share, Slack float64
}

// Order is an operator's order to move a pool to a version.
type Order struct {
	Pool, Target string
	// Duration is the time that the operator allows for the rollout.
	Duration time.Duration
	// CreateRevision and Revision are revisions of the platform, numbered as in package
	// eras. CreateRevision is that of the first order with this name. Revision is one at
	// which the platform held this order; of two orders for a pool, the one with the higher
	// Revision is the later one.
	CreateRevision, Revision int64
}

// sameOrder reports whether o and p are the same order, possibly seen at different
// revisions.
func (o Order) sameOrder(p Order) bool {
	return o.sameContent(p) && o.CreateRevision == p.CreateRevision
}

// sameContent reports whether o and p ask for the same.
func (o Order) sameContent(p Order) bool {
	return o.Pool == p.Pool && o.Target == p.Target && o.Duration == p.Duration
}

// precedesEraOf reports whether the platform came back with an older copy between the revision
// of o and the given one.
func (o Order) precedesEraOf(revision int64) bool { return eras.Era(revision) > eras.Era(o.Revision) }

// State is the state of an order.
type State uint8

// States.
const (
	// Running means that the order has not ended.
	Running State = 1 + iota
	// Complete means that the target has replaced the old version. RolledBack means that
	// the target receives no more requests.
	Complete
	RolledBack
)

var stateNames = [...]string{"none", "running", "complete", "rolled back"}

// String returns the state as it appears in logs.
func (s State) String() string { return stateNames[s] }

// Role is what the endpoints of a version are used for.
type Role uint8

// Roles.
const (
	// InService endpoints accept any request of the pool.
	InService Role = iota
	// OnTrial endpoints accept the requests that AdmitToTrial admits.
	OnTrial
	// OutOfService endpoints accept no requests.
	OutOfService
)

// Controller tracks the orders and versions of all pools at one entry.
type Controller struct {
	limit Limit
	pools map[string]*pool
	// ordersKnown is set once all orders as of some time have been read.
	ordersKnown bool
	// rolesChanged is set when the result of RoleOf may have changed, until
	// TakeRolesChanged is called.
	rolesChanged bool
	changes      []Change
	// reportedAt is the time at which evidence was last reported.
	reportedAt time.Duration
}

type pool struct {
	name string
	// endpointCounts is the number of endpoints of each version on the instance list.
	endpointCounts map[string]int
	// inService holds the versions that accept requests and refused those that must not.
	// undecidedSince holds the time at which each other version was first listed.
	inService, refused map[string]bool
	undecidedSince     map[string]time.Duration
	// rollout is the latest order, or nil. cancelRevision is the revision at which the
	// platform last had no order for the pool.
	rollout        *rollout
	cancelRevision int64
	// unsettled is what the platform holds in place of that order since it came back with an
	// older copy, or nil.
	unsettled *unsettledOrder
	baselines map[string]*baseline
}

// Change is a change of an order's state, for the log.
type Change struct {
	Order Order
	State State
	// Age is the time since the order.
	Age time.Duration
	// Reason says what caused the change. Finding is the evidence for it.
	Reason  string
	Finding Finding
	// Moved is set when this entry stops sending requests to the old version.
	Moved bool
}

// New returns a controller without orders.
func New(limit Limit) *Controller {
	return &Controller{limit: limit, pools: make(map[string]*pool), ordersKnown: limit.Share <= 0}
}

// Active reports whether rollouts are enabled.
func (c *Controller) Active() bool { return c.limit.Share > 0 }

// OrdersKnown reports whether the orders are known.
func (c *Controller) OrdersKnown() bool { return c.ordersKnown }

// TakeRolesChanged reports whether the roles of versions may have changed since the last
// call.
func (c *Controller) TakeRolesChanged() bool {
	changed := c.rolesChanged
	c.rolesChanged = false
	return changed
}

// TakeChanges returns the changes since the last call.
func (c *Controller) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

func (c *Controller) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{
			name: name, endpointCounts: make(map[string]int), inService: make(map[string]bool), refused: make(map[string]bool),
			undecidedSince: make(map[string]time.Duration), baselines: make(map[string]*baseline),
		}
		c.pools[name] = p
	}
	return p
}

// SetVersions sets the number of endpoints of each version of a pool.
func (c *Controller) SetVersions(now time.Duration, pool string, versions map[string]int) {
	if !c.Active() {
		return
	}
	p := c.pool(pool)
	first := len(p.endpointCounts) == 0
	p.endpointCounts = versions
	for v := range p.undecidedSince {
		if versions[v] == 0 {
			delete(p.undecidedSince, v)
		}
	}
	for v := range versions {
		if p.inService[v] || p.refused[v] || p.target() == v {
			continue
		}
		if _, ok := p.undecidedSince[v]; !ok {
			p.undecidedSince[v] = now
			c.rolesChanged = true
		}
	}
	if first && c.ordersKnown {
		// The versions that an entry finds when it starts are in service unless an order
		// says otherwise.
		p.putInService(func(time.Duration) bool { return true })
	}
	if first && p.target() != "" && p.hasOnly(p.target()) {
		// There is no other version to move from.
		p.rollout.moved, p.rollout.movedAt = true, now
	}
	p.ensureService()
}

// hasOnly reports whether a version is listed and no other one.
func (p *pool) hasOnly(version string) bool {
	return len(p.endpointCounts) == 1 && p.endpointCounts[version] > 0
}

// putInService puts the undecided versions in service for whose first listing time ok
// returns true.
func (p *pool) putInService(ok func(time.Duration) bool) (changed bool) {
	for v, since := range p.undecidedSince {
		if v != p.target() && ok(since) {
			p.inService[v] = true
			delete(p.undecidedSince, v)
			changed = true
		}
	}
	return changed
}

// ensureService puts all undecided versions in service if no listed version is.
func (p *pool) ensureService() {
	if !p.hasService() && p.target() == "" {
		p.putInService(func(time.Duration) bool { return true })
	}
}

// hasService reports whether a listed version is in service.
func (p *pool) hasService() bool {
	for v := range p.endpointCounts {
		if p.inService[v] {
			return true
		}
	}
	return false
}

// target returns the target version of the running order, or an empty string if there is
// none.
func (p *pool) target() string {
	if p.rollout == nil || p.rollout.state != Running {
		return ""
	}
	return p.rollout.Target
}

// AwaitsOrders reports whether endpoints are unused until the orders are read.
func (c *Controller) AwaitsOrders() bool {
	for _, p := range c.pools {
		if len(p.undecidedSince) > 0 {
			return true
		}
	}
	return !c.ordersKnown
}

// RecordOrdersRead records that all orders as of a time are known.
func (c *Controller) RecordOrdersRead(asOf time.Duration) {
	first := !c.ordersKnown
	c.ordersKnown = true
	for _, p := range c.pools {
		if p.putInService(func(since time.Duration) bool { return first || since < asOf }) {
			c.rolesChanged = true
		}
	}
	c.rolesChanged = c.rolesChanged || first
}

// RoleOf returns the role of the endpoints of a version.
func (c *Controller) RoleOf(pool, version string) Role {
	p := c.pools[pool]
	if !c.Active() || p == nil {
		return InService
	}
	r := p.rollout
	switch {
	case r != nil && r.state == Running && version == r.Target:
		if r.moved {
			return InService
		}
		return OnTrial
	case p.refused[version] || r != nil && r.state == Running && r.moved:
		return OutOfService
	case p.inService[version]:
		return InService
	}
	return OutOfService
}

// MayGoOn reports whether the endpoints of a version may get streams that began there. Those of a
// version on trial get only what AdmitToTrial admits.
func (c *Controller) MayGoOn(pool, version string) bool {
	switch c.RoleOf(pool, version) {
	case InService:
		return true
	case OutOfService:
		return !c.pools[pool].refused[version]
	}
	return false
}

// HasOpenOrder reports whether a pool has a running order.
func (c *Controller) HasOpenOrder(pool string) bool {
	p := c.pools[pool]
	return p != nil && p.target() != ""
}

// AddOrder records an order. age is the time since it was given, as far as is known.
func (c *Controller) AddOrder(now time.Duration, o Order, age time.Duration) {
	if !c.Active() || o.Target == "" {
		return
	}
	p := c.pool(o.Pool)
	if o.Revision <= p.cancelRevision {
		return
	}
	if r := p.rollout; r != nil {
		if r.sameOrder(o) {
			r.Revision = max(r.Revision, o.Revision)
			r.orderedAt = min(r.orderedAt, now-age)
			return
		}
		if o.Revision < r.Revision {
			return
		}
		if r.precedesEraOf(o.Revision) {
			if !r.sameContent(o) {
				p.setUnsettled(now, o, age)
				return
			}
			// The operator has written the order again, or the copy holds it.
			r.CreateRevision, r.Revision, p.unsettled = o.CreateRevision, o.Revision, nil
			return
		}
		if r.state == Running && r.Target != o.Target {
			p.refused[r.Target] = true
		}
	}
	replaced := p.rollout != nil
	p.rollout = newRollout(o, now, age)
	p.rollout.runningAtOrder = len(p.endpointCounts) > 0
	if replaced {
		p.rollout.replacedRevision = o.Revision
	}
	delete(p.refused, o.Target)
	delete(p.undecidedSince, o.Target)
	if p.inService[o.Target] && p.hasOnly(o.Target) {
		// There is no other version to move from.
		p.rollout.moved, p.rollout.movedAt = true, now
	} else {
		delete(p.inService, o.Target)
	}
	c.rolesChanged = true
	c.recordChange(now, p.rollout, "ordered", Finding{})
}

// CancelOrder records that the platform has no order for a pool at a revision.
func (c *Controller) CancelOrder(now time.Duration, pool string, revision int64) {
	p := c.pools[pool]
	if p == nil || p.rollout == nil || p.rollout.Revision > revision {
		return
	}
	if p.rollout.precedesEraOf(revision) {
		p.setUnsettled(now, Order{Pool: pool, Revision: revision}, 0)
		return
	}
	c.cancelOrder(now, p, revision)
}

// cancelOrder removes the order in force.
func (c *Controller) cancelOrder(now time.Duration, p *pool, revision int64) {
	p.cancelRevision = revision
	if p.rollout.state == Running {
		p.refused[p.rollout.Target] = true
		c.recordChange(now, p.rollout, "the order was removed", Finding{})
	}
	p.rollout = nil
	p.ensureService()
	c.rolesChanged = true
}

// MergeStored records the state that the platform has stored for an order at a revision. s
// is zero if it has stored none or one that cannot be read. A stored end of an order is
// final.
func (c *Controller) MergeStored(now time.Duration, pool, target string, s State, revision int64) {
	p := c.pools[pool]
	if p == nil || p.rollout == nil {
		return
	}
	if u := p.unsettled; u != nil && u.Target == target && u.Target != "" {
		u.stored = s
		return
	}
	r := p.rollout
	r.storedState = s
	if target != r.Target || revision <= r.replacedRevision {
		// The state was stored for the previous order.
		r.storedState = 0
	}
	if r.storedState == Complete || r.storedState == RolledBack && r.state != RolledBack {
		c.adoptState(now, p, r.storedState, "written in the store")
	}
}

// adoptState ends an order that has ended elsewhere.
func (c *Controller) adoptState(now time.Duration, p *pool, s State, reason string) {
	if p.rollout.state != s {
		c.endOrder(now, p, s, reason, Finding{})
	}
}

// endOrder ends an order.
func (c *Controller) endOrder(now time.Duration, p *pool, s State, reason string, f Finding) {
	r := p.rollout
	r.state, r.endedAt = s, now
	switch s {
	case Complete:
		clear(p.inService)
		delete(p.refused, r.Target)
		p.inService[r.Target] = true
		for v := range p.endpointCounts {
			if v != r.Target {
				p.refused[v] = true
				delete(p.undecidedSince, v)
			}
		}
	case RolledBack:
		delete(p.inService, r.Target)
		p.refused[r.Target] = true
		for v := range p.endpointCounts {
			if v != r.Target && !p.inService[v] {
				delete(p.refused, v)
				p.inService[v] = true
				delete(p.undecidedSince, v)
			}
		}
	}
	c.rolesChanged = true
	c.recordChange(now, r, reason, f)
}

func (c *Controller) recordChange(now time.Duration, r *rollout, reason string, f Finding) {
	c.changes = append(c.changes, Change{Order: r.Order, State: r.state, Age: now - r.orderedAt, Reason: reason, Finding: f})
}
