package simeng

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"lycheepond/trial/serve"
)

// recordLoad stores a load report of the time now and removes those that are
// too old to be shown. As in real engines, a request that arrives during a step
// is not counted as waiting before the next step. A frozen engine stores no
// reports.
func (e *Engine) recordLoad(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Freeze {
		return
	}
	l := LoadReport{
		Running: e.batchState.running, Waiting: e.batchState.waiting, KVUsed: e.batchState.kvUsed,
		KVTotal: e.cfg.KVBlocks, Model: e.serving.model, Version: e.serving.version, Role: e.serving.role,
	}
	e.loadReports, e.loadTimes = append(e.loadReports, l), append(e.loadTimes, now)
	for len(e.loadTimes) > 1 && now.Sub(e.loadTimes[1]) >= e.cfg.LoadLag {
		e.loadReports, e.loadTimes = e.loadReports[1:], e.loadTimes[1:]
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, r *http.Request) {
	if !e.waitUnfrozen(r) {
		return
	}
	e.mu.Lock()
	l := LoadReport{KVTotal: e.cfg.KVBlocks, Model: e.serving.model, Version: e.serving.version, Role: e.serving.role}
	if len(e.loadReports) > 0 {
		l = e.loadReports[0]
		l.AsOfMS = time.Since(e.loadTimes[0]).Milliseconds()
	}
	e.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, l)
}

// waitUnfrozen waits while the engine is frozen. It returns false if the
// request's context ends before.
func (e *Engine) waitUnfrozen(r *http.Request) bool {
	for e.speed() == 0 {
		if !serve.Sleep(r.Context(), frozenPollInterval) {
			return false
		}
	}
	return true
}

// CacheEvent is a change of the prefix cache.
type CacheEvent struct {
	// Seq is the number of the event. A gap in the numbers means lost events.
	Seq  int64  `json:"seq"`
	Type string `json:"type"`
	// Block is the block's hash in hexadecimal digits.
	Block string `json:"block"`
}

// cacheEventsAnswer is the answer to a request for cache events. Next is the
// number after which the next request has to continue.
type cacheEventsAnswer struct {
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}

// eventLog holds the newest cache events. It drops a fraction of them at random
// and shows the others with a delay.
type eventLog struct {
	lag time.Duration
	// lossRate is the fraction of events that are dropped.
	lossRate float64
	random   *rand.Rand
	// lastSeq is the number of the last event. Dropped events are counted too, so
	// that a reader notices a gap.
	lastSeq int64
	// events holds the events, oldest first, and times the time of each.
	events []CacheEvent
	times  []time.Time
}

// keptCacheEvents is the number of newest cache events that remain when the log
// is trimmed, which happens when it exceeds twice that number.
const keptCacheEvents = 8192

func newEventLog(lag time.Duration, lossRate float64) eventLog {
	return eventLog{lag: lag, lossRate: lossRate, random: rand.New(rand.NewPCG(1, 2))}
}

// add numbers a new event and stores it, unless it is dropped.
func (l *eventLog) add(now time.Time, kind string, hash uint64) {
	l.lastSeq++
	if l.random.Float64() < l.lossRate {
		return
	}
	l.events = append(l.events, CacheEvent{Seq: l.lastSeq, Type: kind, Block: strconv.FormatUint(hash, 16)})
	l.times = append(l.times, now)
	if len(l.events) > 2*keptCacheEvents {
		l.events = append([]CacheEvent(nil), l.events[keptCacheEvents:]...)
		l.times = append([]time.Time(nil), l.times[keptCacheEvents:]...)
	}
}

// eventsAfter returns the visible events with a number greater than after.
func (l *eventLog) eventsAfter(now time.Time, after int64) cacheEventsAnswer {
	a := cacheEventsAnswer{Next: after, Events: []CacheEvent{}}
	for i, ev := range l.events {
		if now.Sub(l.times[i]) < l.lag {
			break
		}
		if ev.Seq > after {
			a.Events = append(a.Events, ev)
			a.Next = ev.Seq
		}
	}
	return a
}

// logEvent adds a change of the prefix cache to the event log.
func (e *Engine) logEvent(kind string, hash uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events.add(time.Now(), kind, hash)
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		http.Error(w, "after is no number", http.StatusBadRequest)
		return
	}
	if !e.waitUnfrozen(r) {
		return
	}
	e.mu.Lock()
	a := e.events.eventsAfter(time.Now(), after)
	e.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, a)
}

func (e *Engine) handleRecords(w http.ResponseWriter, _ *http.Request) {
	enc := json.NewEncoder(w)
	for _, r := range e.Records() {
		if enc.Encode(r) != nil {
			return
		}
	}
}

func (e *Engine) handleStats(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, e.Stats())
}
