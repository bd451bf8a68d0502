// Package conf reads the settings of a process. It reports every problem at once,
// each with its line, reason and remedy.
package conf

import (
	"time"

	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// Defaults of settings that may be left out.
const (
	// DefaultGrace is how long a planned stop waits for running requests. A long
	// answer, such as a season slate or a brief, takes minutes.
	DefaultGrace = 5 * time.Minute
	// DefaultRequestMemoryMiB is enough for about 4000 small requests.
	DefaultRequestMemoryMiB = 256
	// DefaultLogLevel is the default log level.
	DefaultLogLevel = "info"
)

// Secret is text that is never logged or printed.
type Secret string

// String returns a placeholder.
func (Secret) String() string { return "(hidden)" }

// MarshalText returns a placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte("(hidden)"), nil }

// Common holds the settings that all processes share.
type Common struct {
	// Name is the instance's name, unique in the fleet.
	Name string `yaml:"name"`
	// Zone is the name of the instance's availability zone.
	Zone string `yaml:"zone"`
	// FleetKey is the key with which the process proves itself to its peers.
	FleetKey Secret `yaml:"fleet_key"`
	// FleetKeys is set instead of FleetKey while the key is being replaced. The
	// process proves itself with the first key and accepts all of them.
	FleetKeys []Secret `yaml:"fleet_keys"`
	Platform  Platform `yaml:"platform"`
	Log       Log      `yaml:"log"`
	TLS       TLS      `yaml:"tls"`
}

// Platform locates the platform's object API.
type Platform struct {
	Address string `yaml:"address"`
	Token   Secret `yaml:"token"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// TLS names the certificate files for links. Either all three are set or none.
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	CA   string `yaml:"ca"`
}

// Enabled reports whether links use TLS.
func (t TLS) Enabled() bool { return t.Cert != "" || t.Key != "" || t.CA != "" }

// Admin configures the listener for operators.
type Admin struct {
	Listen string `yaml:"listen"`
	Token  Secret `yaml:"token"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Common `yaml:",inline"`
	// Listen is the listen address for callers and LinkListen that for other
	// lycheepond processes.
	Listen     string `yaml:"listen"`
	LinkListen string `yaml:"link"`
	Admin      Admin  `yaml:"admin"`
	// Peers are the link addresses of other entries from which the configuration is
	// read if the platform is unavailable at the start.
	Peers []string `yaml:"peers"`
	// RequestMemoryMiB is the maximum memory of all requests held at once, in MiB.
	RequestMemoryMiB int `yaml:"request_memory"`
	// Heartbeat and IdleHeartbeat are the heartbeat periods of links with and without
	// requests.
	Heartbeat     spec.Duration `yaml:"heartbeat"`
	IdleHeartbeat spec.Duration `yaml:"idle_heartbeat"`
	// Grace is how long a planned stop waits for running requests.
	Grace spec.Duration `yaml:"grace"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Common `yaml:",inline"`
	// LinkListen is the address on which the agent listens for entries.
	LinkListen string   `yaml:"link"`
	Endpoint   Endpoint `yaml:"endpoint"`
	Admin      Admin    `yaml:"admin"`
	// Heartbeat and IdleHeartbeat are the heartbeat periods of links with and without
	// requests.
	Heartbeat     spec.Duration `yaml:"heartbeat"`
	IdleHeartbeat spec.Duration `yaml:"idle_heartbeat"`
	// Grace is how long a planned stop waits for running requests.
	Grace spec.Duration `yaml:"grace"`
}

// Endpoint kinds.
const (
	EndpointEngine  = "engine"
	EndpointService = "service"
)

// Endpoint describes the endpoint that the agent serves.
type Endpoint struct {
	// Address is the endpoint's address with its scheme.
	Address string `yaml:"address"`
	// Kind is engine or service.
	Kind string `yaml:"kind"`
	// ChecksFence is set if the endpoint refuses orders with an old fencing number.
	ChecksFence bool `yaml:"checks_fence"`
}

// Keys returns the fleet keys in the form that links use.
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

func (e *Entry) setDefaults() {
	e.Common.setDefaults()
	e.Heartbeat, e.Grace = timingDefaults(e.Heartbeat, e.Grace)
	if e.RequestMemoryMiB == 0 {
		e.RequestMemoryMiB = DefaultRequestMemoryMiB
	}
	e.IdleHeartbeat = max(e.IdleHeartbeat, e.Heartbeat)
}

func (a *Agent) setDefaults() {
	a.Common.setDefaults()
	a.Heartbeat, a.Grace = timingDefaults(a.Heartbeat, a.Grace)
	a.IdleHeartbeat = max(a.IdleHeartbeat, a.Heartbeat)
}

func (c *Common) setDefaults() {
	if c.Log.Level == "" {
		c.Log.Level = DefaultLogLevel
	}
}

// timingDefaults replaces zero values by the defaults.
func timingDefaults(heartbeat, grace spec.Duration) (spec.Duration, spec.Duration) {
	if heartbeat == 0 {
		heartbeat = spec.Duration(wire.DefaultHeartbeat)
	}
	if grace == 0 {
		grace = spec.Duration(DefaultGrace)
	}
	return heartbeat, grace
}
