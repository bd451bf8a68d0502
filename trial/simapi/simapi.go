// Package simapi simulates the platform: versioned objects with conditional
// updates and watches, an instance list, and a weight store with limited
// concurrency. Faults of the real platform can be injected.
package simapi

import (
	"net/http"
	"sync"
	"time"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
	"lycheepond/trial/serve"
)

// Config configures the simulated platform.
type Config struct {
	// Token is the bearer token that callers must send. Empty disables the check.
	Token string
	// MaxEvents is the number of events kept for watches; older ones are
	// compacted.
	MaxEvents int
	// WeightReadTime is the time that it takes to read one set of weights.
	WeightReadTime time.Duration
	// MaxWeightReads is the maximum number of concurrent reads of weights.
	MaxWeightReads int
}

// Fault is the set of faults that are injected now. The zero value means none.
type Fault struct {
	// Down answers 503 to every call.
	Down bool `json:"down"`
	// Slow is a delay before every call is handled.
	Slow spec.Duration `json:"slow"`
	// LoseReplies is the number of upcoming writes that take effect but whose
	// connection is closed without a reply.
	LoseReplies int `json:"lose_replies"`
	// Lag is the time after which a change shows up in the instance list and in
	// watches.
	Lag spec.Duration `json:"lag"`
	// Replay is the number of old events that a watch repeats after the new
	// ones, in reverse order.
	Replay int `json:"replay"`
	// StaleReads is the age of the state that reads and watches return.
	StaleReads spec.Duration `json:"stale_reads"`
}

// Defaults of a Config.
const (
	DefaultMaxEvents      = 4096
	DefaultWeightReadTime = 500 * time.Millisecond
	DefaultMaxWeightReads = 2
)

// Platform is the simulated platform. Its methods may be called from any
// goroutine.
type Platform struct {
	cfg Config
	now func() time.Time

	mu sync.Mutex
	// version grows by one with every write of an object.
	version int64
	objects objectTable
	// log holds the newest events, oldest first. base holds the objects as they
	// were before the first event of log.
	log  []loggedEvent
	base objectTable
	// compactedVersion is the version of the newest event that was removed from
	// log.
	compactedVersion int64
	// rosterHistory holds the latest versions of the instance list, oldest first.
	rosterHistory []datedRoster
	instances     map[string]plat.Instance
	fault         Fault
	// changed is closed and replaced whenever long polls must check again.
	changed chan struct{}
	stats   Stats
	// weightReads is the number of reads of weights in progress.
	weightReads int
}

// objectTable holds objects by kind and name.
type objectTable map[string]map[string]plat.Object

// loggedEvent is an event and the time of its write.
type loggedEvent struct {
	at    time.Time
	event plat.Event
}

// datedRoster is a version of the instance list and the time of its change.
type datedRoster struct {
	at     time.Time
	roster plat.Roster
}

// New returns a platform without objects or instances. Zero or negative values
// in cfg are replaced by the defaults.
func New(cfg Config) *Platform {
	if cfg.MaxEvents <= 0 {
		cfg.MaxEvents = DefaultMaxEvents
	}
	if cfg.WeightReadTime <= 0 {
		cfg.WeightReadTime = DefaultWeightReadTime
	}
	if cfg.MaxWeightReads <= 0 {
		cfg.MaxWeightReads = DefaultMaxWeightReads
	}
	return &Platform{
		cfg: cfg, now: time.Now, objects: make(objectTable), base: make(objectTable),
		instances: make(map[string]plat.Instance), changed: make(chan struct{}),
	}
}

// Handler returns the platform's HTTP API.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/objects/{kind}", p.guard(p.list))
	m.HandleFunc("GET /v1/objects/{kind}/{name}", p.guard(p.get))
	m.HandleFunc("PUT /v1/objects/{kind}/{name}", p.guard(p.put))
	m.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.guard(p.remove))
	m.HandleFunc("GET /v1/watch/{kind}", p.guard(p.watch))
	m.HandleFunc("GET /v1/instances", p.guard(p.roster))
	m.HandleFunc("GET /v1/weights/{model}/{version}", p.guard(p.weights))
	m.HandleFunc("PUT /admin/instances/{name}", p.putInstance)
	m.HandleFunc("DELETE /admin/instances/{name}", p.dropInstance)
	m.HandleFunc("POST /admin/fault", serve.SetHandler(p.SetFault))
	m.HandleFunc("GET /admin/stats", p.showStats)
	return m
}

// SetFault replaces the injected faults.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.wakePolls()
}

// wakePolls makes every long poll check again. The caller holds mu.
func (p *Platform) wakePolls() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (t objectTable) put(o plat.Object) {
	if t[o.Kind] == nil {
		t[o.Kind] = make(map[string]plat.Object)
	}
	t[o.Kind][o.Name] = o
}

func (t objectTable) apply(ev plat.Event) {
	if ev.Deleted {
		delete(t[ev.Object.Kind], ev.Object.Name)
		return
	}
	t.put(ev.Object)
}

func (t objectTable) copy() objectTable {
	out := make(objectTable, len(t))
	for _, byName := range t {
		for _, o := range byName {
			out.put(o)
		}
	}
	return out
}
