package route

import (
	"cmp"
	"fmt"
	"slices"
)

// Tier is the rank of a request. The customer's rank goes first; among requests
// of customers of one rank the route's decides.
type Tier struct {
	// Customer and Route are ranks, zero the highest. A request without a
	// ranked customer has its route's rank in both.
	Customer, Route int
}

// Compare orders tiers, the highest first.
func (t Tier) Compare(o Tier) int {
	return cmp.Or(cmp.Compare(t.Customer, o.Customer), cmp.Compare(t.Route, o.Route))
}

// String returns the tier as logs spell it.
func (t Tier) String() string { return fmt.Sprintf("%d.%d", t.Customer, t.Route) }

// TierOf returns the tier of a request of a customer, which may be nil.
func (r *Route) TierOf(c *Customer) Tier {
	if c != nil && c.HasTier {
		return Tier{Customer: c.Tier, Route: r.Tier}
	}
	return Tier{Customer: r.Tier, Route: r.Tier}
}

// Tiers returns the tiers of the requests that a pool may get, the highest
// first.
func (t *Table) Tiers(pool string) []Tier {
	var out []Tier
	for i := range t.cfg.Routes {
		r := &t.cfg.Routes[i]
		if !r.leadsTo(pool) {
			continue
		}
		if r.Public || !t.Keyed() {
			out = append(out, r.TierOf(nil))
			continue
		}
		for j := range t.cfg.Customers {
			out = append(out, r.TierOf(&t.cfg.Customers[j]))
		}
	}
	slices.SortFunc(out, Tier.Compare)
	return slices.Compact(out)
}

func (r *Route) leadsTo(pool string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Pool == pool })
}
