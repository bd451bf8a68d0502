// Package survey finds out how a fleet is: which configuration is in force
// where, and how full each pool is.
package survey

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"lycheepond/core/plat"
	"lycheepond/core/report"
	"lycheepond/core/spec"
	"lycheepond/core/store"
	"lycheepond/lychee/admin"
)

// atOnce bounds the questions that are open at one time.
const atOnce = 32

// Report is the state of a fleet.
type Report struct {
	// Away is set when the platform does not answer. Entries are then compared
	// with the newest among them.
	Away bool `json:"platform_away"`
	// Config is the newest configuration version at the platform, or among the
	// entries while it is away.
	Config int64 `json:"config_version"`
	// InForce is set when every entry has exactly the platform's configuration
	// in force.
	InForce bool    `json:"in_force_everywhere"`
	Entries []Entry `json:"entries"`
	Pools   []Pool  `json:"pools"`
}

// Entry is one entry of a Report.
type Entry struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Config  int64  `json:"config_version"`
	Running int    `json:"running"`
	// State is ready, not-ready, leaving or silent.
	State string `json:"state"`
	// Lags is set when the entry has another configuration than the platform.
	Lags     bool              `json:"lags"`
	Away     bool              `json:"platform_away"`
	AgeMS    int64             `json:"platform_answer_age_ms"`
	Rejected []store.Rejection `json:"rejected,omitempty"`
	Error    string            `json:"error,omitempty"`
}

// The states of an Entry.
const (
	StateReady    = "ready"
	StateNotReady = "not-ready"
	StateLeaving  = "leaving"
	StateSilent   = "silent"
)

// Pool is one pool of a Report.
type Pool struct {
	Name string `json:"name"`
	// Wanted is the version that the operator wants a model's endpoints to
	// serve, empty for none.
	Wanted string `json:"wanted_version,omitempty"`
	// Level is the lowest tier that every entry still admits.
	Level    int    `json:"shed_level"`
	InFlight int    `json:"in_flight"`
	Bound    int    `json:"bound"`
	Queued   int    `json:"queued"`
	Waiting  int    `json:"waiting_at_entries"`
	Agents   []Line `json:"endpoints"`
}

// Line is one endpoint of a Pool.
type Line struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Version  string `json:"version,omitempty"`
	InFlight int    `json:"in_flight"`
	Bound    int    `json:"bound"`
	Queued   int    `json:"queued"`
	Linked   bool   `json:"linked"`
	Leaving  bool   `json:"leaving"`
	Slow     bool   `json:"slow"`
	Down     bool   `json:"down"`
}

// Surveyor asks the platform and the processes.
type Surveyor struct {
	Platform *plat.Client
	Admin    *admin.Client
	// Entries are admin addresses besides those of the instance list.
	Entries []string
}

// Roster returns the instance list.
func (s *Surveyor) Roster(ctx context.Context) (plat.Roster, error) {
	return s.Platform.Instances(ctx, 0, 0)
}

// EntryAddresses returns the admin address of every entry by its name; an
// address that was given stands for itself.
func (s *Surveyor) EntryAddresses(roster plat.Roster) []Entry {
	var out []Entry
	for _, i := range roster.Instances {
		if i.Role == plat.RoleEntry && i.AdminAddr != "" {
			out = append(out, Entry{Name: i.Name, Zone: i.Zone, Address: i.AdminAddr})
		}
	}
	for _, a := range s.Entries {
		if !slices.ContainsFunc(out, func(e Entry) bool { return e.Address == a }) {
			out = append(out, Entry{Name: a, Address: a})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Config reads the operators' objects of the platform.
func (s *Surveyor) Config(ctx context.Context) (*store.Store, error) {
	have := store.New()
	for _, kind := range []string{spec.KindClass, spec.KindModel, spec.KindService, spec.KindCustomer} {
		b, err := s.Platform.List(ctx, kind)
		if err != nil {
			return nil, err
		}
		have.AcceptList(kind, b)
	}
	return have, nil
}

// Report asks everyone. The platform may be away: the error is then returned
// with what the given entries say.
func (s *Surveyor) Report(ctx context.Context) (Report, error) {
	roster, rosterErr := s.Roster(ctx)
	config, err := s.Config(ctx)
	if err == nil {
		err = rosterErr
	}
	var r Report
	r.Entries = s.EntryAddresses(roster)
	answers := make([]report.Entry, len(r.Entries))
	each(len(r.Entries), func(i int) {
		var err error
		if answers[i], err = s.Admin.Entry(ctx, r.Entries[i].Address); err != nil {
			r.Entries[i].Error, r.Entries[i].State = err.Error(), StateSilent
		}
	})
	r.InForce, r.Away = err == nil && len(r.Entries) > 0, err != nil
	want := wanted(config, answers)
	r.Config = want.version
	for i := range r.Entries {
		r.Entries[i].take(answers[i], want.digest)
		if r.Entries[i].Lags || r.Entries[i].State == StateSilent {
			r.InForce = false
		}
	}
	r.Pools = s.pools(ctx, answers, roster)
	for i := range r.Pools {
		if m, ok := modelOf(config, r.Pools[i].Name); ok {
			r.Pools[i].Wanted = m.Version
		}
	}
	return r, err
}

func modelOf(config *store.Store, name string) (spec.Model, bool) {
	if config == nil {
		return spec.Model{}, false
	}
	return config.Model(name)
}

// sight is a configuration by its newest version and its digest.
type sight struct {
	version int64
	digest  uint64
}

// wanted returns what every entry should have in force.
func wanted(config *store.Store, answers []report.Entry) sight {
	if config != nil {
		return sight{config.Version(), config.Digest()}
	}
	var newest sight
	for _, a := range answers {
		if a.ConfigVersion > newest.version {
			newest = sight{a.ConfigVersion, a.ConfigDigest}
		}
	}
	return newest
}

func (e *Entry) take(a report.Entry, digest uint64) {
	if e.State == StateSilent {
		return
	}
	e.Name, e.Zone, e.Config, e.Running = a.Name, a.Zone, a.ConfigVersion, a.Running
	e.Away, e.AgeMS, e.Rejected = a.PlatformUnavailable, a.PlatformAnswerAgeMS, a.Rejected
	e.Lags = a.ConfigDigest != digest
	e.State = StateNotReady
	if a.Leaving {
		e.State = StateLeaving
	} else if a.Ready {
		e.State = StateReady
	}
}

// each calls f for 0 to n-1, some at once, and returns when all have ended.
func each(n int, f func(int)) {
	var wg sync.WaitGroup
	room := make(chan struct{}, atOnce)
	for i := range n {
		room <- struct{}{}
		wg.Go(func() {
			f(i)
			<-room
		})
	}
	wg.Wait()
}
