package fleet

import (
	"time"

	"lycheepond/trial/engin"
	"lycheepond/trial/plain"
)

// The names in examples/.
const (
	Whistlepath = "whistlepath"
	VLK         = "vlk"
)

// Speeds of engines of unlike generation, as factors.
const (
	newest   = 1.6
	newer    = 1.2
	older    = 0.8
	straggle = 0.5
)

// WhistlepathPlan is a small copy of Whistlepath's deployment.
func WhistlepathPlan() Plan {
	zones := []string{"ne-1", "ne-2", "ne-3"}
	return Plan{
		Name: Whistlepath, Zones: zones, Entries: 2,
		Endpoints: []Endpoint{
			EngineEndpoint("roster-1", zones[0], "roster", withSpeed(newest, false)),
			EngineEndpoint("roster-2", zones[1], "roster", withSpeed(newer, true)),
			EngineEndpoint("roster-3", zones[2], "roster", withSpeed(older, false)),
			EngineEndpoint("roster-4", zones[0], "roster", withSpeed(straggle, true)),
			PlainEndpoint("app-1", zones[1], "app", plain.Config{Work: appWork, Slots: plain.DefaultSlots}),
			PlainEndpoint("app-2", zones[2], "app", plain.Config{Work: appWork, Slots: plain.DefaultSlots}),
		},
	}
}

// VLKPlan is a small copy of Van Leeuwarden & Kroes' deployment.
func VLKPlan() Plan {
	zones := []string{"rs-1", "rs-2", "rs-3", "rs-4"}
	return Plan{
		Name: VLK, Zones: zones, Entries: 2,
		Endpoints: []Endpoint{
			EngineEndpoint("drafting-1", zones[0], "drafting", withSpeed(newest, true)),
			EngineEndpoint("drafting-2", zones[1], "drafting", withSpeed(newer, false)),
			EngineEndpoint("drafting-3", zones[2], "drafting", withSpeed(older, true)),
			PlainEndpoint("docket-1", zones[3], "docket", plain.Config{Work: appWork, Slots: plain.DefaultSlots}),
			PlainEndpoint("docket-2", zones[0], "docket", plain.Config{Work: appWork, Slots: plain.DefaultSlots}),
		},
	}
}

const appWork = 5 * time.Millisecond

func withSpeed(speed float64, checksFence bool) engin.Config {
	c := engin.Default()
	c.Speed, c.ChecksFence = speed, checksFence
	return c
}
