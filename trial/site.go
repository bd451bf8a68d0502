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

// site is one of the two example deployments while it runs.
type site struct {
	plan  fleet.Plan
	fleet *fleet.Fleet
	// items are the objects of the deployment.
	items []spec.Item
}

// maxStopTime is how long processes may take to stop.
const maxStopTime = 10 * time.Second

// binDir returns the directory of the built programs, which is that of this program.
func binDir() (string, error) {
	exe, err := os.Executable()
	return filepath.Dir(exe), err
}

// newProcessSet returns a set of processes whose settings and logs are in a new
// temporary directory.
func newProcessSet(name string) (*procs.Set, error) {
	bin, err := binDir()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lycheepond-"+name+"-")
	if err != nil {
		return nil, err
	}
	return procs.New(procs.Config{BinDir: bin, Dir: dir})
}

// startSites starts both deployments with the objects in the directory examples.
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

// bearer returns the key of an example customer. The files in examples/ hold its hash.
func bearer(customer string) string { return "demo-" + customer }

// mayUseClass reports whether a customer may use a class.
func mayUseClass(c spec.Customer, class string) bool {
	return len(c.Classes) == 0 || slices.Contains(c.Classes, class)
}

// classes returns the classes of the deployment.
func (s *site) classes() (out []spec.Class) {
	for _, it := range s.items {
		if c, ok := it.Object.(spec.Class); ok {
			out = append(out, c)
		}
	}
	return out
}

// customers returns the customers of the deployment.
func (s *site) customers() (out []spec.Customer) {
	for _, it := range s.items {
		if c, ok := it.Object.(spec.Customer); ok {
			out = append(out, c)
		}
	}
	return out
}

// model and service return the names of the first model and of the first service.
func (s *site) model() string   { return s.firstName(spec.KindModel) }
func (s *site) service() string { return s.firstName(spec.KindService) }

// firstName returns the name of the first object of a kind, or "" if there is none.
func (s *site) firstName(kind string) string {
	for _, it := range s.items {
		if it.Kind == kind {
			return it.Name
		}
	}
	return ""
}

// entryAddrs returns the addresses at which the entries accept requests.
func (s *site) entryAddrs() (out []string) {
	for _, e := range s.fleet.Entries() {
		out = append(out, e.ListenAddr)
	}
	return out
}

// curlCommand returns a shell command that sends an example request.
func (s *site) curlCommand() string {
	return fmt.Sprintf("curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Lychee-Class: %s' "+
		`-d '{"model":"%s","prompt":"What is still open for Saturday?","max_tokens":24,"stream":true}'`,
		s.fleet.Entries()[0].ListenAddr, bearer(s.customers()[0].Name), s.classes()[0].Name, s.model())
}
