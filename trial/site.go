package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/fleet"
	"lycheepond/trial/procs"
)

// site is one of the two example deployments, running.
type site struct {
	plan  fleet.Plan
	fleet *fleet.Fleet
	items []spec.Item
}

// stopWait is how long processes may take to stop.
const stopWait = 10 * time.Second

// here returns the directory of the built programs: where this one is.
func here() (string, error) {
	exe, err := os.Executable()
	return filepath.Dir(exe), err
}

// newSet makes a set whose settings and logs are in a directory of their own.
func newSet(name string) (*procs.Set, error) {
	bin, err := here()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lycheepond-"+name+"-")
	if err != nil {
		return nil, err
	}
	return procs.New(procs.Config{BinDir: bin, Dir: dir})
}

// startSites starts both deployments with the objects of examples/.
func startSites(ctx context.Context, set *procs.Set, examples string) ([]*site, error) {
	var sites []*site
	for _, plan := range []fleet.Plan{fleet.WhistlepathPlan(), fleet.VLKPlan()} {
		items, err := fleet.ReadDir(filepath.Join(examples, plan.Name))
		if err != nil {
			return nil, err
		}
		plan.Objects = items
		f, err := fleet.Start(ctx, set, plan)
		if err != nil {
			return nil, err
		}
		sites = append(sites, &site{plan: plan, fleet: f, items: items})
	}
	return sites, nil
}

// bearer returns the key of an example customer, as examples/ tells it.
func bearer(customer string) string { return "demo-" + customer }

// allowed reports whether a customer may use a class.
func allowed(c spec.Customer, class string) bool {
	return len(c.Classes) == 0 || slices.Contains(c.Classes, class)
}

// classes and customers return the example's objects.
func (s *site) classes() (out []spec.Class) {
	for _, it := range s.items {
		if c, ok := it.Object.(spec.Class); ok {
			out = append(out, c)
		}
	}
	return out
}

func (s *site) customers() (out []spec.Customer) {
	for _, it := range s.items {
		if c, ok := it.Object.(spec.Customer); ok {
			out = append(out, c)
		}
	}
	return out
}

// model and service return the names that callers use.
func (s *site) model() string   { return s.named(spec.KindModel) }
func (s *site) service() string { return s.named(spec.KindService) }

func (s *site) named(kind string) string {
	for _, it := range s.items {
		if it.Kind == kind {
			return it.Name
		}
	}
	return ""
}

func (s *site) targets() (out []string) {
	for _, e := range s.fleet.Entries() {
		out = append(out, e.Listen)
	}
	return out
}

// curl returns a command to try.
func (s *site) curl() string {
	return fmt.Sprintf("curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Lychee-Class: %s' "+
		`-d '{"model":"%s","prompt":"What is still open for Saturday?","max_tokens":24,"stream":true}'`,
		s.fleet.Entries()[0].Listen, bearer(s.customers()[0].Name), s.classes()[0].Name, s.model())
}
