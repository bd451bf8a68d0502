package canary

import "time"

// settleTime is how long an order of a new era must be stored before it replaces another one.
// A platform that has come back with an older copy may hold an earlier order, or none, until
// the operator has written the lost one again.
const settleTime = 3 * time.Second

// unsettledOrder is an order that takes effect at settlesAt unless the operator writes the one
// in force again. Without a target it stands for no order.
type unsettledOrder struct {
	Order
	age       time.Duration
	stored    State
	settlesAt time.Duration
}

// setUnsettled records what the platform holds in a new era in place of the order in force.
func (p *pool) setUnsettled(now time.Duration, o Order, age time.Duration) {
	settlesAt := now + settleTime
	if p.unsettled != nil && p.unsettled.sameOrder(o) {
		settlesAt = p.unsettled.settlesAt
	}
	p.unsettled = &unsettledOrder{Order: o, age: age, settlesAt: settlesAt}
}

// settle puts what the platform has held since it came back in force once it is due.
func (c *Controller) settle(now time.Duration, p *pool) {
	u := p.unsettled
	if u == nil || now < u.settlesAt {
		return
	}
	p.unsettled = nil
	if p.rollout == nil || !p.rollout.precedesEraOf(u.Revision) {
		return
	}
	if u.Target == "" {
		c.cancelOrder(now, p, u.Revision)
		return
	}
	// The revision of the order that is replaced is of the era of its successor from here on.
	p.rollout.Revision = u.Revision
	c.AddOrder(now, u.Order, u.age)
	// The stored state is of this order, not of the one that it replaces.
	p.rollout.replacedRevision = 0
	c.MergeStored(now, p.name, u.Target, u.stored, u.Revision)
}
