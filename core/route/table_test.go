package route

import (
	"fmt"
	"slices"
	"testing"
)

func TestFindReturnsLongestPrefix(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "short", Host: "h", Prefix: "/a/"},
		{Name: "long", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "g", Prefix: "/"},
	}})
	for _, tc := range []struct{ host, path, want string }{
		{"h", "/a/b/c", "long"},
		{"h", "/a/c", "short"},
		{"h", "/a", ""},
		{"h", "/", ""},
		{"g", "/a/b/c", "other"},
		{"x", "/a/b/c", ""},
	} {
		r, ok := table.Find(tc.host, tc.path)
		if got := name(r); got != tc.want || ok != (tc.want != "") {
			t.Errorf("%s%s: %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

func name(r *Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

func TestChoosePoolFollowsWeights(t *testing.T) {
	r := Route{Shares: []Share{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	n := 0
	for i := range 10000 {
		if r.ChoosePool(fmt.Sprint("request-", i)) == "b" {
			n++
		}
	}
	if n < 800 || n > 1200 {
		t.Errorf("%d of 10000 requests went to the pool with a tenth of the weight", n)
	}
}

func TestCustomerTierGoesFirst(t *testing.T) {
	r := Route{Tier: 2}
	if got := r.TierOf(&Customer{HasTier: true, Tier: 0}); got != (Tier{0, 2}) {
		t.Errorf("tier %v, want the customer's 0, then the route's 2", got)
	}
	if got := r.TierOf(&Customer{}); got != (Tier{2, 2}) {
		t.Errorf("tier %v, want the route's 2", got)
	}
	if got := r.TierOf(nil); got != (Tier{2, 2}) {
		t.Errorf("tier %v, want the route's 2", got)
	}
	if got := (Tier{1, 2}).String(); got != "1.2" {
		t.Errorf("printed as %q", got)
	}
}

// The operator gives three routes different ranks and all customers the same one. If the
// route's rank did not decide among equal customers, drafts that people wait for would be
// refused as often as tagging jobs.
func TestTiersAreOrderedByCustomerThenRoute(t *testing.T) {
	to := func(pool string) []Share { return []Share{{Pool: pool, Weight: 1}} }
	table := NewTable(Config{
		Routes: []Route{
			{Name: "tags", Tier: 2, Shares: to("llm")},
			{Name: "drafts", Tier: 0, Shares: to("llm")},
			{Name: "probe", Tier: 1, Public: true, Shares: to("llm")},
			{Name: "lookup", Tier: 0, Shares: to("app")},
		},
		Customers: []Customer{{Name: "a", HasTier: true, Tier: 1}, {Name: "b", HasTier: true, Tier: 1}, {Name: "c", HasTier: true}},
	})
	if got, want := table.Tiers("llm"), []Tier{{0, 0}, {0, 2}, {1, 0}, {1, 1}, {1, 2}}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	if got, want := table.Tiers("app"), []Tier{{0, 0}, {1, 0}}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}
