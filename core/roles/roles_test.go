package roles

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheepond/core/spec"
)

func makeEndpoints(model, version string, zones, each int) []Endpoint {
	var out []Endpoint
	for z := range zones {
		for i := range each {
			out = append(out, Endpoint{Name: fmt.Sprintf("%s-%d-%d", model, z, i), Zone: fmt.Sprint("z", z), Model: model, Version: version})
		}
	}
	return out
}

// simulateNight calls Plan every ten seconds for a day and completes each order
// after loadTime. It returns the number of orders, the time when the last one
// was completed, the maximum number of endpoints that loaded at the same time
// and the minimum number that served the model.
func simulateNight(s State, model string, loadTime time.Duration) (orders int, duration time.Duration, maxLoading, minServing int) {
	minServing = len(s.Endpoints)
	for now := time.Duration(0); now < 24*time.Hour; now += 10 * time.Second {
		loading, serving := 0, 0
		for i := range s.Endpoints {
			e := &s.Endpoints[i]
			if e.OrderedModel != "" && now-e.OrderedAt >= loadTime {
				e.Model, e.Version = e.OrderedModel, e.OrderedVersion
			}
		}
		for _, m := range Plan(now, s) {
			for i := range s.Endpoints {
				if e := &s.Endpoints[i]; e.Name == m.Endpoint {
					e.OrderedModel, e.OrderedVersion, e.OrderedAt = m.Model, m.Version, now
					orders, duration = orders+1, now+loadTime
				}
			}
		}
		for i := range s.Endpoints {
			switch e := &s.Endpoints[i]; {
			case e.OrderedModel != "" && (e.OrderedModel != e.Model || e.OrderedVersion != e.Version):
				loading++
			case e.Model == model:
				serving++
			}
		}
		maxLoading, minServing = max(maxLoading, loading), min(minServing, serving)
	}
	return orders, duration, maxLoading, minServing
}

// All twelve endpoints get a new version in one night. They must all be
// upgraded, without exceeding the rate of the weight store and without taking
// too many out of service.
func TestNightlyUpgrade(t *testing.T) {
	for _, tc := range []struct {
		name                   string
		need                   float64
		loads                  int
		maxLoading, minServing int
	}{
		{"limited by the weight store", 6, 2, 2, 10},
		{"limited by the required speed", 11, 4, 1, 11},
		{"at most a quarter", 1, 9, 3, 9},
		{"one at a time under full load", 20, 4, 1, 11},
		{"unknown required speed", 0, 9, 3, 9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := State{Endpoints: makeEndpoints("roster", "v1", 3, 4), MaxLoads: tc.loads, Requirements: []Requirement{{Model: "roster", Version: "v2", RequiredSpeed: tc.need}}}
			orders, duration, maxLoading, minServing := simulateNight(s, "roster", 2*time.Minute)
			t.Logf("%d orders in %v, at most %d loading, at least %d serving", orders, duration, maxLoading, minServing)
			if orders != 12 || maxLoading != tc.maxLoading || minServing != tc.minServing {
				t.Errorf("want 12 orders, at most %d loading, at least %d serving", tc.maxLoading, tc.minServing)
			}
		})
	}
}

// By morning one model needs more endpoints and another one fewer. Only as many
// endpoints may be moved as the targets require: here the one of twice the
// usual speed, and one in a zone in which the model has none.
func TestOrdersNoMoreThanNeeded(t *testing.T) {
	endpoints := append(makeEndpoints("a", "v1", 3, 4), makeEndpoints("b", "v1", 1, 2)...)
	endpoints[5].RelativeSpeed = 2
	s := State{Endpoints: endpoints, MaxLoads: 9, Requirements: []Requirement{{Model: "a", Version: "v1", RequiredSpeed: 9}, {Model: "b", Version: "v1", RequiredSpeed: 5}}}
	got := fmt.Sprint(Plan(0, s))
	if got != "[{a-1-1 b v1} {a-2-0 b v1}]" {
		t.Fatalf("orders %v", got)
	}
}

// Plan must use idle endpoints, respect labels, wait for the weight store, and
// neither repeat an order in progress nor forget a lost one.
func TestPlan(t *testing.T) {
	idle := Endpoint{Name: "idle", Labels: map[string]string{"gpu": "new"}}
	old := Endpoint{Name: "old", Model: "a", Version: "v1"}
	want := Requirement{Model: "a", Version: "v2"}
	for _, tc := range []struct {
		name string
		now  time.Duration
		s    State
		want string
	}{
		{"idle endpoint is used", 0, State{Endpoints: []Endpoint{idle}, Requirements: []Requirement{want}}, "[{idle a v2}]"},
		{"labels must match", 0, State{Endpoints: []Endpoint{idle}, Requirements: []Requirement{{Model: "a", Version: "v2", Selector: map[string]string{"gpu": "old"}}}}, "[]"},
		{"no order without a version", 0, State{Endpoints: []Endpoint{idle, old}, Requirements: []Requirement{{Model: "a"}}}, "[]"},
		{"no order for a leaving endpoint", 0, State{Endpoints: []Endpoint{{Name: "old", Model: "a", Version: "v1", Leaving: true}}, Requirements: []Requirement{want}}, "[]"},
		{"no order after a refusal of the weight store", time.Second, State{Endpoints: []Endpoint{old}, Requirements: []Requirement{want}, RetryAt: time.Minute}, "[]"},
		{"no order while one is in progress", time.Minute, State{Endpoints: []Endpoint{{Name: "old", Model: "a", Version: "v1", OrderedModel: "a", OrderedVersion: "v2"}}, Requirements: []Requirement{want}}, "[]"},
		{"a lost order is given again", time.Hour, State{Endpoints: []Endpoint{{Name: "old", Model: "a", Version: "v1", OrderedModel: "a", OrderedVersion: "v2"}}, Requirements: []Requirement{want}}, "[{old a v2}]"},
		{"no order when all requirements are met", 0, State{Endpoints: []Endpoint{{Name: "new", Model: "a", Version: "v2"}}, Requirements: []Requirement{want}}, "[]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := fmt.Sprint(Plan(tc.now, tc.s)); got != tc.want {
				t.Fatalf("orders %v, want %v", got, tc.want)
			}
		})
	}
}

// For any fleet, a plan does not exceed the rate of the weight store, does not
// order an endpoint twice or against its labels, and does not take from a model
// what it needs.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"", "a", "b", "c"}
		s := State{MaxLoads: rapid.IntRange(1, 5).Draw(t, "loads")}
		loading := 0
		for i := range rapid.IntRange(0, 12).Draw(t, "endpoints") {
			e := Endpoint{
				Name: fmt.Sprint(i), Zone: fmt.Sprint(i % 3), Model: rapid.SampledFrom(names).Draw(t, "model"), Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
				RelativeSpeed: rapid.Float64Range(0.5, 4).Draw(t, "relativeSpeed"), Labels: map[string]string{"x": rapid.SampledFrom([]string{"1", "2"}).Draw(t, "label")},
			}
			if rapid.Bool().Draw(t, "loading") {
				e.OrderedModel, e.OrderedVersion = "a", "v3"
				loading++
			}
			s.Endpoints = append(s.Endpoints, e)
		}
		for _, m := range names[1:] {
			s.Requirements = append(s.Requirements, Requirement{Model: m, Version: "v2", RequiredSpeed: rapid.Float64Range(0, 8).Draw(t, "requiredSpeed"), Selector: map[string]string{"x": rapid.SampledFrom([]string{"1", "2"}).Draw(t, "selector")}})
		}
		orders, seen := Plan(0, s), map[string]bool{}
		if len(orders) > max(s.MaxLoads-loading, 0) {
			t.Fatalf("%d orders with %d of %d loading", len(orders), loading, s.MaxLoads)
		}
		remaining := map[string]float64{}
		for i := range s.Endpoints {
			if e := &s.Endpoints[i]; e.OrderedModel == "" {
				remaining[e.Model] += e.RelativeSpeed
			}
		}
		for _, m := range orders {
			for i := range s.Endpoints {
				e := &s.Endpoints[i]
				if e.Name != m.Endpoint {
					continue
				}
				var w Requirement
				for _, x := range s.Requirements {
					if x.Model == m.Model {
						w = x
					}
				}
				if seen[e.Name] || e.OrderedModel != "" || !spec.Matches(w.Selector, e.Labels) || (e.Model == m.Model && e.Version == m.Version) {
					t.Fatalf("order %v for %+v", m, e)
				}
				seen[e.Name] = true
				remaining[e.Model] -= e.RelativeSpeed
				for _, o := range s.Requirements {
					if o.Model == e.Model && m.Model != e.Model && remaining[e.Model] < o.RequiredSpeed {
						t.Fatalf("%v takes what %s needs", m, e.Model)
					}
				}
			}
		}
	})
}
