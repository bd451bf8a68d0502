package platf

import (
	"net/http"
	"time"

	"lycheepond/core/plat"
	"lycheepond/trial/serve"
)

// look is what one pass of a waiting call found.
type look struct {
	// found ends the wait.
	found bool
	// hidden is when an event that lags can be seen; zero means none lags.
	hidden time.Duration
	answer any
	status int
}

// poll calls see, with mu held, until it finds something or time is up. The
// last look is the answer.
func (p *Platform) poll(w http.ResponseWriter, r *http.Request, until time.Time, see func() look) {
	p.count(func(s *Stats) { s.Waiting++ })
	defer p.count(func(s *Stats) { s.Waiting-- })
	for {
		p.mu.Lock()
		down := p.fault.Down
		l := see()
		changed := p.changed
		p.mu.Unlock()
		if down {
			p.refuse(w)
			return
		}
		left := time.Until(until)
		if l.found || left <= 0 {
			serve.JSON(w, l.status, l.answer)
			return
		}
		if l.hidden > 0 {
			left = min(left, l.hidden)
		}
		t := time.NewTimer(left)
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
	p.count(func(s *Stats) { s.Watch++ })
	after, until, ok := pollOf(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	p.poll(w, r, until, func() look {
		if after < p.compacted {
			return look{found: true, status: http.StatusGone, answer: plat.Batch{Version: p.version}}
		}
		b, hidden := p.since(kind, after)
		return look{found: len(b.Events) > 0, hidden: hidden, status: http.StatusOK, answer: b}
	})
}

func (p *Platform) roster(w http.ResponseWriter, r *http.Request) {
	p.count(func(s *Stats) { s.Instances++ })
	after, until, ok := pollOf(w, r)
	if !ok {
		return
	}
	p.poll(w, r, until, func() look {
		list, hidden := p.seen()
		return look{found: list.Version > after, hidden: hidden, status: http.StatusOK, answer: list}
	})
}

func (p *Platform) weights(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.stats.Weights++
	full := p.loading >= p.cfg.WeightRate
	if !full {
		p.loading++
	}
	p.mu.Unlock()
	if full {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "weight store is at its rate", http.StatusTooManyRequests)
		return
	}
	defer func() {
		p.mu.Lock()
		p.loading--
		p.mu.Unlock()
	}()
	if serve.Sleep(r.Context(), p.cfg.WeightTime) {
		serve.JSON(w, http.StatusOK, struct{}{})
	}
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var in plat.Instance
	if !serve.Read(w, r, &in) {
		return
	}
	in.Name = r.PathValue("name")
	if in.State == "" {
		in.State = plat.StateLive
	}
	p.PutInstance(in)
	serve.JSON(w, http.StatusOK, in)
}

func (p *Platform) dropInstance(w http.ResponseWriter, r *http.Request) {
	p.DropInstance(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) showStats(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	s := p.stats
	p.mu.Unlock()
	serve.JSON(w, http.StatusOK, s)
}
