package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["2"] = playEndlessHead }

// Doses of case 2.
const (
	// spoiledShare is the share of the faulty worker's answers that are no responses: the usual dose
	// of garble.
	spoiledShare = 0.02
	// spoiledBytesPerSecond is 400 Mbit/s, less than half of the entry's link.
	spoiledBytesPerSecond = 50 << 20
	// maxSpoiledBytes bounds the bytes of one spoiled answer.
	maxSpoiledBytes = 1 << 30
	// faultyWorker is the ID of the worker that spoils answers.
	faultyWorker = "i-51e0aa00"
	// case2Time is how long clients send.
	case2Time = 80 * time.Second
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 500 * time.Millisecond
)

// playEndlessHead sends streams and plain requests through two entries. One of three model workers
// answers a few requests with bytes that are no response, and the platform ends a process that
// exceeds its memory.
func playEndlessHead(g *rig) (verdict, error) {
	s, err := newStore()
	if err != nil {
		return verdict{}, err
	}
	s.put("config", "main", siteConfig(7))
	spoils := func() bool { return g.trouble && rand.Float64() < spoiledShare }
	for i := range 3 {
		w, err := newWorker(g, fmt.Sprintf("i-51e0aa0%d", i), 9, 54)
		if err != nil {
			return verdict{}, err
		}
		w.work = streamWork
		if w.id == faultyWorker {
			w.work = spoiledWork(spoils, streamWork)
		}
		s.put("servers", w.id, w.listing(llmService, fmt.Sprintf("hall-%c", 'a'+i)))
		app, err := newWorker(g, fmt.Sprintf("i-7f3a91c%d", i), 6, 24)
		if err != nil {
			return verdict{}, err
		}
		app.work = plainWork(func() time.Duration { return time.Duration(15+rand.IntN(30)) * time.Millisecond })
		s.put("servers", app.id, app.listing(appService, fmt.Sprintf("hall-%c", 'a'+i)))
	}
	entries, err := newEntries(g, s.url, 2)
	if err != nil {
		return verdict{}, err
	}
	if err := startAll(entries); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	p := &memoryPlatform{rig: g, ends: make(map[string]int), peak: make(map[string]int)}
	stop := make(chan struct{})
	var supervisors sync.WaitGroup
	for _, e := range entries {
		supervisors.Go(func() { p.supervise(e, stop) })
	}
	lost, sent := sendKept(g, entries)
	close(stop)
	supervisors.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	var perEntry []string
	for _, e := range entries {
		perEntry = append(perEntry, fmt.Sprintf("%s %d times, at most %d MB", e.name, p.ends[e.name], p.peak[e.name]))
	}
	text := fmt.Sprintf("%d requests, %d from a kept connection were passed to a sound worker and got no answer before the connection ended (LOST: at most 3); over the memory of %d MB: %s",
		sent, lost, memoryMB, strings.Join(perEntry, "; "))
	return verdict{lost > 3, text}, nil
}

// spoiledWork answers some requests with bytes that are no response, and the others by work.
func spoiledWork(spoils func() bool, work func(*worker, *workerConn, *http.Request) bool) func(*worker, *workerConn, *http.Request) bool {
	return func(w *worker, c *workerConn, r *http.Request) bool {
		if !spoils() {
			return work(w, c, r)
		}
		const parts = 100
		chunk := bytes.Repeat([]byte("x"), spoiledBytesPerSecond/parts)
		n := 0
		for ; n < maxSpoiledBytes; n += len(chunk) {
			if _, err := c.Write(chunk); err != nil {
				break
			}
			time.Sleep(time.Second / parts)
		}
		w.rig.recordf("spoiled the answer to %s at %s: %d MB", r.Header.Get("Attempt-Id"), w.id, n>>20)
		return false
	}
}

// streamWork answers with a stream of events.
func streamWork(w *worker, c *workerConn, r *http.Request) bool {
	const events = 40
	id := r.Header.Get("Attempt-Id")
	time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
	out := answerHead(http.StatusOK, id, "Response-Stamp: "+w.id+"."+id, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
	for i := 1; i <= events; i++ {
		e := fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", i, id, i, events)
		out = append(out, fmt.Sprintf("%x\r\n%s\r\n", len(e), e)...)
		if _, err := c.Write(out); err != nil {
			return false
		}
		out = out[:0]
		time.Sleep(20 * time.Millisecond)
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// sendKept sends requests over kept connections. It returns how many were lost: sent on a
// connection that had served another request, run by a sound worker, and left without any answer
// when the entry's end closed the connection.
func sendKept(g *rig, entries []*entry) (lost, sent int64) {
	var nLost, nSent atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(case2Time)
	for i := range 40 {
		isStream := i%4 != 0
		all.Go(func() {
			c := &client{rig: g, addr: entries[i%len(entries)].front}
			defer c.disconnect()
			for time.Now().Before(end) {
				isKept := c.conn != nil
				id := newID()
				var got reply
				start := time.Now()
				deadline := 12 * time.Second
				if isStream {
					got = c.do(http.MethodPost, "/explain/2f", id, deadline, []byte("explain"), "Token-Count: 628,240")
				} else {
					deadline = 1500 * time.Millisecond
					got = c.do(http.MethodPost, "/swap/2f", id, deadline, []byte("one swap"))
				}
				nSent.Add(1)
				if isKept && got.status == 0 && got.err != nil && time.Since(start) < deadline && g.ranAt(id) != "" && g.ranAt(id) != faultyWorker {
					nLost.Add(1)
					g.recordf("LOST %s on a kept connection: %v", id, got.err)
				}
				if got.status == 0 {
					time.Sleep(time.Second)
				}
				time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	all.Wait()
	return nLost.Load(), nSent.Load()
}

// memoryPlatform ends processes that exceed their memory and starts them again, as the platform does.
type memoryPlatform struct {
	rig *rig
	mu  sync.Mutex
	// ends is how often a process of an entry was ended, peak the most memory in MB that one had.
	ends, peak map[string]int
}

// supervise watches the memory of an entry until stop is closed.
func (p *memoryPlatform) supervise(e *entry, stop <-chan struct{}) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		mb := residentMB(e.pid())
		p.mu.Lock()
		p.peak[e.name] = max(p.peak[e.name], mb)
		p.mu.Unlock()
		if mb <= memoryMB {
			continue
		}
		p.rig.recordf("%s has %d MB of %d: the platform kills it", e.name, mb, memoryMB)
		e.kill()
		p.mu.Lock()
		p.ends[e.name]++
		p.mu.Unlock()
		time.Sleep(restartDelay)
		if err := e.start(); err != nil {
			p.rig.recordf("start of %s: %v", e.name, err)
			return
		}
	}
}

// residentMB returns the resident memory of a process, zero if it has ended.
func residentMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if kb, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(kb)[0])
			return n >> 10
		}
	}
	return 0
}
