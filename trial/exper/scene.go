package exper

import (
	"time"

	"lycheepond/trial/engin"
	"lycheepond/trial/fleet"
)

// Scenario is one experiment.
type Scenario struct {
	Name   string
	seed   uint64
	shapes []shape
	prefix prefixes
	// phases are given the rate that the engines can serve at their best.
	phases func(capacity float64) []phase
	events []event
	// lead is how long requests arrive before they count.
	lead time.Duration
	// calm is phases without the surplus of the hot customer, for a run to
	// compare with; nil for none.
	calm func(capacity float64) []phase
}

// HasCalm reports whether the scenario is also run without its surplus.
func (s Scenario) HasCalm() bool { return s.calm != nil }

// event is something that happens to the deployment during a run.
type event struct {
	at time.Duration
	do func(r *runner) error
}

// span is how long requests arrive.
const span = 8 * time.Second

// Parts of capacity.
const (
	steadyLoad   = 0.7
	burstLoad    = 0.5
	hotLoad      = 0.6
	slowLoad     = 0.55
	longLoad     = 0.5
	overLoad     = 2.0
	churnLoad    = 0.6
	burstFactor  = 4
	hotFactor    = 10
	slowedTo     = 0.125
	hotCustomer  = "ocean-state"
	lowerTier    = 2
	eventAt      = 3 * time.Second
	hotAt        = 2 * time.Second
	burstEnd     = 6 * time.Second
	churnSpacing = 1500 * time.Millisecond
	// overLead is how long an overload builds up before it counts.
	overLead = 2 * time.Second
)

// even is a constant rate, split by the shares of classes and customers.
func even(part float64) func(float64) []phase {
	return func(capacity float64) []phase {
		return []phase{{0, span, func(s shape, c customer) float64 { return part * capacity * s.share * c.share }}}
	}
}

// raised is a constant rate that grows by factor for some, from..to.
func raised(part, factor float64, from, to time.Duration, who func(shape, customer) bool) func(float64) []phase {
	return func(capacity float64) []phase {
		base := even(part)(capacity)[0].rate
		more := func(s shape, c customer) float64 {
			if who(s, c) {
				return factor * base(s, c)
			}
			return base(s, c)
		}
		return []phase{{0, from, base}, {from, to, more}, {to, span, base}}
	}
}

func isHot(_ shape, c customer) bool { return c.name == hotCustomer }

// Scenarios returns every experiment in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", seed: 1, shapes: mixed, prefix: plain, phases: even(steadyLoad)},
		{Name: "burst", seed: 2, shapes: mixed, prefix: plain, phases: raised(burstLoad, burstFactor, eventAt, burstEnd,
			func(s shape, _ customer) bool { return s.class.Tier >= lowerTier })},
		{
			Name: "hotcustomer", seed: 3, shapes: mixed, prefix: plain,
			phases: raised(hotLoad, hotFactor, hotAt, span, isHot), calm: raised(hotLoad, 1, hotAt, span, isHot),
		},
		{Name: "hotprefix", seed: 4, shapes: mixed, prefix: hot, phases: even(steadyLoad)},
		{Name: "slowendpoint", seed: 5, shapes: mixed, prefix: plain, phases: even(slowLoad), events: []event{{eventAt, slowDown}}},
		{Name: "longshort", seed: 6, shapes: longShort, prefix: plain, phases: even(longLoad)},
		{Name: "overload", seed: 7, shapes: mixed, prefix: plain, lead: overLead, phases: even(overLoad)},
		{Name: "churn", seed: 8, shapes: mixed, prefix: plain, phases: even(churnLoad), events: []event{
			{churnSpacing, killAgent(0)},
			{2 * churnSpacing, killEntry(0)},
			{3 * churnSpacing, stopAgent(1)},
			{4 * churnSpacing, killEntry(1)},
			{4 * churnSpacing, killAgent(2)},
		}},
		{Name: "outage", seed: 9, shapes: mixed, prefix: plain, phases: even(steadyLoad), events: []event{{0, platformDown}}},
	}
}

// speeds are the engines of unlike generation.
var speeds = []float64{1.6, 1.2, 1.0, 0.8, 0.7}

// engine returns the measured engines at speed 1.
func engine() engin.Config {
	c := engin.DefaultConfig()
	c.DecodeTPS, c.PrefillTPS, c.BatchSlope = 100, 10000, 0.05
	c.Slots, c.KVBlocks, c.BlockTokens = 16, 1024, 16
	return c
}

func plan(baseline bool, shapes []shape) fleet.Plan {
	zones := []string{"z1", "z2", "z3"}
	p := fleet.Plan{Name: "measure", Zones: zones, Entries: 2, Objects: objects(shapes), NoAgents: baseline}
	for i, speed := range speeds {
		cfg := engine()
		cfg.Speed = speed
		name := "engine-" + string(rune('1'+i))
		p.Endpoints = append(p.Endpoints, fleet.EngineEndpoint(name, zones[i%len(zones)], model, cfg))
	}
	return p
}

// Capacity returns how many requests of a mix the engines serve in a second
// with full batches and the shared beginnings cached. It follows from the
// stand-in's own formula of a step's time.
func Capacity(shapes []shape) float64 {
	var each float64
	for _, s := range shapes {
		each += s.share * s.work()
	}
	return totalSpeed() / each
}

func totalSpeed() (sum float64) {
	for _, speed := range speeds {
		sum += speed
	}
	return sum
}

// work returns how many seconds of an engine of speed 1 a request takes in a
// full batch.
func (s shape) work() float64 {
	cfg := engine()
	step := (1 + cfg.BatchSlope*float64(cfg.Slots-1)) / cfg.DecodeTPS / float64(cfg.Slots)
	return float64(s.prompt)/cfg.PrefillTPS + float64(s.output)*step
}
