package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The figures of vlk-merkrouter: bounds, machines, the class fee-status and its service docket-app.
const (
	retryRatio  = 0.2
	retrySlack  = 58
	retryWindow = 10 * time.Second
	feeWork     = 60 * time.Millisecond
	feeDeadline = 3 * time.Second
	// feePerSecond is how many lookups clients begin per second.
	feePerSecond = 60
	// failShare is the dose of the disruption srv_grey with how errors all (x, share 1), and
	// failTime its length (for_s 4.0, three times without a pause).
	failShare = 0.45
	failTime  = 12 * time.Second
	// One process after the other is killed for killTime, and starts again after restartDelay.
	// feeKillInterval is the time between two kills.
	feeKillInterval = 300 * time.Millisecond
	restartDelay    = 300 * time.Millisecond
	killTime        = 10 * time.Second
)

// arrival is one arrival of a request at a worker.
type arrival struct {
	at       time.Time
	isRepeat bool
}

// runBudget has the workers of a service fail a part of their requests while processes of the system
// are killed one after the other, and checks BUDGET: the arrivals beyond the first of each request.
func runBudget(rec *record, trouble bool) (bool, error) {
	st, err := newStore()
	if err != nil {
		return false, err
	}
	defer st.close()
	var (
		mu       sync.Mutex
		seen     = make(map[string]bool)
		arrivals []arrival
		sends    []time.Time
		failing  bool
	)
	for i := range 4 {
		w, err := startWorker(fmt.Sprintf("i-%08x", 0x5a110000+i), "docket-app", sheetZones[i+i/2], 6)
		if err != nil {
			return false, err
		}
		defer w.close()
		w.onArrival = func(w *worker, r *http.Request) {
			id := r.Header.Get("Attempt-Id")
			mu.Lock()
			defer mu.Unlock()
			rec.add("run %s at %s again %v", id, w.id, seen[id])
			arrivals = append(arrivals, arrival{time.Now(), seen[id]})
			seen[id] = true
		}
		w.serve = func(ctx context.Context, w *worker, c net.Conn, r *http.Request) {
			mu.Lock()
			status := http.StatusOK
			if failing && rand.Float64() < failShare {
				status = http.StatusInternalServerError
			}
			mu.Unlock()
			select {
			case <-time.After(feeWork):
			case <-ctx.Done():
				return
			}
			body := "status of " + r.Header.Get("Attempt-Id")
			fmt.Fprintf(c, "%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", w.answerHead(status, r), len(body), body)
		}
		st.put("servers", w.id, w.spec())
		go w.run()
	}
	st.put("config", "main", feeConfig())
	f, err := newFleet(st, sheetZones, sheetBounds(), sheetLimits())
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startAll(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	onSend := func(a *attempt, _ *call) {
		mu.Lock()
		defer mu.Unlock()
		sends = append(sends, a.sentAt)
	}
	ctx, stopClients := context.WithCancel(context.Background())
	defer stopClients()
	var clients sync.WaitGroup
	clients.Go(func() {
		tick := time.NewTicker(time.Second / feePerSecond)
		defer tick.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			<-tick.C
			clients.Go(func() {
				r := &call{method: "GET", host: "ficu95.example", path: fmt.Sprintf("/puxa403/%d", i), key: "i9n73hh2b9wu3fexd9dn", deadline: feeDeadline, idempotent: true, retries: 1}
				newClient(rec, onSend).do(r, f.nodes, rand.IntN(len(f.nodes)))
			})
		}
	})
	time.Sleep(4 * time.Second)
	if trouble {
		rec.say("workers fail %v of their requests for %v; one process is killed every %v for %v", failShare, failTime, feeKillInterval, killTime)
		setFailing := func(on bool) {
			mu.Lock()
			defer mu.Unlock()
			failing = on
		}
		setFailing(true)
		time.AfterFunc(failTime, func() { setFailing(false) })
		time.Sleep(time.Second)
		if err := killInTurn(rec, f, feeKillInterval); err != nil {
			return false, err
		}
	} else {
		time.Sleep(killTime)
	}
	time.Sleep(4 * time.Second)
	stopClients()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	worst, bound, from := worstRepeats(arrivals, sends)
	if from.IsZero() {
		rec.say("%d client attempts, %d arrivals, none beyond the first of its request", len(sends), len(arrivals))
		return false, nil
	}
	rec.say("%d client attempts, %d arrivals; most arrivals beyond the first against the bound in a window of %v: %d from second %.3f; allowed: %.1f", len(sends), len(arrivals), retryWindow, worst, from.Sub(rec.start).Seconds(), bound)
	return float64(worst) > bound, nil
}

// killInTurn kills one process after the other for killTime, each of which starts again.
func killInTurn(rec *record, f *fleet, interval time.Duration) error {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	errs := make(chan error, int(killTime/interval)+1)
	for i := range int(killTime / interval) {
		n := f.nodes[i%len(f.nodes)]
		rec.add("kill %s", n.name)
		if err := n.signal(syscall.SIGKILL); err != nil {
			return err
		}
		restarts.Go(func() {
			n.kill()
			time.Sleep(restartDelay)
			errs <- n.start()
		})
		time.Sleep(interval)
	}
	restarts.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// worstRepeats returns the arrivals beyond the first of each request in the window that exceeds the
// bound most, the bound of that window, and when it begins. The requests are those that clients sent
// in that window, the one before it or the one half a window before it, whichever has most.
func worstRepeats(arrivals []arrival, sends []time.Time) (repeats int, bound float64, from time.Time) {
	count := func(begin time.Time) (n int) {
		for _, t := range sends {
			if !t.Before(begin) && t.Before(begin.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	worst := 0.0
	for _, first := range arrivals {
		if !first.isRepeat {
			continue
		}
		begin, n := first.at, 0
		for _, a := range arrivals {
			if a.isRepeat && !a.at.Before(begin) && a.at.Before(begin.Add(retryWindow)) {
				n++
			}
		}
		requests := max(count(begin), count(begin.Add(-retryWindow)), count(begin.Add(-retryWindow/2)))
		allowed := retryRatio*float64(requests) + retrySlack
		if over := float64(n) - allowed; from.IsZero() || over > worst {
			worst, repeats, bound, from = over, n, allowed, begin
		}
	}
	return repeats, bound, from
}

func feeConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-9t4fee0", "host": "ficu95.example", "path_prefix": "/puxa403/", "kind": "idempotent", "timeout_ms": 1500, "latency_target_ms": 300,
			"priority": 2, "service": "docket-app", "attempts": 2, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "docket-app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "api_keys": []string{"i9n73hh2b9wu3fexd9dn"}, "priority": 1, "unit": "token_count", "plain_tokens": 200, "rate_per_s": 191961, "burst": 191961,
		}},
	}
}
