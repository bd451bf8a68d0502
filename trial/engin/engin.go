package engin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"lycheepond/trial/serve"
)

// Engine is the stand-in. One goroutine, Run, owns the batch and the memory.
type Engine struct {
	cfg   Config
	start time.Time
	mem   *memory
	batch batch
	// poke wakes Run when something arrived while it was idle.
	poke chan struct{}
	// orders is read by the loader, one order at a time.
	orders chan Order

	mu sync.Mutex
	// inbox and cancels are taken over by Run between two steps.
	inbox   []*seq
	cancels []string
	// byID holds every request that can still be read, the latest of an ID.
	byID    map[string]*seq
	records []*Record
	stats   Stats
	fault   Fault
	served  served
	// shown is the batch as of the last step, for the load report.
	shown  shown
	loads  []Load
	loadAt []time.Time
	events eventLog
	// flush asks Run to forget the prefix cache.
	flush bool
}

// served is what the engine is told to serve.
type served struct {
	model, version, adapter, role string
	// fence is the highest fencing number obeyed.
	fence int64
}

// shown is what a load report tells of the batch.
type shown struct{ running, waiting, kvUsed int }

// RoleBoth is the role of an engine that does both prefill and decode.
const RoleBoth = "both"

// orderRoom is how many orders may wait for the one that is being loaded.
const orderRoom = 64

// New returns an engine that does nothing until Run.
func New(cfg Config) *Engine {
	if cfg.Speed <= 0 {
		cfg.Speed = 1
	}
	e := &Engine{
		cfg: cfg, start: time.Now(), poke: make(chan struct{}, 1), orders: make(chan Order, orderRoom),
		byID:   make(map[string]*seq),
		served: served{model: cfg.Model, version: cfg.Version, role: RoleBoth},
		events: newEventLog(cfg.EventLag, cfg.EventLoss),
	}
	e.mem = newMemory(cfg.KVBlocks, e.logEvent)
	e.batch = newBatch(cfg, e.mem)
	return e
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", e.complete)
	m.HandleFunc("POST /v1/chat/completions", e.chat)
	m.HandleFunc("GET /load", e.load)
	m.HandleFunc("GET /cache/events", e.cacheEvents)
	m.HandleFunc("POST /v1/requests/{id}/cancel", e.cancel)
	m.HandleFunc("GET /v1/requests/{id}/stream", e.resume)
	m.HandleFunc("POST /orders", e.order)
	m.HandleFunc("GET /record", e.record)
	m.HandleFunc("GET /stats", e.showStats)
	m.HandleFunc("POST /admin/fault", serve.SetHandler(e.SetFault))
	return m
}

// Run does the engine's work until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	ended := make(chan struct{}, 2)
	go func() { e.sample(ctx); ended <- struct{}{} }()
	go func() { e.loader(ctx); ended <- struct{}{} }()
	e.schedule(ctx)
	<-ended
	<-ended
	return nil
}

// SetFault changes how the engine misbehaves.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	e.fault = f
	e.mu.Unlock()
	e.wake()
}

// Records returns what was executed, in order of arrival.
func (e *Engine) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Record, 0, len(e.records))
	for _, r := range e.records {
		out = append(out, *r)
	}
	return out
}

// Stats returns the totals.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Cancel stops a request and reports whether there was one to stop.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	s := e.byID[id]
	if s == nil || s.sink.look().done {
		e.mu.Unlock()
		return false
	}
	e.cancels = append(e.cancels, id)
	e.mu.Unlock()
	e.wake()
	return true
}

func (e *Engine) wake() {
	select {
	case e.poke <- struct{}{}:
	default:
	}
}

// submit hands a request to the scheduler.
func (e *Engine) submit(s *seq) {
	e.mu.Lock()
	e.inbox = append(e.inbox, s)
	e.byID[s.rec.ID] = s
	e.records = append(e.records, s.rec)
	e.stats.Requests++
	e.stats.PromptTokens += int64(s.prompt)
	e.mu.Unlock()
	e.wake()
}
