// Package platf is a stand-in for the platform: objects with versions,
// conditional updates and watches, a lagging instance list and a weight store
// with a bounded rate. It can be told to fail as the platform does.
package platf

import (
	"net/http"
	"sync"
	"time"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
	"lycheepond/trial/serve"
)

// Config sets the platform's habits.
type Config struct {
	// Token is what callers must present; empty accepts everyone.
	Token string
	// Retain is how many events a watch can go back; older ones are compacted.
	Retain int
	// WeightTime is how long one set of weights takes.
	WeightTime time.Duration
	// WeightRate is how many sets of weights may be read at once.
	WeightRate int
}

// Fault is how the platform misbehaves at present.
type Fault struct {
	// Down answers 503 to every call.
	Down bool `json:"down"`
	// Slow delays every call.
	Slow spec.Duration `json:"slow"`
	// LoseReplies is how many of the next writes take effect unanswered.
	LoseReplies int `json:"lose_replies"`
	// Lag delays the instance list and watches.
	Lag spec.Duration `json:"lag"`
	// Replay is how many old events a watch repeats behind the new ones, the
	// oldest last.
	Replay int `json:"replay"`
	// StaleReads makes reads and watches answer from that long ago.
	StaleReads spec.Duration `json:"stale_reads"`
}

// Defaults of a Config.
const (
	DefaultRetain     = 4096
	DefaultWeightTime = 500 * time.Millisecond
	DefaultWeightRate = 2
)

// Platform is the stand-in. Its methods may be called at any time.
type Platform struct {
	cfg Config
	now func() time.Time

	mu sync.Mutex
	// version grows by one with every write of an object.
	version int64
	objects table
	// log holds the newest events, oldest first; events before it are folded
	// into base.
	log  []logged
	base table
	// compacted is the version of the newest event that left the log.
	compacted int64
	rosters   []dated
	instances map[string]plat.Instance
	fault     Fault
	// changed is closed and replaced whenever a waiting call must look again.
	changed chan struct{}
	stats   Stats
	// loading counts reads of weights under way.
	loading int
}

// table is the objects by kind and name.
type table map[string]map[string]plat.Object

type logged struct {
	at    time.Time
	event plat.Event
}

type dated struct {
	at     time.Time
	roster plat.Roster
}

// New returns an empty platform.
func New(cfg Config) *Platform {
	if cfg.Retain <= 0 {
		cfg.Retain = DefaultRetain
	}
	if cfg.WeightTime <= 0 {
		cfg.WeightTime = DefaultWeightTime
	}
	if cfg.WeightRate <= 0 {
		cfg.WeightRate = DefaultWeightRate
	}
	return &Platform{
		cfg: cfg, now: time.Now, objects: make(table), base: make(table),
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
	m.HandleFunc("POST /admin/fault", serve.Take(p.SetFault))
	m.HandleFunc("GET /admin/stats", p.showStats)
	return m
}

// SetFault changes how the platform misbehaves.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.wake()
}

// wake makes waiting calls look again. The caller holds mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (t table) put(o plat.Object) {
	if t[o.Kind] == nil {
		t[o.Kind] = make(map[string]plat.Object)
	}
	t[o.Kind][o.Name] = o
}

func (t table) apply(ev plat.Event) {
	if ev.Deleted {
		delete(t[ev.Object.Kind], ev.Object.Name)
		return
	}
	t.put(ev.Object)
}

func (t table) copy() table {
	out := make(table, len(t))
	for _, byName := range t {
		for _, o := range byName {
			out.put(o)
		}
	}
	return out
}
