package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["1"] = playLateCopies }

// Doses of case 1.
const (
	// rejectShare is the share of requests that workers turn away, the usual dose of srv_grey. They
	// do so with and without the trouble.
	rejectShare = 0.4
	// repeatShare is the share of one worker's answers that are followed by a second copy: the dose
	// of garble with "extra late" in the site file.
	repeatShare = 0.03
	// case1Time is how long clients send. One of the two workers crashes for good crashAfter their
	// start, and its entry expires after three heartbeat intervals.
	case1Time    = 80 * time.Second
	crashAfter   = 4 * time.Second
	entryExpires = 3600 * time.Millisecond
)

// playLateCopies sends requests that may run at most once to two workers that turn some away as
// not run, and of which one crashes. A few answers are followed by a second copy, which arrives
// where the next answer on the connection is expected.
func playLateCopies(g *rig) (verdict, error) {
	s, err := newStore()
	if err != nil {
		return verdict{}, err
	}
	s.put("config", "main", siteConfig(7))
	var workers []*worker
	for i := range 2 {
		w, err := newWorker(g, fmt.Sprintf("i-7f3a91c%d", i), 6, 24)
		if err != nil {
			return verdict{}, err
		}
		w.work = plainWork(func() time.Duration { return time.Duration(15+rand.IntN(30)) * time.Millisecond })
		w.reject = func() bool { return rand.Float64() < rejectShare }
		if i == 0 {
			w.repeat = func() bool { return g.trouble && rand.Float64() < repeatShare }
		}
		w.bareRejections = os.Getenv("BARE") == "1"
		workers = append(workers, w)
		s.put("servers", w.id, w.listing(appService, fmt.Sprintf("hall-%c", 'a'+i)))
	}
	entries, err := newEntries(g, s.url, 2)
	if err != nil {
		return verdict{}, err
	}
	if err := startAll(entries); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	var (
		mu       sync.Mutex
		statuses = make(map[string]int)
		all      sync.WaitGroup
	)
	end := time.Now().Add(case1Time)
	time.AfterFunc(crashAfter, workers[1].crash)
	time.AfterFunc(crashAfter+entryExpires, func() { s.remove("servers", workers[1].id) })
	for i := range 24 {
		all.Go(func() {
			c := &client{rig: g, addr: entries[i%len(entries)].front}
			defer c.disconnect()
			for time.Now().Before(end) {
				id := newID()
				got := c.do(http.MethodPost, "/swap/2f", id, 1500*time.Millisecond, []byte("one swap"))
				mu.Lock()
				statuses[id] = got.status
				mu.Unlock()
				time.Sleep(time.Duration(150+rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	all.Wait()
	// What was sent once more may still run.
	time.Sleep(2 * time.Second)
	return judgeOnce(g, workers, statuses), nil
}

// judgeOnce checks the rules TWICE and REFUSED for requests that may run at most once.
func judgeOnce(g *rig, workers []*worker, statuses map[string]int) verdict {
	twice, refused, ran := 0, 0, 0
	for id, status := range statuses {
		n := 0
		for _, w := range workers {
			n += w.runCount(id)
		}
		if n > 0 {
			ran++
		}
		if n > 1 {
			twice++
			g.recordf("TWICE %s ran %d times, answered %d", id, n, status)
		}
		switch status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if n > 0 {
				refused++
				g.recordf("REFUSED %s answered %d and ran %d times", id, status, n)
			}
		}
	}
	repeated, rejected := 0, 0
	for _, w := range workers {
		repeated, rejected = repeated+w.repeated, rejected+w.rejected
	}
	return verdict{twice+refused > 0, fmt.Sprintf("%d requests, %d ran, %d ran more than once (TWICE), %d were refused and ran (REFUSED); workers turned %d away and sent %d second copies",
		len(statuses), ran, twice, refused, rejected, repeated)}
}
