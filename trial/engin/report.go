package engin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"lycheepond/trial/serve"
)

// keepLoad stores a load report and forgets those that are too old to show. As
// in real engines, a request that arrives during a step is not yet waiting: the
// scheduler sees it at the next step.
func (e *Engine) keepLoad(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Freeze {
		return
	}
	l := Load{
		Running: e.shown.running, Waiting: e.shown.waiting, KVUsed: e.shown.kvUsed,
		KVTotal: e.cfg.KVBlocks, Model: e.served.model, Version: e.served.version, Role: e.served.role,
	}
	e.loads, e.loadAt = append(e.loads, l), append(e.loadAt, now)
	for len(e.loadAt) > 1 && now.Sub(e.loadAt[1]) >= e.cfg.LoadLag {
		e.loads, e.loadAt = e.loads[1:], e.loadAt[1:]
	}
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	if !e.thawed(r) {
		return
	}
	e.mu.Lock()
	l := Load{KVTotal: e.cfg.KVBlocks, Model: e.served.model, Version: e.served.version, Role: e.served.role}
	if len(e.loads) > 0 {
		l = e.loads[0]
		l.AsOfMS = time.Since(e.loadAt[0]).Milliseconds()
	}
	e.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, l)
}

// thawed waits while the engine is frozen.
func (e *Engine) thawed(r *http.Request) bool {
	for e.speed() == 0 {
		if !serve.Sleep(r.Context(), frozenLook) {
			return false
		}
	}
	return true
}

// Event is one change of the prefix cache.
type Event struct {
	Seq   int64  `json:"seq"`
	Type  string `json:"type"`
	Block string `json:"block"`
}

type cacheAnswer struct {
	Next   int64   `json:"next"`
	Events []Event `json:"events"`
}

// eventLog holds the newest cache events, some of which are lost.
type eventLog struct {
	lag  time.Duration
	loss float64
	rnd  *rand.Rand
	// seq counts lost events too, which is how a reader notices a gap.
	seq    int64
	events []Event
	at     []time.Time
}

// eventKeep is how many cache events are kept.
const eventKeep = 8192

func newEventLog(lag time.Duration, loss float64) eventLog {
	return eventLog{lag: lag, loss: loss, rnd: rand.New(rand.NewPCG(1, 2))}
}

func (l *eventLog) add(now time.Time, kind string, hash uint64) {
	l.seq++
	if l.rnd.Float64() < l.loss {
		return
	}
	l.events = append(l.events, Event{Seq: l.seq, Type: kind, Block: strconv.FormatUint(hash, 16)})
	l.at = append(l.at, now)
	if len(l.events) > 2*eventKeep {
		l.events = append([]Event(nil), l.events[eventKeep:]...)
		l.at = append([]time.Time(nil), l.at[eventKeep:]...)
	}
}

func (l *eventLog) since(now time.Time, after int64) cacheAnswer {
	a := cacheAnswer{Next: after, Events: []Event{}}
	for i, ev := range l.events {
		if now.Sub(l.at[i]) < l.lag {
			break
		}
		if ev.Seq > after {
			a.Events = append(a.Events, ev)
			a.Next = ev.Seq
		}
	}
	return a
}

func (e *Engine) logEvent(kind string, hash uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events.add(time.Now(), kind, hash)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		http.Error(w, "after is no number", http.StatusBadRequest)
		return
	}
	if !e.thawed(r) {
		return
	}
	e.mu.Lock()
	a := e.events.since(time.Now(), after)
	e.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, a)
}

func (e *Engine) record(w http.ResponseWriter, _ *http.Request) {
	enc := json.NewEncoder(w)
	for _, r := range e.Records() {
		if enc.Encode(r) != nil {
			return
		}
	}
}

func (e *Engine) showStats(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, e.Stats())
}
