package capac

import (
	"context"
	"time"

	"lycheepond/trial/fleet"
	"lycheepond/trial/serve"
)

// The roles, measures and loads of points.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"

	ByAgents    = "agents"
	ByCustomers = "customers"
	ByEntries   = "entries"

	Idle = "idle"
	Half = "half"
	Full = "full"
)

// Point is the mean of the processes of a role at one size.
type Point struct {
	// Measure says what Size counts.
	Measure string `json:"measure"`
	Size    int    `json:"size"`
	Load    string `json:"load"`
	Role    string `json:"role"`
	// CPUPercent is of one core.
	CPUPercent float64 `json:"cpu_core_pct"`
	RSSMB      float64 `json:"rss_mb"`
	// ControlBytes and DataBytes are a second, both ways.
	ControlBytes float64 `json:"control_bytes_s"`
	DataBytes    float64 `json:"data_bytes_s"`
	// Links is how many links an agent has, and LinkWireBytes the bytes of one
	// of them a second, both ways, with the headers of TCP and IP. They are
	// zero for entries and where ss is missing.
	Links         float64 `json:"links,omitempty"`
	LinkWireBytes float64 `json:"link_wire_bytes_s,omitempty"`
	// PlatformCalls is calls a second of the whole deployment.
	PlatformCalls float64 `json:"platform_calls_s"`
	// RequestsPerSecond is what callers sent.
	RequestsPerSecond float64 `json:"requests_s"`
}

// reading is the usage of every process of a role.
type reading map[string]usage

func read(ctx context.Context, f *fleet.Fleet) (entries, agents reading, err error) {
	entries, agents = make(reading), make(reading)
	for _, e := range f.Entries() {
		if entries[e.Name], err = entryUsage(ctx, e); err != nil {
			return nil, nil, err
		}
	}
	ports := sockets(ctx)
	for _, u := range f.Units() {
		a, err := agentUsage(ctx, u)
		if err != nil {
			return nil, nil, err
		}
		a.socket = ports[u.Link]
		agents[u.Name] = a
	}
	return entries, agents, nil
}

// sample measures for d and returns one point for each role. What the sampling
// itself costs the processes, one status and one metrics call each, is in it.
func sample(ctx context.Context, f *fleet.Fleet, d time.Duration, p Point) ([]Point, error) {
	calls, err := f.Platform().Stats(ctx)
	if err != nil {
		return nil, err
	}
	entries, agents, err := read(ctx, f)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if !serve.Sleep(ctx, d) {
		return nil, context.Cause(ctx)
	}
	took := time.Since(start)
	entries2, agents2, err := read(ctx, f)
	if err != nil {
		return nil, err
	}
	calls2, err := f.Platform().Stats(ctx)
	if err != nil {
		return nil, err
	}
	p.PlatformCalls = round(float64(calls2.Total()-calls.Total()) / took.Seconds())
	e, a := p, p
	e.Role, a.Role = RoleEntry, RoleAgent
	e.fill(entries, entries2, took)
	a.fill(agents, agents2, took)
	return []Point{e, a}, nil
}

const mega = 1 << 20

func (p *Point) fill(from, to reading, took time.Duration) {
	n := float64(len(to))
	for name, u := range to {
		p.CPUPercent += 100 * (u.cpu - from[name].cpu).Seconds() / took.Seconds() / n
		p.RSSMB += float64(u.rss) / mega / n
		p.ControlBytes += float64(u.control-from[name].control) / took.Seconds() / n
		p.DataBytes += float64(u.data-from[name].data) / took.Seconds() / n
	}
	var wire float64
	for name, u := range to {
		p.Links += float64(u.socket.links) / n
		wire += float64(u.socket.wire-from[name].socket.wire) / took.Seconds() / n
	}
	if p.Links > 0 {
		p.LinkWireBytes = round(wire / p.Links)
	}
	p.Links = round(p.Links)
	p.CPUPercent, p.RSSMB = round(p.CPUPercent), round(p.RSSMB)
	p.ControlBytes, p.DataBytes = round(p.ControlBytes), round(p.DataBytes)
}
