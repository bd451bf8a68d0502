package route

import (
	"cmp"
	"fmt"
	"slices"
)

// Tier is the rank of a request. The customer's rank is compared first, then the route's.
type Tier struct {
	// Customer and Route are ranks, zero for the highest. If the customer has no rank, both
	// are the route's rank.
	Customer, Route int
}

// Compare orders tiers, the highest first.
func (t Tier) Compare(o Tier) int {
	return cmp.Or(cmp.Compare(t.Customer, o.Customer), cmp.Compare(t.Route, o.Route))
}

// String returns the tier as it appears in logs.
func (t Tier) String() string { return fmt.Sprintf("%d.%d", t.Customer, t.Route) }

// TierOf returns the tier of a request of the given customer, which may be nil.
func (r *Route) TierOf(c *Customer) Tier {
	if c != nil && c.HasTier {
		return Tier{Customer: c.Tier, Route: r.Tier}
	}
	return Tier{Customer: r.Tier, Route: r.Tier}
}

// Tiers returns the tiers of the requests that a pool may receive, the highest first.
func (t *Table) Tiers(pool string) []Tier {
	var out []Tier
	for i := range t.cfg.Routes {
		r := &t.cfg.Routes[i]
		if !r.usesPool(pool) {
			continue
		}
		if r.Public || !t.RequiresKey() {
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

func (r *Route) usesPool(pool string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Pool == pool })
}
