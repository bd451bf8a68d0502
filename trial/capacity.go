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

// Defaults of trial capacity.
const (
	capacitySample = 8 * time.Second
	capacityRate   = 2
)

func capacityCommand() command {
	sub := newSub("capacity", "print what entries and agents spend as agents and customers grow, and the slopes")
	cfg := capac.Config{SampleTime: capacitySample, RatePerAgent: capacityRate}
	sub.IntSlice(&cfg.Agents, "a", "agents", "numbers of agents, repeated; 10, 25, 50 by default")
	sub.IntSlice(&cfg.Customers, "c", "customers", "numbers of customers, repeated; 1000, 5000, 21000 by default")
	sub.IntSlice(&cfg.Entries, "e", "entries", "numbers of entries, repeated; 2, 4, 8, 16 by default")
	sub.Duration(&cfg.SampleTime, "d", "sample", "how long each point is measured")
	sub.Duration(&cfg.IdleHeartbeat, "i", "idle-heartbeat", "the setting of this name")
	sub.Float64(&cfg.RatePerAgent, "r", "rate", "requests a second and agent at full load")
	return command{sub: sub, run: func(ctx context.Context) error { return capacity(ctx, cfg) }}
}

func pathCommand() command {
	sub := newSub("path", "print what entry and agent add to a stream, and how many tokens they relay")
	return command{sub: sub, run: func(ctx context.Context) error {
		enc := json.NewEncoder(os.Stdout)
		_, err := withSet(func(set *procs.Set) ([]capac.Point, error) {
			return nil, capac.MeasurePath(ctx, set, func(v any) error { return enc.Encode(v) })
		})
		return err
	}}
}

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
		what  string
		sizes []int
		at    func(context.Context, *procs.Set, capac.Config, int) ([]capac.Point, error)
	}{
		{capac.ByEntries, cfg.Entries, capac.MeasureEntries},
		{capac.ByCustomers, cfg.Customers, capac.MeasureCustomers},
		{capac.ByAgents, cfg.Agents, capac.MeasureAgents},
	} {
		for _, n := range m.sizes {
			found, err := withSet(func(set *procs.Set) ([]capac.Point, error) { return m.at(ctx, set, cfg, n) })
			if err != nil {
				return fmt.Errorf("%d %s: %w", n, m.what, err)
			}
			points = append(points, found...)
		}
	}
	for _, s := range capac.Slopes(points) {
		if err := enc.Encode(s); err != nil {
			return err
		}
	}
	return nil
}

// withSet runs f with a fresh set of processes and ends them.
func withSet(f func(*procs.Set) ([]capac.Point, error)) ([]capac.Point, error) {
	set, err := newSet("capacity")
	if err != nil {
		return nil, err
	}
	points, err := f(set)
	if err = errors.Join(err, set.Close(stopWait)); err != nil {
		return nil, fmt.Errorf("%w (logs are in %s)", err, set.Dir())
	}
	return points, os.RemoveAll(set.Dir())
}
