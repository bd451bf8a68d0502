// Package basel is the baseline that lycheepond is measured against: a
// dispatcher that pushes each request to an engine as it arrives, in turn or by
// the engines' lagging load reports. It knows no tiers and refuses nothing.
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

	"lycheepond/trial/engin"
)

// The policies.
const (
	RoundRobin = "roundrobin"
	LeastLoad  = "leastload"
)

// Config describes a dispatcher.
type Config struct {
	Policy string
	// Engines are the addresses to push to.
	Engines []string
}

// pollEvery is how often the load reports are read.
const pollEvery = 100 * time.Millisecond

// Dispatcher is the baseline.
type Dispatcher struct {
	cfg    Config
	client *http.Client
	turn   atomic.Uint64
	ids    atomic.Uint64
	start  int64

	mu sync.Mutex
	// loads are the newest reports, in the order of cfg.Engines.
	loads []int
}

// New returns a dispatcher.
func New(cfg Config) (*Dispatcher, error) {
	if cfg.Policy != RoundRobin && cfg.Policy != LeastLoad {
		return nil, fmt.Errorf("basel: unknown policy %q: use %s or %s", cfg.Policy, RoundRobin, LeastLoad)
	}
	if len(cfg.Engines) == 0 {
		return nil, errors.New("basel: no engine: name at least one")
	}
	t := &http.Transport{MaxIdleConns: maxConns, MaxIdleConnsPerHost: maxConns, DisableCompression: true}
	return &Dispatcher{
		cfg: cfg, client: &http.Client{Transport: t}, loads: make([]int, len(cfg.Engines)),
		start: time.Now().UnixNano(),
	}, nil
}

const maxConns = 4096

// Run reads the load reports until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	if d.cfg.Policy != LeastLoad {
		<-ctx.Done()
		return nil
	}
	var wait sync.WaitGroup
	for i := range d.cfg.Engines {
		wait.Go(func() { d.poll(ctx, i) })
	}
	wait.Wait()
	return nil
}

func (d *Dispatcher) poll(ctx context.Context, i int) {
	t := time.NewTicker(pollEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if l, err := d.load(ctx, d.cfg.Engines[i]); err == nil {
			d.mu.Lock()
			d.loads[i] = l.Running + l.Waiting
			d.mu.Unlock()
		}
	}
}

func (d *Dispatcher) load(ctx context.Context, addr string) (l engin.LoadReport, err error) {
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

// pick chooses an engine: in turn, or the one with the least reported load,
// the first in turn among equals.
func (d *Dispatcher) pick() string {
	n := len(d.cfg.Engines)
	best := int(d.turn.Add(1) % uint64(n))
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

// ServeHTTP pushes a request and copies the answer.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/readyz" {
		return
	}
	id := strconv.FormatInt(d.start, 36) + "-" + strconv.FormatUint(d.ids.Add(1), 36)
	addr := d.pick()
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
		d.cancel(r.Context(), addr, id)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	if !copyFlushing(w, resp.Body) {
		d.cancel(r.Context(), addr, id)
		panic(http.ErrAbortHandler)
	}
}

// cancel stops a request whose caller hung up, as a careful dispatcher does.
func (d *Dispatcher) cancel(ctx context.Context, addr, id string) {
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

const copySize = 16 << 10

func copyFlushing(w http.ResponseWriter, body io.Reader) bool {
	flush, buf := http.NewResponseController(w), make([]byte, copySize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return false
			}
			if flush.Flush() != nil {
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
