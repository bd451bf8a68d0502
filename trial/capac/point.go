package capac

import (
	"context"
	"time"

	"lycheepond/trial/fleet"
	"lycheepond/trial/serve"
)

// The values of Point.Role, Point.Dimension and Point.Load.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"

	ByAgents    = "agents"
	ByCustomers = "customers"
	ByEntries   = "entries"

	IdleLoad = "idle"
	HalfLoad = "half"
	FullLoad = "full"
)

// Point holds the mean usage of the processes of one role at one size.
type Point struct {
	// Dimension says what Size counts: agents, customers or entries.
	Dimension string `json:"measure"`
	Size      int    `json:"size"`
	// Load is idle, half or full.
	Load string `json:"load"`
	// Role is entry or agent.
	Role string `json:"role"`
	// CPUPercent is the processor time as a percentage of one core.
	CPUPercent float64 `json:"cpu_core_pct"`
	// RSSMB is the resident memory in units of 1 << 20 bytes.
	RSSMB float64 `json:"rss_mb"`
	// ControlBytesPerSecond and DataBytesPerSecond count both directions.
	ControlBytesPerSecond float64 `json:"control_bytes_s"`
	DataBytesPerSecond    float64 `json:"data_bytes_s"`
	// Links is the number of links of an agent. LinkWireBytesPerSecond is the traffic
	// of one of them in both directions, with TCP and IP headers. Both are zero for
	// entries and where the ss program is missing.
	Links                  float64 `json:"links,omitempty"`
	LinkWireBytesPerSecond float64 `json:"link_wire_bytes_s,omitempty"`
	// PlatformCallsPerSecond counts the calls of the whole deployment.
	PlatformCallsPerSecond float64 `json:"platform_calls_s"`
	// RequestsPerSecond is the rate at which callers send.
	RequestsPerSecond float64 `json:"requests_s"`
}

// usageByName holds the usage of each process of a role by its name.
type usageByName map[string]usage

// readUsages reads the usage of all entries and agents.
func readUsages(ctx context.Context, f *fleet.Fleet) (entries, agents usageByName, err error) {
	entries, agents = make(usageByName), make(usageByName)
	for _, e := range f.Entries() {
		if entries[e.Name], err = readEntryUsage(ctx, e); err != nil {
			return nil, nil, err
		}
	}
	socketsByAddr := readSocketStats(ctx)
	for _, u := range f.Units() {
		a, err := readAgentUsage(ctx, u)
		if err != nil {
			return nil, nil, err
		}
		a.sockets = socketsByAddr[u.LinkAddr]
		agents[u.Name] = a
	}
	return entries, agents, nil
}

// samplePoints measures for the time d and returns one point for each role. The points
// include what the sampling itself costs: one status call to each entry and one metrics
// call to each agent.
func samplePoints(ctx context.Context, f *fleet.Fleet, d time.Duration, p Point) ([]Point, error) {
	callsBefore, err := f.Platform().Stats(ctx)
	if err != nil {
		return nil, err
	}
	entriesBefore, agentsBefore, err := readUsages(ctx, f)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if !serve.Sleep(ctx, d) {
		return nil, context.Cause(ctx)
	}
	elapsed := time.Since(start)
	entriesAfter, agentsAfter, err := readUsages(ctx, f)
	if err != nil {
		return nil, err
	}
	callsAfter, err := f.Platform().Stats(ctx)
	if err != nil {
		return nil, err
	}
	p.PlatformCallsPerSecond = round(float64(callsAfter.Total()-callsBefore.Total()) / elapsed.Seconds())
	e, a := p, p
	e.Role, a.Role = RoleEntry, RoleAgent
	e.setMeans(entriesBefore, entriesAfter, elapsed)
	a.setMeans(agentsBefore, agentsAfter, elapsed)
	return []Point{e, a}, nil
}

const bytesPerMB = 1 << 20

// setMeans sets the figures of p from the usages before and after the time elapsed.
func (p *Point) setMeans(before, after usageByName, elapsed time.Duration) {
	n := float64(len(after))
	for name, u := range after {
		p.CPUPercent += 100 * (u.cpuTime - before[name].cpuTime).Seconds() / elapsed.Seconds() / n
		p.RSSMB += float64(u.rssBytes) / bytesPerMB / n
		p.ControlBytesPerSecond += float64(u.controlBytes-before[name].controlBytes) / elapsed.Seconds() / n
		p.DataBytesPerSecond += float64(u.dataBytes-before[name].dataBytes) / elapsed.Seconds() / n
	}
	var wireBytesPerSecond float64
	for name, u := range after {
		p.Links += float64(u.sockets.connections) / n
		wireBytesPerSecond += float64(u.sockets.wireBytes-before[name].sockets.wireBytes) / elapsed.Seconds() / n
	}
	if p.Links > 0 {
		p.LinkWireBytesPerSecond = round(wireBytesPerSecond / p.Links)
	}
	p.Links = round(p.Links)
	p.CPUPercent, p.RSSMB = round(p.CPUPercent), round(p.RSSMB)
	p.ControlBytesPerSecond, p.DataBytesPerSecond = round(p.ControlBytesPerSecond), round(p.DataBytesPerSecond)
}
