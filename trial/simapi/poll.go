package simapi

import (
	"net/http"
	"time"

	"lycheepond/core/plat"
	"lycheepond/trial/serve"
)

// pollResult is the result of one check by a long poll.
type pollResult struct {
	// hasChange is set if there is a change to return, which ends the poll.
	hasChange bool
	// untilVisible is the time until the next lagging change becomes visible;
	// zero if there is none.
	untilVisible time.Duration
	body         any
	status       int
}

// poll answers a long poll. It calls check with mu held, first at once and then
// whenever changed is closed, until the result has a change or the time until is
// reached, and answers with the last result.
func (p *Platform) poll(w http.ResponseWriter, r *http.Request, until time.Time, check func() pollResult) {
	p.updateStats(func(s *Stats) { s.Waiting++ })
	defer p.updateStats(func(s *Stats) { s.Waiting-- })
	for {
		p.mu.Lock()
		down := p.fault.Down
		res := check()
		changed := p.changed
		p.mu.Unlock()
		if down {
			p.refuse(w)
			return
		}
		remaining := time.Until(until)
		if res.hasChange || remaining <= 0 {
			serve.WriteJSON(w, res.status, res.body)
			return
		}
		if res.untilVisible > 0 {
			remaining = min(remaining, res.untilVisible)
		}
		t := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-t.C:
		case <-r.Context().Done():
			t.Stop()
			return
		}
		t.Stop()
	}
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.updateStats(func(s *Stats) { s.Watch++ })
	after, until, ok := parsePoll(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	p.poll(w, r, until, func() pollResult {
		if after < p.compactedVersion {
			return pollResult{hasChange: true, status: http.StatusGone, body: plat.Batch{Version: p.version}}
		}
		b, untilVisible := p.eventsAfter(kind, after)
		return pollResult{hasChange: len(b.Events) > 0, untilVisible: untilVisible, status: http.StatusOK, body: b}
	})
}

func (p *Platform) roster(w http.ResponseWriter, r *http.Request) {
	p.updateStats(func(s *Stats) { s.Instances++ })
	after, until, ok := parsePoll(w, r)
	if !ok {
		return
	}
	p.poll(w, r, until, func() pollResult {
		list, untilVisible := p.visibleRoster()
		return pollResult{hasChange: list.Version > after, untilVisible: untilVisible, status: http.StatusOK, body: list}
	})
}

func (p *Platform) weights(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.stats.Weights++
	isFull := p.weightReads >= p.cfg.MaxWeightReads
	if !isFull {
		p.weightReads++
	}
	p.mu.Unlock()
	if isFull {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "weight store is at its rate", http.StatusTooManyRequests)
		return
	}
	defer func() {
		p.mu.Lock()
		p.weightReads--
		p.mu.Unlock()
	}()
	if serve.Sleep(r.Context(), p.cfg.WeightReadTime) {
		serve.WriteJSON(w, http.StatusOK, struct{}{})
	}
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var in plat.Instance
	if !serve.ReadJSON(w, r, &in) {
		return
	}
	in.Name = r.PathValue("name")
	if in.State == "" {
		in.State = plat.StateLive
	}
	p.PutInstance(in)
	serve.WriteJSON(w, http.StatusOK, in)
}

func (p *Platform) dropInstance(w http.ResponseWriter, r *http.Request) {
	p.DropInstance(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) showStats(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	s := p.stats
	p.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, s)
}
