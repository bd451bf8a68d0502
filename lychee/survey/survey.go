// Package survey collects the state of a fleet: which configuration is in force
// at each entry, and how loaded each pool is.
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

// maxConcurrentCalls bounds the concurrent calls to entries or agents.
const maxConcurrentCalls = 32

// Report is the state of a fleet.
type Report struct {
	// PlatformAway is set when the platform doesn't answer. The entries are then
	// compared with the entry that has the newest configuration.
	PlatformAway bool `json:"platform_away"`
	// ConfigVersion is the newest configuration version at the platform, or among
	// the entries while the platform is away.
	ConfigVersion int64 `json:"config_version"`
	// InForceEverywhere is set when every entry has exactly the platform's
	// configuration in force. It is false while the platform is away, when an
	// entry doesn't answer and when there is no entry.
	InForceEverywhere bool    `json:"in_force_everywhere"`
	Entries           []Entry `json:"entries"`
	Pools             []Pool  `json:"pools"`
}

// Entry is one entry of a Report.
type Entry struct {
	Name            string `json:"name"`
	Zone            string `json:"zone"`
	Address         string `json:"address"`
	ConfigVersion   int64  `json:"config_version"`
	RunningRequests int    `json:"running"`
	// State is ready, not-ready, leaving or silent.
	State string `json:"state"`
	// IsOutdated is set when the entry's configuration differs from the
	// platform's.
	IsOutdated bool `json:"lags"`
	// PlatformAway is set while the platform doesn't answer the entry.
	// PlatformAnswerAgeMS is the age of its last answer in milliseconds.
	PlatformAway        bool  `json:"platform_away"`
	PlatformAnswerAgeMS int64 `json:"platform_answer_age_ms"`
	// Rejections are the versions of objects that the entry refused.
	Rejections []store.Rejection `json:"rejected,omitempty"`
	// Error says why the entry did not answer.
	Error string `json:"error,omitempty"`
}

// The states of an Entry.
const (
	StateReady    = "ready"
	StateNotReady = "not-ready"
	StateLeaving  = "leaving"
	// StateSilent: the entry did not answer.
	StateSilent = "silent"
)

// Pool is one pool of a Report.
type Pool struct {
	Name string `json:"name"`
	// WantedVersion is the version that the operator wants the model's endpoints
	// to serve. It is empty if there is none.
	WantedVersion string `json:"wanted_version,omitempty"`
	// ShedLevel is the highest tier number that every entry still admits: the
	// entries admit tiers 0 to ShedLevel.
	ShedLevel int `json:"shed_level"`
	// InFlight, InFlightBound and QueuedRequests are sums over the endpoints.
	InFlight       int `json:"in_flight"`
	InFlightBound  int `json:"bound"`
	QueuedRequests int `json:"queued"`
	// WaitingAtEntries counts the requests in the entries' own queues.
	WaitingAtEntries int        `json:"waiting_at_entries"`
	Endpoints        []Endpoint `json:"endpoints"`
}

// Endpoint is one endpoint of a Pool, as its agent or else the entries report it.
type Endpoint struct {
	Name           string `json:"name"`
	Zone           string `json:"zone"`
	Version        string `json:"version,omitempty"`
	InFlight       int    `json:"in_flight"`
	InFlightBound  int    `json:"bound"`
	QueuedRequests int    `json:"queued"`
	// IsLinked is set when at least one entry has a link to the agent.
	IsLinked  bool `json:"linked"`
	IsLeaving bool `json:"leaving"`
	IsSlow    bool `json:"slow"`
	IsDown    bool `json:"down"`
}

// Collector collects the state of a fleet from the platform, the entries and the
// agents.
type Collector struct {
	Platform *plat.Client
	Admin    *admin.Client
	// ExtraEntries are admin addresses of entries, in addition to those of the
	// instance list.
	ExtraEntries []string
}

// FetchRoster reads the instance list from the platform.
func (c *Collector) FetchRoster(ctx context.Context) (plat.Roster, error) {
	return c.Platform.Instances(ctx, 0, 0)
}

// ListEntries returns the name and admin address of every entry, sorted by name.
// An entry known only from ExtraEntries has its address as its name.
func (c *Collector) ListEntries(roster plat.Roster) []Entry {
	var entries []Entry
	for _, instance := range roster.Instances {
		if instance.Role == plat.RoleEntry && instance.AdminAddr != "" {
			entries = append(entries, Entry{Name: instance.Name, Zone: instance.Zone, Address: instance.AdminAddr})
		}
	}
	for _, address := range c.ExtraEntries {
		if !slices.ContainsFunc(entries, func(e Entry) bool { return e.Address == address }) {
			entries = append(entries, Entry{Name: address, Address: address})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return entries
}

// FetchConfig reads the operators' objects from the platform: classes, models,
// services and customers.
func (c *Collector) FetchConfig(ctx context.Context) (*store.Store, error) {
	config := store.New()
	for _, kind := range []string{spec.KindClass, spec.KindModel, spec.KindService, spec.KindCustomer} {
		list, err := c.Platform.List(ctx, kind)
		if err != nil {
			return nil, err
		}
		config.AcceptList(kind, list)
	}
	return config, nil
}

// BuildReport collects the state of the fleet. While the platform is away, it
// returns the platform's error together with a report on ExtraEntries.
func (c *Collector) BuildReport(ctx context.Context) (Report, error) {
	roster, rosterErr := c.FetchRoster(ctx)
	config, err := c.FetchConfig(ctx)
	if err == nil {
		err = rosterErr
	}
	var r Report
	r.Entries = c.ListEntries(roster)
	statuses := make([]report.Entry, len(r.Entries))
	runConcurrently(len(r.Entries), func(i int) {
		var err error
		if statuses[i], err = c.Admin.EntryStatus(ctx, r.Entries[i].Address); err != nil {
			r.Entries[i].Error, r.Entries[i].State = err.Error(), StateSilent
		}
	})
	r.InForceEverywhere, r.PlatformAway = err == nil && len(r.Entries) > 0, err != nil
	expected := expectedConfig(config, statuses)
	r.ConfigVersion = expected.version
	for i := range r.Entries {
		r.Entries[i].fillFrom(statuses[i], expected.digest)
		if r.Entries[i].IsOutdated || r.Entries[i].State == StateSilent {
			r.InForceEverywhere = false
		}
	}
	r.Pools = c.collectPools(ctx, statuses, roster)
	for i := range r.Pools {
		if m, ok := findModel(config, r.Pools[i].Name); ok {
			r.Pools[i].WantedVersion = m.Version
		}
	}
	return r, err
}

// findModel returns the model with a name, and false if there is none or config is
// nil.
func findModel(config *store.Store, name string) (spec.Model, bool) {
	if config == nil {
		return spec.Model{}, false
	}
	return config.Model(name)
}

// configState identifies a configuration by its newest version and its digest.
type configState struct {
	version int64
	digest  uint64
}

// expectedConfig returns the configuration that every entry should have in force:
// the platform's, or the newest among the entries if config is nil.
func expectedConfig(config *store.Store, statuses []report.Entry) configState {
	if config != nil {
		return configState{config.Version(), config.Digest()}
	}
	var newest configState
	for _, status := range statuses {
		if status.ConfigVersion > newest.version {
			newest = configState{status.ConfigVersion, status.ConfigDigest}
		}
	}
	return newest
}

// fillFrom copies an entry's status into e, unless the entry is silent, and compares
// its configuration with the expected one.
func (e *Entry) fillFrom(status report.Entry, expectedDigest uint64) {
	if e.State == StateSilent {
		return
	}
	e.Name, e.Zone, e.ConfigVersion, e.RunningRequests = status.Name, status.Zone, status.ConfigVersion, status.RunningRequests
	e.PlatformAway, e.PlatformAnswerAgeMS, e.Rejections = status.PlatformUnavailable, status.PlatformAnswerAgeMS, status.Rejected
	e.IsOutdated = status.ConfigDigest != expectedDigest
	e.State = StateNotReady
	if status.Leaving {
		e.State = StateLeaving
	} else if status.Ready {
		e.State = StateReady
	}
}

// runConcurrently calls f for 0 to n-1, at most maxConcurrentCalls at a time, and
// returns when all calls have returned.
func runConcurrently(n int, f func(int)) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for i := range n {
		semaphore <- struct{}{}
		wg.Go(func() {
			f(i)
			<-semaphore
		})
	}
	wg.Wait()
}
