package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"lycheepond/trial/basel"
	"lycheepond/trial/exper"
	"lycheepond/trial/serve"
)

func baselineCommand() command {
	sub := newSubcommand("baseline", "dispatcher that forwards requests in round-robin order or by the lagging load reports")
	listen, cfg := anyPort, basel.Config{Policy: basel.RoundRobin}
	sub.String(&listen, "l", "listen", "address to listen on")
	sub.String(&cfg.Policy, "p", "policy", basel.RoundRobin+" or "+basel.LeastLoad)
	sub.StringSlice(&cfg.Engines, "e", "engine", "address of an engine, may be repeated")
	return command{sub: sub, run: func(ctx context.Context) error {
		d, err := basel.New(cfg)
		if err != nil {
			return err
		}
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		return errors.Join(serve.Run(ctx, "baseline", listen, d, os.Stdout), <-ended)
	}}
}

func measureCommand() command {
	sub := newSubcommand("measure", "run the experiments and print one JSON line for each scenario, policy and tier")
	cfg := measureConfig{plotDir: "measure"}
	sub.String(&cfg.scenario, "s", "scenario", "one scenario; all by default")
	sub.String(&cfg.policy, "p", "policy", "one policy; all by default")
	sub.String(&cfg.plotDir, "d", "dir", "directory of the plots")
	sub.Bool(&cfg.writesTrace, "t", "trace", "write the entries' status over time beside the plots")
	return command{sub: sub, run: func(ctx context.Context) error { return measure(ctx, cfg) }}
}

// measureConfig holds the flags of trial measure.
type measureConfig struct {
	// An empty scenario or policy selects all of them.
	scenario, policy, plotDir string
	writesTrace               bool
}

// measure runs the experiments that cfg selects, one after another.
func measure(ctx context.Context, cfg measureConfig) error {
	runs := 0
	for _, sc := range exper.Scenarios() {
		for _, p := range exper.Policies() {
			if (cfg.scenario != "" && sc.Name != cfg.scenario) || (cfg.policy != "" && p != cfg.policy) {
				continue
			}
			runs++
			if err := measureOne(ctx, cfg, sc, p, false); err != nil {
				return err
			}
			if p == exper.Lycheepond && sc.HasCalmRun() {
				if err := measureOne(ctx, cfg, sc, p, true); err != nil {
					return err
				}
			}
		}
	}
	if runs > 0 {
		return nil
	}
	var names []string
	for _, sc := range exper.Scenarios() {
		names = append(names, sc.Name)
	}
	return fmt.Errorf("no scenario %q with policy %q: scenarios are %s, policies %s",
		cfg.scenario, cfg.policy, strings.Join(names, ", "), strings.Join(exper.Policies(), ", "))
}

// measureOne runs one scenario under one policy. It writes the summary of the run to
// standard error and those of the tiers to standard output, and plots them. A calm run
// only serves as a comparison: it writes the summary to standard error and nothing else.
func measureOne(ctx context.Context, cfg measureConfig, sc exper.Scenario, policy string, calm bool) (err error) {
	set, err := newProcessSet("measure")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s, %s: %w (logs are in %s)", sc.Name, policy, err, set.Dir())
			return
		}
		os.RemoveAll(set.Dir())
	}()
	opt := exper.Options{Policy: policy, Calm: calm, Log: os.Stderr}
	if cfg.writesTrace && policy == exper.Lycheepond && !calm {
		f, err := createTraceFile(cfg.plotDir, sc.Name)
		if err != nil {
			return err
		}
		defer f.Close()
		opt.Trace = f
	}
	result, err := exper.Run(ctx, set, sc, opt)
	if err = errors.Join(err, set.Close(maxStopTime)); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stderr).Encode(result.Summary(calm)); err != nil || calm {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	for _, summary := range result.TierSummaries() {
		if err := enc.Encode(summary); err != nil {
			return err
		}
	}
	return result.Plot(cfg.plotDir)
}

// createTraceFile creates the file for the trace of a scenario in dir.
func createTraceFile(dir, scenario string) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	return os.Create(filepath.Join(dir, scenario+"-trace.jsonl"))
}
