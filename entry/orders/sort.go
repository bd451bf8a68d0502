package orders

import (
	"slices"
	"strings"

	"lycheepond/core/roles"
)

// sortEndpoints sorts endpoints by name, so that entries with the same state make
// the same plan.
func sortEndpoints(endpoints []roles.Endpoint) {
	slices.SortFunc(endpoints, func(a, b roles.Endpoint) int { return strings.Compare(a.Name, b.Name) })
}
