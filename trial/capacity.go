package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"lycheepond/trial/capac"
	"lycheepond/trial/procs"
)

// Defaults of the flags of trial capacity.
const (
	defaultSampleTime   = 8 * time.Second
	defaultRatePerAgent = 2
)

func capacityCommand() command {
	sub := newSubcommand("capacity", "print the resource usage of entries and agents at growing numbers of agents, customers and entries, and its slopes")
	cfg := capac.Config{SampleTime: defaultSampleTime, RatePerAgent: defaultRatePerAgent}
	sub.IntSlice(&cfg.Agents, "a", "agents", "numbers of agents, repeated; 10, 25, 50 by default")
	sub.IntSlice(&cfg.Customers, "c", "customers", "numbers of customers, repeated; 1000, 5000, 21000 by default")
	sub.IntSlice(&cfg.Entries, "e", "entries", "numbers of entries, repeated; 2, 4, 8, 16 by default")
	sub.Duration(&cfg.SampleTime, "d", "sample", "time for which each point is measured")
	sub.Duration(&cfg.IdleHeartbeat, "i", "idle-heartbeat", "idle_heartbeat in the settings of the processes; the default if 0")
	sub.Float64(&cfg.RatePerAgent, "r", "rate", "requests per second and agent at full load")
	return command{sub: sub, run: func(ctx context.Context) error { return capacity(ctx, cfg) }}
}

func pathCommand() command {
	sub := newSubcommand("path", "print the latency that an entry and an agent add to a stream, and how many tokens they relay")
	return command{sub: sub, run: func(ctx context.Context) error {
		enc := json.NewEncoder(os.Stdout)
		_, err := withProcessSet(func(set *procs.Set) ([]capac.Point, error) {
			return nil, capac.MeasurePath(ctx, set, func(v any) error { return enc.Encode(v) })
		})
		return err
	}}
}

// capacity measures at all sizes of cfg, or at the default sizes if it has none, and
// prints a JSON line for each figure.
func capacity(ctx context.Context, cfg capac.Config) error {
	if len(cfg.Agents) == 0 && len(cfg.Customers) == 0 && len(cfg.Entries) == 0 {
		cfg.Agents, cfg.Customers, cfg.Entries = []int{10, 25, 50}, []int{1000, 5000, 21000}, []int{2, 4, 8, 16}
	}
	enc := json.NewEncoder(os.Stdout)
	cfg.Report = func(v any) error { return enc.Encode(v) }
	if err := capac.MeasureSizes(cfg.Report); err != nil {
		return err
	}
	var points []capac.Point
	for _, m := range []struct {
		name    string
		sizes   []int
		measure func(context.Context, *procs.Set, capac.Config, int) ([]capac.Point, error)
	}{
		{capac.ByEntries, cfg.Entries, capac.MeasureEntries},
		{capac.ByCustomers, cfg.Customers, capac.MeasureCustomers},
		{capac.ByAgents, cfg.Agents, capac.MeasureAgents},
	} {
		for _, n := range m.sizes {
			measured, err := withProcessSet(func(set *procs.Set) ([]capac.Point, error) { return m.measure(ctx, set, cfg, n) })
			if err != nil {
				return fmt.Errorf("%d %s: %w", n, m.name, err)
			}
			points = append(points, measured...)
		}
	}
	for _, s := range capac.Slopes(points) {
		if err := enc.Encode(s); err != nil {
			return err
		}
	}
	return nil
}

// withProcessSet calls f with a new set of processes and then stops them. It removes
// their directory unless there was an error.
func withProcessSet(f func(*procs.Set) ([]capac.Point, error)) ([]capac.Point, error) {
	set, err := newProcessSet("capacity")
	if err != nil {
		return nil, err
	}
	points, err := f(set)
	if err = errors.Join(err, set.Close(maxStopTime)); err != nil {
		return nil, fmt.Errorf("%w (logs are in %s)", err, set.Dir())
	}
	return points, os.RemoveAll(set.Dir())
}
