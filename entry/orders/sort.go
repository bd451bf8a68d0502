package orders

import (
	"slices"
	"strings"

	"lycheepond/core/roles"
)

// sortEndpoints gives every entry the same order, so that entries which see
// the same state make the same plan.
func sortEndpoints(eps []roles.Endpoint) {
	slices.SortFunc(eps, func(a, b roles.Endpoint) int { return strings.Compare(a.Name, b.Name) })
}
