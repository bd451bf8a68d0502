// Package fleet starts a whole deployment as processes on loopback: the simulated
// platform, simulated endpoints with their agents, and entries.
package fleet

import (
	"fmt"
	"strconv"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/plain"
	"lycheepond/trial/simeng"
)

// Plan describes a deployment.
type Plan struct {
	// Name is the prefix of the names of entries and of the platform's process.
	Name string
	// Zones are assigned to the entries in turn.
	Zones     []string
	Endpoints []Endpoint
	// Entries is the number of entries.
	Entries int
	// Heartbeat, IdleHeartbeat and Grace are written to the settings files of
	// agents and entries. Zero means the default.
	Heartbeat, IdleHeartbeat, Grace time.Duration
	// Token is the bearer token that the platform requires; empty for none.
	Token string
	// LinkProxy returns the address at which entries connect to the agent of the
	// endpoint called name, whose own address is linkAddr. Tests start a
	// fault-injecting proxy here. Nil means linkAddr itself.
	LinkProxy func(name, linkAddr string) (string, error)
	// Objects are written to the platform before endpoints, agents and entries
	// start.
	Objects []spec.Item
	// NoAgents means that neither agents nor entries are started. It is set for the
	// baselines.
	NoAgents bool
}

// Endpoint describes a simulated endpoint. Exactly one of Engine and Plain is
// set.
type Endpoint struct {
	Name   string
	Zone   string
	Labels map[string]string
	Engine *simeng.Config
	Plain  *plain.Config
	// SharesWith is the name of an earlier endpoint whose simulator process this
	// endpoint uses too, so that many agents need few such processes. Empty means
	// a process of its own.
	SharesWith string
}

// The token of admin APIs and the key of links. They protect only processes on
// loopback.
const (
	AdminToken = "operator-of-the-trial"
	fleetKey   = "fleet-key-of-the-trial-0123456789"
)

// anyLoopbackPort makes a process listen on any free port.
const anyLoopbackPort = "127.0.0.1:0"

// EngineEndpoint returns an endpoint that is an engine for model.
func EngineEndpoint(name, zone, model string, cfg simeng.Config) Endpoint {
	cfg.Name, cfg.Model = name, model
	return Endpoint{Name: name, Zone: zone, Labels: map[string]string{"model": model}, Engine: &cfg}
}

// PlainEndpoint returns an endpoint that is a plain service.
func PlainEndpoint(name, zone, service string, cfg plain.Config) Endpoint {
	cfg.Name = service
	return Endpoint{Name: name, Zone: zone, Labels: map[string]string{"service": service}, Plain: &cfg}
}

// simulatorArgs returns the command line arguments of the simulator.
func (ep Endpoint) simulatorArgs(listen, platform string) []string {
	if ep.Plain != nil {
		return []string{
			"service", "--listen", listen, "--name", ep.Plain.Name, "--work", ep.Plain.CallTime.String(),
			"--slots", strconv.Itoa(max(ep.Plain.Slots, 1)),
		}
	}
	c := ep.Engine
	args := []string{
		"engine", "--listen", listen, "--name", c.Name, "--model", c.Model, "--model-version", c.Version,
		"--platform", platform, "--slots", strconv.Itoa(c.Slots), "--prefill-tps", formatFloat(c.PrefillTPS),
		"--decode-tps", formatFloat(c.DecodeTPS), "--batch-slope", formatFloat(c.BatchSlope),
		"--kv-blocks", strconv.Itoa(c.KVBlocks), "--block-tokens", strconv.Itoa(c.BlockTokens),
		"--load-lag", c.LoadLag.String(), "--event-lag", c.EventLag.String(),
		"--event-loss", formatFloat(c.EventLoss), "--speed", formatFloat(c.Speed),
	}
	if c.ChecksFence {
		args = append(args, "--checks-fence")
	}
	return args
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// kind returns the endpoint's kind as it is called in settings files.
func (ep Endpoint) kind() string {
	if ep.Plain != nil {
		return "service"
	}
	return "engine"
}

func (p Plan) validate() error {
	if len(p.Zones) == 0 {
		return fmt.Errorf("fleet: plan %s has no zone: name at least one", p.Name)
	}
	for _, ep := range p.Endpoints {
		if (ep.Engine == nil) == (ep.Plain == nil) {
			return fmt.Errorf("fleet: endpoint %s: set exactly one of Engine and Plain", ep.Name)
		}
	}
	return nil
}

// The content of settings files, which core/conf reads.
type (
	commonSettings struct {
		Name     string           `yaml:"name"`
		Zone     string           `yaml:"zone"`
		FleetKey string           `yaml:"fleet_key"`
		Platform platformSettings `yaml:"platform"`
	}
	platformSettings struct {
		Address string `yaml:"address"`
		Token   string `yaml:"token,omitempty"`
	}
	adminSettings struct {
		Listen string `yaml:"listen"`
		Token  string `yaml:"token"`
	}
	endpointSettings struct {
		Address     string `yaml:"address"`
		Kind        string `yaml:"kind"`
		ChecksFence bool   `yaml:"checks_fence,omitempty"`
	}
	agentSettings struct {
		commonSettings `yaml:",inline"`
		Link           string           `yaml:"link"`
		Endpoint       endpointSettings `yaml:"endpoint"`
		Admin          adminSettings    `yaml:"admin"`
		Heartbeat      spec.Duration    `yaml:"heartbeat,omitempty"`
		IdleHeartbeat  spec.Duration    `yaml:"idle_heartbeat,omitempty"`
		Grace          spec.Duration    `yaml:"grace,omitempty"`
	}
	entrySettings struct {
		commonSettings `yaml:",inline"`
		Listen         string        `yaml:"listen"`
		Link           string        `yaml:"link"`
		Admin          adminSettings `yaml:"admin"`
		Peers          []string      `yaml:"peers,omitempty"`
		Heartbeat      spec.Duration `yaml:"heartbeat,omitempty"`
		IdleHeartbeat  spec.Duration `yaml:"idle_heartbeat,omitempty"`
		Grace          spec.Duration `yaml:"grace,omitempty"`
	}
)
