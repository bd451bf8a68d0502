package simeng

import (
	"context"
	"net/http"
	"sync"
	"time"

	"lycheepond/trial/serve"
)

// Engine is the simulated engine. The goroutine of Run owns kv and batch. The
// exported methods may be called from any goroutine.
type Engine struct {
	cfg   Config
	start time.Time
	kv    *kvMemory
	batch batch
	// wakeup wakes Run if something arrives while it is idle.
	wakeup chan struct{}
	// orderQueue holds the accepted orders, which are applied one at a time.
	orderQueue chan Order

	mu sync.Mutex
	// arrivals and cancelIDs hold new requests and the IDs of requests to cancel.
	// Run processes them between two steps.
	arrivals  []*sequence
	cancelIDs []string
	// requests holds, by request ID, the requests whose answer can still be
	// read. Of several requests with the same ID it holds the last.
	requests map[string]*sequence
	records  []*Record
	stats    Stats
	fault    Fault
	serving  servingState
	// batchState is the state of the batch before the current step, for load
	// reports.
	batchState batchState
	// loadReports holds the load reports that are not older than needed for
	// LoadLag, oldest first. loadTimes holds the time of each.
	loadReports []LoadReport
	loadTimes   []time.Time
	events      eventLog
	// flushCache makes Run clear the prefix cache.
	flushCache bool
}

// servingState is what the engine serves, according to the orders applied so
// far.
type servingState struct {
	model, version, adapter, role string
	// fence is the highest fencing number of all accepted orders.
	fence int64
}

// batchState is the state of the batch in a load report. kvUsed is in blocks.
type batchState struct{ running, waiting, kvUsed int }

// RoleBoth is the role of an engine that does both prefill and decode.
const RoleBoth = "both"

// maxQueuedOrders is the maximum number of orders that wait while another one is
// applied.
const maxQueuedOrders = 64

// New returns an engine. It processes no requests until Run is called.
func New(cfg Config) *Engine {
	if cfg.Speed <= 0 {
		cfg.Speed = 1
	}
	e := &Engine{
		cfg: cfg, start: time.Now(), wakeup: make(chan struct{}, 1), orderQueue: make(chan Order, maxQueuedOrders),
		requests: make(map[string]*sequence),
		serving:  servingState{model: cfg.Model, version: cfg.Version, role: RoleBoth},
		events:   newEventLog(cfg.EventLag, cfg.EventLoss),
	}
	e.kv = newKVMemory(cfg.KVBlocks, e.logEvent)
	e.batch = newBatch(cfg, e.kv)
	return e
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", e.handleCompletion)
	m.HandleFunc("POST /v1/chat/completions", e.handleChat)
	m.HandleFunc("GET /load", e.handleLoad)
	m.HandleFunc("GET /cache/events", e.handleCacheEvents)
	m.HandleFunc("POST /v1/requests/{id}/cancel", e.handleCancel)
	m.HandleFunc("GET /v1/requests/{id}/stream", e.handleResume)
	m.HandleFunc("POST /orders", e.handleOrder)
	m.HandleFunc("GET /record", e.handleRecords)
	m.HandleFunc("GET /stats", e.handleStats)
	m.HandleFunc("POST /admin/fault", serve.SetHandler(e.SetFault))
	return m
}

// Run processes requests and orders until ctx ends. It returns nil.
func (e *Engine) Run(ctx context.Context) error {
	ended := make(chan struct{}, 2)
	go func() { e.sampleLoad(ctx); ended <- struct{}{} }()
	go func() { e.applyOrders(ctx); ended <- struct{}{} }()
	e.schedule(ctx)
	<-ended
	<-ended
	return nil
}

// SetFault replaces the injected faults.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	e.fault = f
	e.mu.Unlock()
	e.wake()
}

// Records returns a copy of the records of requests and orders, in order of
// arrival.
func (e *Engine) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Record, 0, len(e.records))
	for _, r := range e.records {
		out = append(out, *r)
	}
	return out
}

// Stats returns the current totals.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Cancel cancels the request with the given ID. It returns false if there is no
// such request or if it has ended. The request may still end before the
// cancellation takes effect.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	s := e.requests[id]
	if s == nil || s.progress.state().done {
		e.mu.Unlock()
		return false
	}
	e.cancelIDs = append(e.cancelIDs, id)
	e.mu.Unlock()
	e.wake()
	return true
}

// wake wakes Run if it is idle.
func (e *Engine) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// submit passes a request to the scheduler and adds its record.
func (e *Engine) submit(s *sequence) {
	e.mu.Lock()
	e.arrivals = append(e.arrivals, s)
	e.requests[s.rec.ID] = s
	e.records = append(e.records, s.rec)
	e.stats.Requests++
	e.stats.PromptTokens += int64(s.promptTokens)
	e.mu.Unlock()
	e.wake()
}
