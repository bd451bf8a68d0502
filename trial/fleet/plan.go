// Package fleet starts a whole deployment as processes on loopback: the
// platform's stand-in, endpoints with their agents, and entries.
package fleet

import (
	"fmt"
	"strconv"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/engin"
	"lycheepond/trial/plain"
)

// Plan describes a deployment.
type Plan struct {
	// Name opens the names of its processes.
	Name string
	// Zones are given to entries in turn.
	Zones     []string
	Endpoints []Endpoint
	// Entries is how many entries run.
	Entries int
	// Heartbeat, IdleHeartbeat and Grace go into the settings; zero leaves the default.
	Heartbeat, IdleHeartbeat, Grace time.Duration
	// Token is what the platform asks for; empty for none.
	Token string
	// Via returns the address under which entries reach the link of an agent;
	// nil is the link itself. A fault-injecting proxy goes here.
	Via func(name, link string) (string, error)
	// Objects are written to the platform before anything else starts.
	Objects []spec.Item
	// NoAgents leaves agents and entries out, for the baselines.
	NoAgents bool
}

// Endpoint is one endpoint with its stand-in's configuration: exactly one of
// Engine and Plain is set.
type Endpoint struct {
	Name   string
	Zone   string
	Labels map[string]string
	Engine *engin.Config
	Plain  *plain.Config
	// Share names an earlier endpoint whose stand-in this one uses too, to
	// have many agents with few stand-ins.
	Share string
}

// Admin tokens and the key of links. They guard nothing but loopback.
const (
	AdminToken = "operator-of-the-trial"
	fleetKey   = "fleet-key-of-the-trial-0123456789"
)

const loopback = "127.0.0.1:0"

// EngineEndpoint returns an endpoint for an engine that serves model.
func EngineEndpoint(name, zone, model string, cfg engin.Config) Endpoint {
	cfg.Name, cfg.Model = name, model
	return Endpoint{Name: name, Zone: zone, Labels: map[string]string{"model": model}, Engine: &cfg}
}

// PlainEndpoint returns an endpoint for a plain service.
func PlainEndpoint(name, zone, service string, cfg plain.Config) Endpoint {
	cfg.Name = service
	return Endpoint{Name: name, Zone: zone, Labels: map[string]string{"service": service}, Plain: &cfg}
}

// args returns the command line of the stand-in.
func (ep Endpoint) args(listen, platform string) []string {
	if ep.Plain != nil {
		return []string{
			"service", "--listen", listen, "--name", ep.Plain.Name, "--work", ep.Plain.Work.String(),
			"--slots", strconv.Itoa(max(ep.Plain.Slots, 1)),
		}
	}
	c := ep.Engine
	args := []string{
		"engine", "--listen", listen, "--name", c.Name, "--model", c.Model, "--model-version", c.Version,
		"--platform", platform, "--slots", strconv.Itoa(c.Slots), "--prefill-tps", number(c.PrefillTPS),
		"--decode-tps", number(c.DecodeTPS), "--batch-slope", number(c.BatchSlope),
		"--kv-blocks", strconv.Itoa(c.KVBlocks), "--block-tokens", strconv.Itoa(c.BlockTokens),
		"--load-lag", c.LoadLag.String(), "--event-lag", c.EventLag.String(),
		"--event-loss", number(c.EventLoss), "--speed", number(c.Speed),
	}
	if c.ChecksFence {
		args = append(args, "--checks-fence")
	}
	return args
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// kind returns the endpoint's kind as settings name it.
func (ep Endpoint) kind() string {
	if ep.Plain != nil {
		return "service"
	}
	return "engine"
}

func (p Plan) check() error {
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

// The settings files as core/conf reads them.
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
