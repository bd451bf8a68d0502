// Package conf reads the settings of a process. It reports every problem at
// once, each with line, reason and remedy.
package conf

import (
	"time"

	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// Defaults of settings that may be left out.
const (
	// DefaultGrace is how long a planned stop waits for running requests. A
	// season slate or a brief takes minutes.
	DefaultGrace = 5 * time.Minute
	// DefaultRequestMemory is in MiB: some 4000 small requests.
	DefaultRequestMemory = 256
	// DefaultLevel is the log level.
	DefaultLevel = "info"
)

// Secret is text that is never logged or printed.
type Secret string

// String hides the secret.
func (Secret) String() string { return "(hidden)" }

// MarshalText hides the secret.
func (Secret) MarshalText() ([]byte, error) { return []byte("(hidden)"), nil }

// Common are the settings that entry and agent share.
type Common struct {
	// Name is the instance's name, unique in the fleet.
	Name string `yaml:"name"`
	// Zone is the availability zone.
	Zone string `yaml:"zone"`
	// FleetKey proves the process to its peers.
	FleetKey Secret `yaml:"fleet_key"`
	// FleetKeys replaces FleetKey while a key is being replaced: the first
	// proves this process, all are accepted.
	FleetKeys []Secret `yaml:"fleet_keys"`
	Platform  Platform `yaml:"platform"`
	Log       Log      `yaml:"log"`
	TLS       TLS      `yaml:"tls"`
}

// Platform says where the platform's object API is.
type Platform struct {
	Address string `yaml:"address"`
	Token   Secret `yaml:"token"`
}

// Log says what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// TLS names the files of the links' certificates; all three or none.
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`
}

// On reports whether links use TLS.
func (t TLS) On() bool { return t.Cert != "" || t.Key != "" || t.CA != "" }

// Admin is the listener for operators.
type Admin struct {
	Listen string `yaml:"listen"`
	Token  Secret `yaml:"token"`
}

// Entry are the settings of an entry.
type Entry struct {
	Common `yaml:",inline"`
	// Listen is the address for callers.
	Listen string `yaml:"listen"`
	// Link is the address for other lycheepond processes.
	Link  string `yaml:"link"`
	Admin Admin  `yaml:"admin"`
	// Peers are link addresses of other entries, asked for the configuration
	// when the platform is away at start.
	Peers []string `yaml:"peers"`
	// RequestMemory bounds the requests held at once, in MiB.
	RequestMemory int           `yaml:"request_memory"`
	Heartbeat     spec.Duration `yaml:"heartbeat"`
	// IdleHeartbeat is the heartbeat of links without work.
	IdleHeartbeat spec.Duration `yaml:"idle_heartbeat"`
	Grace         spec.Duration `yaml:"grace"`
}

// Agent are the settings of an agent.
type Agent struct {
	Common `yaml:",inline"`
	// Link is the address that entries dial.
	Link      string        `yaml:"link"`
	Endpoint  Endpoint      `yaml:"endpoint"`
	Admin     Admin         `yaml:"admin"`
	Heartbeat spec.Duration `yaml:"heartbeat"`
	// IdleHeartbeat is the heartbeat of links without work.
	IdleHeartbeat spec.Duration `yaml:"idle_heartbeat"`
	Grace         spec.Duration `yaml:"grace"`
}

// Endpoint kinds.
const (
	EndpointEngine  = "engine"
	EndpointService = "service"
)

// Endpoint is what the agent stands beside.
type Endpoint struct {
	// Address is the endpoint's address with its scheme.
	Address string `yaml:"address"`
	// Kind is engine or service.
	Kind string `yaml:"kind"`
	// ChecksFence is set when the endpoint refuses orders with an old fencing
	// number.
	ChecksFence bool `yaml:"checks_fence"`
}

// Keys returns the fleet keys as links take them.
func (c *Common) Keys() wire.Keys {
	if len(c.FleetKeys) == 0 {
		return wire.OneKey([]byte(c.FleetKey))
	}
	keys := wire.Keys{Current: []byte(c.FleetKeys[0])}
	for _, k := range c.FleetKeys {
		keys.Accepted = append(keys.Accepted, []byte(k))
	}
	return keys
}

func (e *Entry) defaults() {
	e.Common.defaults()
	e.Heartbeat, e.Grace = timing(e.Heartbeat, e.Grace)
	if e.RequestMemory == 0 {
		e.RequestMemory = DefaultRequestMemory
	}
	e.IdleHeartbeat = max(e.IdleHeartbeat, e.Heartbeat)
}

func (a *Agent) defaults() {
	a.Common.defaults()
	a.Heartbeat, a.Grace = timing(a.Heartbeat, a.Grace)
	a.IdleHeartbeat = max(a.IdleHeartbeat, a.Heartbeat)
}

func (c *Common) defaults() {
	if c.Log.Level == "" {
		c.Log.Level = DefaultLevel
	}
}

func timing(heartbeat, grace spec.Duration) (spec.Duration, spec.Duration) {
	if heartbeat == 0 {
		heartbeat = spec.Duration(wire.DefaultHeartbeat)
	}
	if grace == 0 {
		grace = spec.Duration(DefaultGrace)
	}
	return heartbeat, grace
}
