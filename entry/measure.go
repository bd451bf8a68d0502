package main

import (
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// registerMetrics adds the entry's own state to its metrics.
func (n *node) registerMetrics() {
	n.feed.RegisterMetrics(n.meter)
	n.meter.RegisterProcess()
	n.meter.GaugeFunc("entry_running", func() int64 { return int64(n.sched.Running()) })
	n.meter.GaugeFunc("entry_lowest_level", n.lowestLevel)
	for name, count := range map[string]func(wire.Counts) uint64{
		"entry_control_in_bytes":  func(c wire.Counts) uint64 { return c.ControlIn },
		"entry_control_out_bytes": func(c wire.Counts) uint64 { return c.ControlOut },
		"entry_data_in_bytes":     func(c wire.Counts) uint64 { return c.DataIn },
		"entry_data_out_bytes":    func(c wire.Counts) uint64 { return c.DataOut },
	} {
		n.meter.GaugeFunc(name, func() int64 { return int64(count(n.agents.Counts())) })
	}
}

// lowestLevel returns the lowest, and so strictest, shed level of all pools.
func (n *node) lowestLevel() int64 {
	level := spec.Tiers - 1
	for _, p := range n.agents.Pools() {
		level = min(level, n.sched.PoolReport(p).ShedLevel)
	}
	return int64(level)
}
