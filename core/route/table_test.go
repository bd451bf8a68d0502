package route

import (
	"fmt"
	"testing"
)

func TestFindTakesTheLongestPrefix(t *testing.T) {
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

func TestChooseFollowsTheWeights(t *testing.T) {
	r := Route{Shares: []Share{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	n := 0
	for i := range 10000 {
		if r.Choose(fmt.Sprint("request-", i)) == "b" {
			n++
		}
	}
	if n < 800 || n > 1200 {
		t.Errorf("%d of 10000 requests went to the pool with a tenth of the weight", n)
	}
}

func TestTierOfCustomerGoesFirst(t *testing.T) {
	r := Route{Tier: 2}
	if got := r.TierOf(&Customer{HasTier: true, Tier: 0}); got != 0 {
		t.Errorf("tier %d, want the customer's 0", got)
	}
	if got := r.TierOf(&Customer{}); got != 2 {
		t.Errorf("tier %d, want the route's 2", got)
	}
	if got := r.TierOf(nil); got != 2 {
		t.Errorf("tier %d, want the route's 2", got)
	}
}
