package fleet

import (
	"time"

	"lycheepond/trial/plain"
	"lycheepond/trial/simeng"
)

// Names of the example deployments in examples/.
const (
	Whistlepath = "whistlepath"
	VLK         = "vlk"
)

// Speeds of engines of different generations, as factors of the default speed.
const (
	newestSpeed  = 1.6
	newerSpeed   = 1.2
	olderSpeed   = 0.8
	slowestSpeed = 0.5
)

// WhistlepathPlan returns a small version of Whistlepath's deployment.
func WhistlepathPlan() Plan {
	zones := []string{"ne-1", "ne-2", "ne-3"}
	return Plan{
		Name: Whistlepath, Zones: zones, Entries: 2,
		Endpoints: []Endpoint{
			EngineEndpoint("roster-1", zones[0], "roster", engineWithSpeed(newestSpeed, false)),
			EngineEndpoint("roster-2", zones[1], "roster", engineWithSpeed(newerSpeed, true)),
			EngineEndpoint("roster-3", zones[2], "roster", engineWithSpeed(olderSpeed, false)),
			EngineEndpoint("roster-4", zones[0], "roster", engineWithSpeed(slowestSpeed, true)),
			PlainEndpoint("app-1", zones[1], "app", plain.Config{CallTime: appCallTime, Slots: plain.DefaultSlots}),
			PlainEndpoint("app-2", zones[2], "app", plain.Config{CallTime: appCallTime, Slots: plain.DefaultSlots}),
		},
	}
}

// VLKPlan returns a small version of the deployment of Van Leeuwarden & Kroes.
func VLKPlan() Plan {
	zones := []string{"rs-1", "rs-2", "rs-3", "rs-4"}
	return Plan{
		Name: VLK, Zones: zones, Entries: 2,
		Endpoints: []Endpoint{
			EngineEndpoint("drafting-1", zones[0], "drafting", engineWithSpeed(newestSpeed, true)),
			EngineEndpoint("drafting-2", zones[1], "drafting", engineWithSpeed(newerSpeed, false)),
			EngineEndpoint("drafting-3", zones[2], "drafting", engineWithSpeed(olderSpeed, true)),
			PlainEndpoint("docket-1", zones[3], "docket", plain.Config{CallTime: appCallTime, Slots: plain.DefaultSlots}),
			PlainEndpoint("docket-2", zones[0], "docket", plain.Config{CallTime: appCallTime, Slots: plain.DefaultSlots}),
		},
	}
}

// appCallTime is the time that a call of the plain services takes.
const appCallTime = 5 * time.Millisecond

func engineWithSpeed(speed float64, checksFence bool) simeng.Config {
	c := simeng.DefaultConfig()
	c.Speed, c.ChecksFence = speed, checksFence
	return c
}
