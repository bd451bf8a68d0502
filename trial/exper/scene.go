package exper

import (
	"time"

	"lycheepond/trial/fleet"
	"lycheepond/trial/simeng"
)

// Scenario is one experiment: a workload and the events during it.
type Scenario struct {
	Name string
	// seed makes the requests the same in each run.
	seed     uint64
	shapes   []shape
	prefixes sharedPrefixes
	// phases returns the request rates over time, given the highest rate that the
	// engines can serve, in requests per second.
	phases func(capacity float64) []phase
	events []event
	// rampUp is how long requests arrive before they count.
	rampUp time.Duration
	// calmPhases returns the phases without the extra load of the hot customer,
	// for a second run to compare with. It is nil if there is no such run.
	calmPhases func(capacity float64) []phase
}

// HasCalmRun reports whether the scenario also has a run without the extra load
// of its hot customer.
func (s Scenario) HasCalmRun() bool { return s.calmPhases != nil }

// event is a fault or a planned stop that is triggered during a run.
type event struct {
	// at is when the event is triggered, counted from the start of the run.
	at      time.Duration
	trigger func(r *runner) error
}

// arrivalSpan is how long requests arrive.
const arrivalSpan = 8 * time.Second

// The parameters of the scenarios.
const (
	// The offered load as a fraction of the capacity.
	steadyLoad    = 0.7
	burstLoad     = 0.5
	hotLoad       = 0.6
	slowLoad      = 0.55
	longShortLoad = 0.5
	overloadLoad  = 2.0
	churnLoad     = 0.6
	// The factors by which a burst and a hot customer raise their rate.
	burstFactor = 4
	hotFactor   = 10
	// slowedSpeed is the speed of the slowed engine as a fraction of its usual one.
	slowedSpeed = 0.125
	hotCustomer = "ocean-state"
	// highestBurstTier is the highest of the tiers that take part in a burst.
	highestBurstTier = 2
	// Times from the start of the run.
	eventAt  = 3 * time.Second
	hotStart = 2 * time.Second
	burstEnd = 6 * time.Second
	// churnInterval is the time between two faults of the churn.
	churnInterval = 1500 * time.Millisecond
	// overloadRampUp is how long an overload builds up before requests count.
	overloadRampUp = 2 * time.Second
)

// constantLoad returns phases with a constant rate that offers a fraction of the
// capacity, split by the shares of classes and customers.
func constantLoad(loadFraction float64) func(float64) []phase {
	return func(capacity float64) []phase {
		return []phase{{0, arrivalSpan, func(s shape, c customer) float64 { return loadFraction * capacity * s.share * c.share }}}
	}
}

// raisedLoad returns phases like those of constantLoad in which, between from and
// to, the rate is multiplied by factor where isRaised reports true.
func raisedLoad(loadFraction, factor float64, from, to time.Duration, isRaised func(shape, customer) bool) func(float64) []phase {
	return func(capacity float64) []phase {
		baseRate := constantLoad(loadFraction)(capacity)[0].rate
		raisedRate := func(s shape, c customer) float64 {
			if isRaised(s, c) {
				return factor * baseRate(s, c)
			}
			return baseRate(s, c)
		}
		return []phase{{0, from, baseRate}, {from, to, raisedRate}, {to, arrivalSpan, baseRate}}
	}
}

func isHotCustomer(_ shape, c customer) bool { return c.name == hotCustomer }

// Scenarios returns all experiments in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", seed: 1, shapes: mixedShapes, prefixes: shortPrefixes, phases: constantLoad(steadyLoad)},
		{Name: "burst", seed: 2, shapes: mixedShapes, prefixes: shortPrefixes, phases: raisedLoad(burstLoad, burstFactor, eventAt, burstEnd,
			func(s shape, _ customer) bool { return s.class.Tier >= highestBurstTier })},
		{
			Name: "hotcustomer", seed: 3, shapes: mixedShapes, prefixes: shortPrefixes,
			phases: raisedLoad(hotLoad, hotFactor, hotStart, arrivalSpan, isHotCustomer), calmPhases: raisedLoad(hotLoad, 1, hotStart, arrivalSpan, isHotCustomer),
		},
		{Name: "hotprefix", seed: 4, shapes: mixedShapes, prefixes: longPrefixes, phases: constantLoad(steadyLoad)},
		{Name: "slowendpoint", seed: 5, shapes: mixedShapes, prefixes: shortPrefixes, phases: constantLoad(slowLoad), events: []event{{eventAt, slowFastestEngine}}},
		{Name: "longshort", seed: 6, shapes: longShortShapes, prefixes: shortPrefixes, phases: constantLoad(longShortLoad)},
		{Name: "overload", seed: 7, shapes: mixedShapes, prefixes: shortPrefixes, rampUp: overloadRampUp, phases: constantLoad(overloadLoad)},
		{Name: "churn", seed: 8, shapes: mixedShapes, prefixes: shortPrefixes, phases: constantLoad(churnLoad), events: []event{
			{churnInterval, killAgent(0)},
			{2 * churnInterval, killEntry(0)},
			{3 * churnInterval, stopAgent(1)},
			{4 * churnInterval, killEntry(1)},
			{4 * churnInterval, killAgent(2)},
		}},
		{Name: "outage", seed: 9, shapes: mixedShapes, prefixes: shortPrefixes, phases: constantLoad(steadyLoad), events: []event{{0, takePlatformDown}}},
	}
}

// engineSpeeds are the speeds of the engines, which represent several
// hardware generations.
var engineSpeeds = []float64{1.6, 1.2, 1.0, 0.8, 0.7}

// engineConfig returns the configuration of an engine with speed 1.
func engineConfig() simeng.Config {
	c := simeng.DefaultConfig()
	c.DecodeTPS, c.PrefillTPS, c.BatchSlope = 100, 10000, 0.05
	c.Slots, c.KVBlocks, c.BlockTokens = 16, 1024, 16
	return c
}

// deploymentPlan returns the plan of the deployment, for a baseline only the
// engines.
func deploymentPlan(isBaseline bool, shapes []shape) fleet.Plan {
	zones := []string{"z1", "z2", "z3"}
	p := fleet.Plan{Name: "measure", Zones: zones, Entries: 2, Objects: platformObjects(shapes), NoAgents: isBaseline}
	for i, speed := range engineSpeeds {
		cfg := engineConfig()
		cfg.Speed = speed
		name := "engine-" + string(rune('1'+i))
		p.Endpoints = append(p.Endpoints, fleet.EngineEndpoint(name, zones[i%len(zones)], model, cfg))
	}
	return p
}

// Capacity returns how many requests per second of a mix the engines can serve
// with full batches and with the shared prefixes cached. It is calculated from the
// formula that the simulated engine uses for the time of a step.
func Capacity(shapes []shape) float64 {
	var secondsPerRequest float64
	for _, s := range shapes {
		secondsPerRequest += s.share * s.engineSeconds()
	}
	return totalSpeed() / secondsPerRequest
}

// totalSpeed returns the sum of the engines' speeds.
func totalSpeed() (sum float64) {
	for _, speed := range engineSpeeds {
		sum += speed
	}
	return sum
}

// engineSeconds returns how many seconds of an engine with speed 1 a request takes
// up in a full batch.
func (s shape) engineSeconds() float64 {
	cfg := engineConfig()
	secondsPerToken := (1 + cfg.BatchSlope*float64(cfg.Slots-1)) / cfg.DecodeTPS / float64(cfg.Slots)
	return float64(s.promptTokens)/cfg.PrefillTPS + float64(s.outputTokens)*secondsPerToken
}
