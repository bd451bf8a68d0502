// Package basel provides the baseline that lycheepond is compared with: a
// dispatcher that sends each request to an engine as soon as it arrives. It picks
// the engine in round-robin order or by the engines' load reports, which lag
// behind their load. It has no tiers and refuses no request.
package basel

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lycheepond/trial/simeng"
)

// The policies for picking an engine.
const (
	RoundRobin = "roundrobin"
	LeastLoad  = "leastload"
)

// Config describes a dispatcher.
type Config struct {
	// Policy is RoundRobin or LeastLoad.
	Policy string
	// Engines are the addresses of the engines, as host:port.
	Engines []string
}

// pollInterval is the time between two reads of an engine's load report.
const pollInterval = 100 * time.Millisecond

// Dispatcher is an HTTP handler that forwards requests to engines. It is safe for
// concurrent use.
type Dispatcher struct {
	cfg    Config
	client *http.Client
	// pickCount is the number of picks and idCount the number of request IDs so far.
	pickCount atomic.Uint64
	idCount   atomic.Uint64
	// startNanos is the Unix time of the start in nanoseconds. It is part of the
	// request IDs, so that those of different dispatchers differ.
	startNanos int64

	mu sync.Mutex
	// loads holds the number of running and waiting requests of each engine in its
	// latest report, in the order of cfg.Engines.
	loads []int
}

// New returns a dispatcher. It fails if the policy is unknown or there is no engine.
func New(cfg Config) (*Dispatcher, error) {
	if cfg.Policy != RoundRobin && cfg.Policy != LeastLoad {
		return nil, fmt.Errorf("basel: unknown policy %q: use %s or %s", cfg.Policy, RoundRobin, LeastLoad)
	}
	if len(cfg.Engines) == 0 {
		return nil, errors.New("basel: no engine: name at least one")
	}
	t := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	return &Dispatcher{
		cfg: cfg, client: &http.Client{Transport: t}, loads: make([]int, len(cfg.Engines)),
		startNanos: time.Now().UnixNano(),
	}, nil
}

// maxIdleConns bounds the idle connections, in total and to each engine.
const maxIdleConns = 4096

// Run reads the load reports until ctx ends, if the policy needs them.
func (d *Dispatcher) Run(ctx context.Context) error {
	if d.cfg.Policy != LeastLoad {
		<-ctx.Done()
		return nil
	}
	var wait sync.WaitGroup
	for i := range d.cfg.Engines {
		wait.Go(func() { d.pollLoad(ctx, i) })
	}
	wait.Wait()
	return nil
}

// pollLoad reads the load reports of engine i until ctx ends. A failed read leaves
// the last load in place.
func (d *Dispatcher) pollLoad(ctx context.Context, i int) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if l, err := d.readLoad(ctx, d.cfg.Engines[i]); err == nil {
			d.mu.Lock()
			d.loads[i] = l.Running + l.Waiting
			d.mu.Unlock()
		}
	}
}

// readLoad reads the load report of the engine at addr.
func (d *Dispatcher) readLoad(ctx context.Context, addr string) (l simeng.LoadReport, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/load", nil)
	if err != nil {
		return l, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

// pickEngine returns the address of the next engine in round-robin order or, for
// LeastLoad, of the engine with the least reported load. Among equal loads the next
// one in round-robin order wins.
func (d *Dispatcher) pickEngine() string {
	n := len(d.cfg.Engines)
	best := int(d.pickCount.Add(1) % uint64(n))
	if d.cfg.Policy == RoundRobin {
		return d.cfg.Engines[best]
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	first := best
	for i := range n {
		if k := (first + i) % n; d.loads[k] < d.loads[best] {
			best = k
		}
	}
	return d.cfg.Engines[best]
}

// ServeHTTP forwards a request to an engine and copies the answer. It answers
// /readyz itself.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/readyz" {
		return
	}
	id := strconv.FormatInt(d.startNanos, 36) + "-" + strconv.FormatUint(d.idCount.Add(1), 36)
	addr := d.pickEngine()
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+addr+r.URL.Path, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req.ContentLength = r.ContentLength
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", id)
	resp, err := d.client.Do(req)
	if err != nil {
		d.cancelRequest(r.Context(), addr, id)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	if !copyFlushing(w, resp.Body) {
		d.cancelRequest(r.Context(), addr, id)
		panic(http.ErrAbortHandler)
	}
}

// cancelRequest cancels a request at its engine after its caller hung up or its
// answer broke off, so that it doesn't go on using the engine.
func (d *Dispatcher) cancelRequest(ctx context.Context, addr, id string) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/requests/"+id+"/cancel", nil)
	if err != nil {
		return
	}
	if resp, err := d.client.Do(req); err == nil {
		resp.Body.Close()
	}
}

// copyBufferBytes is the size of the buffer for copying an answer.
const copyBufferBytes = 16 << 10

// copyFlushing copies body to w, flushes after each read and reports whether the
// whole body was copied.
func copyFlushing(w http.ResponseWriter, body io.Reader) bool {
	controller, buf := http.NewResponseController(w), make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return false
			}
			if controller.Flush() != nil {
				return false
			}
		}
		if errors.Is(err, io.EOF) {
			return true
		}
		if err != nil {
			return false
		}
	}
}
