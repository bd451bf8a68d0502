package roles

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheepond/core/spec"
)

func fleet(model, version string, zones, each int) []Endpoint {
	var out []Endpoint
	for z := range zones {
		for i := range each {
			out = append(out, Endpoint{Name: fmt.Sprintf("%s-%d-%d", model, z, i), Zone: fmt.Sprint("z", z), Model: model, Version: version})
		}
	}
	return out
}

// night plays a night: every order is done after loads, and the plan is asked
// every ten seconds until nothing is left to do. It returns how many moves were
// made, how long it took, the most endpoints that loaded at a time and the
// fewest that served the model.
func night(s State, model string, load time.Duration) (moves int, took time.Duration, most, fewest int) {
	fewest = len(s.Endpoints)
	for now := time.Duration(0); now < 24*time.Hour; now += 10 * time.Second {
		loading, serving := 0, 0
		for i := range s.Endpoints {
			e := &s.Endpoints[i]
			if e.WantModel != "" && now-e.Ordered >= load {
				e.Model, e.Version = e.WantModel, e.WantVersion
			}
		}
		for _, m := range Plan(now, s) {
			for i := range s.Endpoints {
				if e := &s.Endpoints[i]; e.Name == m.Endpoint {
					e.WantModel, e.WantVersion, e.Ordered = m.Model, m.Version, now
					moves, took = moves+1, now+load
				}
			}
		}
		for i := range s.Endpoints {
			switch e := &s.Endpoints[i]; {
			case e.WantModel != "" && (e.WantModel != e.Model || e.WantVersion != e.Version):
				loading++
			case e.Model == model:
				serving++
			}
		}
		most, fewest = max(most, loading), min(fewest, serving)
	}
	return moves, took, most, fewest
}

func TestNightlyUpgrade(t *testing.T) {
	for _, tc := range []struct {
		name         string
		need         float64
		loads        int
		most, fewest int
	}{
		{"at the store's rate", 6, 2, 2, 10},
		{"no more than can be spared", 11, 4, 1, 11},
		{"at most a quarter", 1, 9, 3, 9},
		{"one at a time under any load", 20, 4, 1, 11},
		{"need unknown", 0, 9, 3, 9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := State{Endpoints: fleet("roster", "v1", 3, 4), Loads: tc.loads, Wants: []Want{{Model: "roster", Version: "v2", Need: tc.need}}}
			moves, took, most, fewest := night(s, "roster", 2*time.Minute)
			t.Logf("%d moves in %v, %d at a time, %d serving at least", moves, took, most, fewest)
			if moves != 12 || most != tc.most || fewest != tc.fewest {
				t.Errorf("want 12 moves, %d at a time, %d serving", tc.most, tc.fewest)
			}
		})
	}
}

// By morning one model needs more endpoints and another fewer. Only as many
// move as the targets need: the one of twice the pace, and one of the zone
// where the model has none.
func TestMovesNoMoreThanNeeded(t *testing.T) {
	endpoints := append(fleet("a", "v1", 3, 4), fleet("b", "v1", 1, 2)...)
	endpoints[5].Pace = 2
	s := State{Endpoints: endpoints, Loads: 9, Wants: []Want{{Model: "a", Version: "v1", Need: 9}, {Model: "b", Version: "v1", Need: 5}}}
	got := fmt.Sprint(Plan(0, s))
	if got != "[{a-1-1 b v1} {a-2-0 b v1}]" {
		t.Fatalf("moves %v", got)
	}
}

func TestPlan(t *testing.T) {
	idle := Endpoint{Name: "idle", Labels: map[string]string{"gpu": "new"}}
	old := Endpoint{Name: "old", Model: "a", Version: "v1"}
	want := Want{Model: "a", Version: "v2"}
	for _, tc := range []struct {
		name string
		now  time.Duration
		s    State
		want string
	}{
		{"idle endpoint is used", 0, State{Endpoints: []Endpoint{idle}, Wants: []Want{want}}, "[{idle a v2}]"},
		{"labels must match", 0, State{Endpoints: []Endpoint{idle}, Wants: []Want{{Model: "a", Version: "v2", Endpoints: map[string]string{"gpu": "old"}}}}, "[]"},
		{"no version, no move", 0, State{Endpoints: []Endpoint{idle, old}, Wants: []Want{{Model: "a"}}}, "[]"},
		{"leaving is left alone", 0, State{Endpoints: []Endpoint{{Name: "old", Model: "a", Version: "v1", Leaving: true}}, Wants: []Want{want}}, "[]"},
		{"the weight store refused", time.Second, State{Endpoints: []Endpoint{old}, Wants: []Want{want}, Retry: time.Minute}, "[]"},
		{"an order is under way", time.Minute, State{Endpoints: []Endpoint{{Name: "old", Model: "a", Version: "v1", WantModel: "a", WantVersion: "v2"}}, Wants: []Want{want}}, "[]"},
		{"a lost order is given again", time.Hour, State{Endpoints: []Endpoint{{Name: "old", Model: "a", Version: "v1", WantModel: "a", WantVersion: "v2"}}, Wants: []Want{want}}, "[{old a v2}]"},
		{"all is as wanted", 0, State{Endpoints: []Endpoint{{Name: "new", Model: "a", Version: "v2"}}, Wants: []Want{want}}, "[]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := fmt.Sprint(Plan(tc.now, tc.s)); got != tc.want {
				t.Fatalf("moves %v, want %v", got, tc.want)
			}
		})
	}
}

// Whatever the fleet is like, no plan exceeds the store's rate, moves an
// endpoint twice or against its labels, or takes from a model what it needs.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"", "a", "b", "c"}
		s := State{Loads: rapid.IntRange(1, 5).Draw(t, "loads")}
		loading := 0
		for i := range rapid.IntRange(0, 12).Draw(t, "endpoints") {
			e := Endpoint{
				Name: fmt.Sprint(i), Zone: fmt.Sprint(i % 3), Model: rapid.SampledFrom(names).Draw(t, "model"), Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
				Pace: rapid.Float64Range(0.5, 4).Draw(t, "pace"), Labels: map[string]string{"x": rapid.SampledFrom([]string{"1", "2"}).Draw(t, "label")},
			}
			if rapid.Bool().Draw(t, "loading") {
				e.WantModel, e.WantVersion = "a", "v3"
				loading++
			}
			s.Endpoints = append(s.Endpoints, e)
		}
		for _, m := range names[1:] {
			s.Wants = append(s.Wants, Want{Model: m, Version: "v2", Need: rapid.Float64Range(0, 8).Draw(t, "need"), Endpoints: map[string]string{"x": rapid.SampledFrom([]string{"1", "2"}).Draw(t, "selector")}})
		}
		moves, seen := Plan(0, s), map[string]bool{}
		if len(moves) > max(s.Loads-loading, 0) {
			t.Fatalf("%d moves with %d of %d loading", len(moves), loading, s.Loads)
		}
		left := map[string]float64{}
		for i := range s.Endpoints {
			if e := &s.Endpoints[i]; e.WantModel == "" {
				left[e.Model] += e.Pace
			}
		}
		for _, m := range moves {
			for i := range s.Endpoints {
				e := &s.Endpoints[i]
				if e.Name != m.Endpoint {
					continue
				}
				var w Want
				for _, x := range s.Wants {
					if x.Model == m.Model {
						w = x
					}
				}
				if seen[e.Name] || e.WantModel != "" || !spec.Matches(w.Endpoints, e.Labels) || (e.Model == m.Model && e.Version == m.Version) {
					t.Fatalf("move %v of %+v", m, e)
				}
				seen[e.Name] = true
				left[e.Model] -= e.Pace
				for _, o := range s.Wants {
					if o.Model == e.Model && m.Model != e.Model && left[e.Model] < o.Need {
						t.Fatalf("%v takes what %s needs", m, e.Model)
					}
				}
			}
		}
	})
}
