// Package roles decides which endpoint serves which version of a model.
package roles

import "time"

// Endpoint is one endpoint that may serve a model.
type Endpoint struct {
	Name, Zone string
	// Model and Version are what it serves now; both empty when nothing.
	Model, Version string
	// WantModel and WantVersion are what it was last ordered to serve; both
	// empty when nothing was ordered.
	WantModel, WantVersion string
	// Ordered is when that order was given.
	Ordered time.Duration
	// Leaving is set when it takes no new work.
	Leaving bool
	// Pace is its speed beside the usual one; zero means 1.
	Pace float64
	// Labels are those of the instance, to be matched with Want.Endpoints.
	Labels map[string]string
}

// Want is what operators want of a model.
type Want struct {
	Model, Version string
	Endpoints      map[string]string
	// Need is how many endpoints of usual pace its targets need at the present
	// load; zero means all that match.
	Need float64
}

// State is everything that a plan rests on.
type State struct {
	Endpoints []Endpoint
	Wants     []Want
	// Loads is how many endpoints may load weights at the same time; zero
	// means 1. Retry is when the weight store answers again after it refused.
	Loads int
	Retry time.Duration
}

// Move orders one endpoint to serve a version of a model.
type Move struct {
	Endpoint, Model, Version string
}

// Plan returns the orders to give now.
func Plan(_ time.Duration, s State) []Move {
	var out []Move
	for _, w := range s.Wants {
		for _, e := range s.Endpoints {
			if w.Version == "" || len(out) > 0 || e.Leaving || (e.WantModel != "" && e.WantVersion != e.Version) {
				continue
			}
			if e.Version != w.Version && (e.Model == w.Model || e.Model == "") {
				out = append(out, Move{Endpoint: e.Name, Model: w.Model, Version: w.Version})
			}
		}
	}
	return out
}
