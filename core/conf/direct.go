package conf

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"lycheepond/core/spec"
)

// Direct holds the settings of an entry that calls endpoints directly, without
// agents.
type Direct struct {
	Common `yaml:",inline"`
	// Listen is the listen address for callers, ReadyListen that for the balancer's
	// readiness checks and LinkListen that for other entries.
	Listen      string `yaml:"listen"`
	ReadyListen string `yaml:"ready"`
	LinkListen  string `yaml:"link"`
	// Advertise is the address at which other entries reach LinkListen, if it differs
	// because of a port mapping or a proxy.
	Advertise string `yaml:"advertise"`
	// MetricsListen is the listen address for metrics; empty means none.
	MetricsListen string `yaml:"metrics"`
	// Peers are the link addresses of the entries to contact first.
	Peers []string `yaml:"peers"`
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB int `yaml:"memory"`
	// Processor and Bandwidth describe the capacity of the entry. The entries with
	// the largest capacity do the work that only a few entries of a fleet do. Without
	// them an entry counts as the smallest.
	Processor Processor `yaml:"processor"`
	// Bandwidth is the bandwidth of the instance's network link in Mbit/s.
	Bandwidth float64 `yaml:"bandwidth"`
	// MaxChangeDelay is the time within which a change of the configuration or of the
	// instance list must be in force.
	MaxChangeDelay spec.Duration `yaml:"fresh"`
	// Grace is the time between the stop signal and the end of the process.
	Grace   spec.Duration `yaml:"grace"`
	Repeats RepeatBudget  `yaml:"repeats"`
	// Tolerance is how far a customer's use may exceed its limit.
	Tolerance Tolerance `yaml:"tolerance"`
	// Rollouts limits the requests that a bad version may receive during a rollout.
	Rollouts Rollouts `yaml:"rollouts"`
	// Overload switches decisions for the time in which a pool has less room than its
	// callers ask for.
	Overload Overload `yaml:"overload"`
}

// Overload switches decisions that owners of shards make while a pool is full. All are
// off by default.
type Overload struct {
	// PlanReturns has refused callers told when to return, and serves those that do in the
	// room that requests within their targets leave.
	PlanReturns bool `yaml:"plan_returns"`
	// ShareByCustomer divides the room within a tier between the customers.
	ShareByCustomer bool `yaml:"share_by_customer"`
	// MinOwnedEntries is the number of entries from which on shards have owners, zero for
	// the default.
	MinOwnedEntries int `yaml:"min_owned_entries"`
}

// Rollouts limits the requests that a bad version may receive: to Share of the pool's
// requests during its rollout plus Slack requests. With a share of zero, rollout
// orders are not followed and endpoints of all versions are in service.
type Rollouts struct {
	Share float64 `yaml:"share"`
	Slack float64 `yaml:"slack"`
}

// Tolerance is Share of a customer's limit plus Slack units.
type Tolerance struct {
	Share float64 `yaml:"over"`
	Slack float64 `yaml:"slack"`
}

// Processor describes the processor time available to the process.
type Processor struct {
	// Share is the number of cores, and Speed the speed of a core relative to a usual
	// one; a Speed of zero means one.
	Share float64 `yaml:"share"`
	Speed float64 `yaml:"speed"`
}

// mbitPerCore is the bandwidth in Mbit/s that corresponds to one core. An entry with
// less bandwidth counts as having fewer cores.
const mbitPerCore = 250

// Capacity returns the capacity of the entry in thousandths of a core, or zero if the
// settings do not state it.
func (d *Direct) Capacity() uint32 {
	cores := d.Processor.Share * cmp.Or(d.Processor.Speed, 1)
	if d.Bandwidth > 0 {
		cores = min(cores, d.Bandwidth/mbitPerCore)
	}
	return uint32(1000 * min(max(cores, 0), 1000))
}

// RepeatBudget limits the requests that all entries together may send again in each
// window: to Ratio of a pool's requests plus Slack requests.
type RepeatBudget struct {
	Ratio float64 `yaml:"ratio"`
	Slack float64 `yaml:"slack"`
}

// Bounds of MaxChangeDelay. Below the minimum, the entry would call the platform
// almost continuously.
const (
	minChangeDelay = 200 * time.Millisecond
	maxChangeDelay = time.Minute
)

// minMemoryMB is the minimum memory of an entry in MB.
const minMemoryMB = 24

// LinkAddr returns the address that other entries dial.
func (d *Direct) LinkAddr() string {
	if d.Advertise != "" {
		return d.Advertise
	}
	return d.LinkListen
}

func (d *Direct) setDefaults() {
	d.Common.setDefaults()
	if d.Grace == 0 {
		d.Grace = spec.Duration(DefaultGrace)
	}
}

func (d *Direct) check() spec.Problems {
	var c checker
	c.common(&d.Common)
	c.listenAddress("listen", d.Listen)
	c.listenAddress("ready", d.ReadyListen)
	c.listenAddress("link", d.LinkListen)
	if d.Advertise != "" {
		c.listenAddress("advertise", d.Advertise)
	}
	if d.MetricsListen != "" {
		c.listenAddress("metrics", d.MetricsListen)
	}
	for i, p := range d.Peers {
		c.listenAddress("peers["+strconv.Itoa(i)+"]", p)
	}
	if d.MemoryMB < minMemoryMB {
		c.add("memory", fmt.Sprintf("%d MB is too little", d.MemoryMB), fmt.Sprintf("write the process's memory in MB, %d or more", minMemoryMB))
	}
	for name, v := range map[string]float64{"processor.share": d.Processor.Share, "processor.speed": d.Processor.Speed, "bandwidth": d.Bandwidth} {
		if v < 0 {
			c.add(name, fmt.Sprintf("%v is negative", v), "write 0 if it is unknown")
		}
	}
	if d.Repeats.Ratio < 0 || d.Repeats.Ratio > 1 {
		c.add("repeats.ratio", fmt.Sprintf("%v is out of range", d.Repeats.Ratio), "write a share of the requests between 0 and 1")
	}
	if d.Repeats.Slack < 0 {
		c.add("repeats.slack", fmt.Sprintf("%v is out of range", d.Repeats.Slack), "write a number of requests, 0 or more")
	}
	if d.Tolerance.Share < 0 || d.Tolerance.Share > 1 {
		c.add("tolerance.over", fmt.Sprintf("%v is out of range", d.Tolerance.Share), "write a share of the limit between 0 and 1")
	}
	if d.Tolerance.Slack < 0 {
		c.add("tolerance.slack", fmt.Sprintf("%v is out of range", d.Tolerance.Slack), "write a number of units, 0 or more")
	}
	if d.Rollouts.Share < 0 || d.Rollouts.Share > 1 {
		c.add("rollouts.share", fmt.Sprintf("%v is out of range", d.Rollouts.Share), "write a share of the requests between 0 and 1")
	}
	if d.Rollouts.Slack < 0 {
		c.add("rollouts.slack", fmt.Sprintf("%v is out of range", d.Rollouts.Slack), "write a number of requests, 0 or more")
	}
	c.between("fresh", d.MaxChangeDelay, minChangeDelay, maxChangeDelay)
	c.between("grace", d.Grace, 0, maxGrace)
	return c.problems
}
