package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// The figures of vlk-merkrouter: bounds, machines, engines and the class opposition-brief. The
// tenant has the least limit of the sheet (floor_per_s) and a usual use of 1/1.8 of it (quota_x).
const (
	quotaRate   = 36_000.0
	quotaBurst  = 36_000.0
	quotaOver   = 0.1
	quotaSlack  = 140_000.0
	quotaWindow = 8 * time.Second
	// hotTimes and hotTime are the dose of the disruption hot_tenant (x, for_s).
	hotTimes = 11.7
	hotTime  = 5500 * time.Millisecond
)

// quotaCase says what the tenant sends and what happens meanwhile.
type quotaCase struct {
	// prompt and output are the tokens of each request.
	prompt, output int
	// usualInterval is the time between two requests of the tenant's usual use.
	usualInterval time.Duration
	// disrupt is the time with the disruption. send sends a request to a node without waiting for
	// its answer.
	disrupt func(rec *record, f *fleet, send func(i int)) error
}

// longPrompts is a tenant that sends long prompts at many times its usual rate, several at once.
var longPrompts = quotaCase{
	prompt: 51_200, output: 800, usualInterval: 2600 * time.Millisecond,
	disrupt: func(rec *record, _ *fleet, send func(i int)) error {
		const clients, waves = 12, 2
		rec.say("the tenant sends at most %v times its usual for %v: %d requests at once, %d times", hotTimes, hotTime, clients, waves)
		for range waves {
			for i := range clients {
				send(i)
			}
			time.Sleep(hotTime / waves)
		}
		return nil
	},
}

// killedProcesses is a tenant that sends at many times its usual rate while processes of the system
// are killed one after the other.
var killedProcesses = quotaCase{
	prompt: 11_400, output: 600, usualInterval: 600 * time.Millisecond,
	disrupt: func(rec *record, f *fleet, send func(i int)) error {
		// sendInterval is the usual interval divided by hotTimes.
		const sendInterval, killInterval = 51 * time.Millisecond, 500 * time.Millisecond
		rec.say("the tenant sends %v times its usual for 2 x %v; one process is killed every %v for %v", hotTimes, hotTime, killInterval, killTime)
		ctx, cancel := context.WithTimeout(context.Background(), 2*hotTime)
		defer cancel()
		go func() {
			for i := 0; ctx.Err() == nil; i++ {
				send(rand.IntN(len(f.nodes)))
				time.Sleep(sendInterval)
			}
		}()
		time.Sleep(time.Second)
		return killInTurn(rec, f, killInterval)
	},
}

// sheetBounds are the bounds of the sheet as the settings state them.
func sheetBounds() map[string]any {
	return map[string]any{
		"config_ms": 2000, "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 58, "quota_over": quotaOver, "quota_slack": int(quotaSlack),
	}
}

func sheetLimits() map[string]any {
	return map[string]any{"memory_mb": 134, "cpu_share": 0.304, "cores": 1, "link_mbps": 1000}
}

// sheetZones holds the zone of each edge machine of the sheet.
var sheetZones = []string{"hall-den-haag", "hall-rijswijk", "hall-rijswijk", "hall-delft", "hall-zoetermeer"}

// use is a request of the tenant that has arrived at a worker and runs.
type use struct {
	sentAt, arrivedAt time.Time
	tokens            float64
}

// run has a tenant send and checks QUOTA: the tokens of requests that are both sent and arrive at a
// worker in a window.
func (q quotaCase) run(rec *record, trouble bool) (bool, error) {
	st, err := newStore()
	if err != nil {
		return false, err
	}
	defer st.close()
	var mu sync.Mutex
	sent, uses := make(map[string]time.Time), []use{}
	for i := range 9 {
		w, err := startWorker(fmt.Sprintf("i-%08x", 0x7f3a0000+i), "lp-drafting", sheetZones[i%len(sheetZones)], 12)
		if err != nil {
			return false, err
		}
		defer w.close()
		w.serve = serveBrief
		w.onArrival = func(w *worker, r *http.Request) {
			now, id := time.Now(), r.Header.Get("Attempt-Id")
			prompt, output := tokenCounts(r.Header)
			rec.add("run %s at %s tenant %s tokens %d", id, w.id, r.Header.Get("Tenant"), prompt+output)
			mu.Lock()
			defer mu.Unlock()
			uses = append(uses, use{sent[id], now, float64(prompt + output)})
		}
		st.put("servers", w.id, w.spec())
		go w.run()
	}
	st.put("config", "main", quotaConfig())
	f, err := newFleet(st, sheetZones, sheetBounds(), sheetLimits())
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startAll(10 * time.Second); err != nil {
		return false, err
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(10 * time.Second)
	onSend := func(a *attempt, _ *call) {
		mu.Lock()
		defer mu.Unlock()
		sent[a.id] = a.sentAt
	}
	var clients sync.WaitGroup
	send := func(i int) {
		clients.Go(func() { newClient(rec, onSend).do(q.newRequest(i), f.nodes, i%len(f.nodes)) })
	}
	usual := func(d time.Duration) {
		for i := range int(d / q.usualInterval) {
			send(i)
			time.Sleep(q.usualInterval)
		}
	}
	usual(10 * time.Second)
	if !trouble {
		usual(2 * hotTime)
	} else if err := q.disrupt(rec, f, send); err != nil {
		return false, err
	}
	usual(8 * time.Second)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	most, from := mostInWindow(uses)
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	rec.say("%d requests ran; most tokens in a window of %v: %.0f, from second %.3f; allowed: %.0f", len(uses), quotaWindow, most, from.Sub(rec.start).Seconds(), bound)
	return most > bound, nil
}

// mostInWindow returns the most tokens of requests that are both sent and arrive in one window, and
// when that begins.
func mostInWindow(uses []use) (most float64, from time.Time) {
	for _, first := range uses {
		begin, end, sum := first.sentAt, first.sentAt.Add(quotaWindow), 0.0
		for _, u := range uses {
			if !u.sentAt.Before(begin) && u.arrivedAt.Before(end) {
				sum += u.tokens
			}
		}
		if sum > most {
			most, from = sum, begin
		}
	}
	return most, from
}

// newRequest returns a request of the tenant. No two have a body in common.
func (q quotaCase) newRequest(i int) *call {
	return &call{
		method: "POST", host: "ficu95.example", path: "/lohu930/2f", key: "i9n73hh2b9wu3fexd9dn", deadline: 15 * time.Second, retries: 1, idempotent: true,
		header: map[string]string{
			"Model": "m", "Token-Count": fmt.Sprintf("%d,%d", q.prompt, q.output), "Prompt-Prefix": fmt.Sprintf("5c1e07a2:60,%08x:%d", i+1, q.prompt-60),
		},
		body: []byte(fmt.Sprintf("brief %d at %d", i, time.Now().UnixNano())),
	}
}

// serveBrief reads the prompt at 112 tokens a ms and streams events of five tokens, a tenth of the
// output that the request allows.
func serveBrief(ctx context.Context, w *worker, c net.Conn, r *http.Request) {
	prompt, output := tokenCounts(r.Header)
	pause := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-ctx.Done():
			return false
		}
	}
	if !pause(time.Duration(prompt/112) * time.Millisecond) {
		return
	}
	fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", w.answerHead(http.StatusOK, r))
	for i := range output / 5 / 10 {
		e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		if !pause(17 * time.Millisecond) {
			return
		}
	}
	fmt.Fprint(c, "0\r\n\r\n")
}

// quotaConfig returns the operator's configuration.
func quotaConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-26tta82", "host": "ficu95.example", "path_prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 15000, "latency_target_ms": 800,
			"priority": 0, "service": "lp-drafting", "attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 400,
		}},
		"services": []any{map[string]any{
			"name": "lp-drafting", "health_path": "/healthz", "max_conns": 630, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 12, "kv_tokens": 554688, "kv_token_bytes": 18432, "stride": 5},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "api_keys": []string{"i9n73hh2b9wu3fexd9dn"}, "priority": 1, "unit": "token_count", "plain_tokens": 200, "rate_per_s": quotaRate, "burst": quotaBurst,
		}},
	}
}
