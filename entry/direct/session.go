package direct

import (
	"context"
	"math"
	"sync"
	"time"

	"lycheepond/core/admit"
	"lycheepond/core/route"
	"lycheepond/core/shard"
	"lycheepond/core/trust"
	"lycheepond/core/wire"
)

// keepFor is for how long the places of a peer whose link has ended are still taken:
// until its tallies tell what it has there, or it counts as silent.
const keepFor = 300 * time.Millisecond

// Session is what one peer has asked for over one link. Take and Close are called by
// one goroutine.
type Session struct {
	d     *Director
	zone  string
	reply func(m wire.Message) error
	// ctx ends with the session.
	ctx  context.Context
	stop context.CancelFunc
	// standing counts the goroutines of requests that stand in line.
	standing sync.WaitGroup
	// granted holds the places that the peer has, waiting what ends the wait of those
	// that it has none for yet. Director's mutex guards both.
	granted map[uint64]*visit
	waiting map[uint64]context.CancelFunc
}

// Session begins to place requests for a peer of a zone.
func (d *Director) Session(ctx context.Context, zone string, reply func(m wire.Message) error) *Session {
	s := &Session{d: d, zone: zone, reply: reply, granted: make(map[uint64]*visit), waiting: make(map[uint64]context.CancelFunc)}
	s.ctx, s.stop = context.WithCancel(ctx)
	return s
}

// Take takes in what the peer asks or notes.
func (s *Session) Take(m wire.Message) {
	switch m := m.(type) {
	case *wire.PlaceRequest:
		s.ask(m)
	case *wire.PlaceReport:
		s.note(m)
	}
}

// Close ends the session and frees the places of the peer a while later.
func (s *Session) Close() {
	s.stop()
	s.standing.Wait()
	time.AfterFunc(keepFor, func() {
		s.d.mu.Lock()
		defer s.d.mu.Unlock()
		for _, v := range s.granted {
			v.drop()
		}
		clear(s.granted)
	})
}

// ask places a request or puts it into line.
func (s *Session) ask(m *wire.PlaceRequest) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	_, known := s.d.cfg.Reach()
	cfg, ok := s.d.v.table.Pool(m.Pool)
	if !ok {
		_ = s.reply(&wire.PlaceReply{ID: m.ID})
		return
	}
	p := s.d.v.pool(m.Pool, s.d.cfg.Repeats, known)
	part := p.shards[shard.Key{Zone: m.Zone, Index: m.ShardIndex}]
	if part == nil {
		_ = s.reply(&wire.PlaceReply{ID: m.ID})
		return
	}
	j := jobOf(m, cfg)
	v, dec, w := s.d.line(j, p, lineup{shard: part, zone: s.zone, stand: m.MayQueue})
	if w == nil {
		s.answer(m.ID, v, dec)
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.waiting[m.ID] = cancel
	s.standing.Go(func() {
		defer cancel()
		w.stand(ctx)
		s.d.mu.Lock()
		defer s.d.mu.Unlock()
		delete(s.waiting, m.ID)
		v, dec := s.d.leave(w, p)
		if ctx.Err() == nil {
			s.answer(m.ID, v, dec)
		} else if dec.Endpoint >= 0 {
			v.drop()
		}
	})
}

// jobOf returns what placement needs to know of a request.
func jobOf(m *wire.PlaceRequest, cfg *route.Pool) *Job {
	now := time.Now()
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	return &Job{
		Route: &route.Route{Target: us(m.TargetUS), Timeout: math.MaxInt64}, Pool: cfg, Tier: route.Tier{Customer: m.CustomerTier, Route: m.RouteTier},
		Accepted: now.Add(us(m.TargetLeftUS - m.TargetUS)), Deadline: now.Add(us(m.DeadlineLeftUS)), Prompt: int(m.PromptTokens), Output: int(m.OutputTokens),
	}
}

// answer tells the peer what was decided; Director's mutex is held.
func (s *Session) answer(id uint64, v *visit, dec admit.Decision) {
	b := v.basis
	m := &wire.PlaceReply{
		ID: id, Decided: true, RosterRevision: s.d.v.roster.Revision, RefusalReason: uint8(dec.Reason), RetryAfterUS: dec.RetryAfter.Microseconds(), SlotIntervalUS: dec.SlotInterval.Microseconds(),
		FirstEventUS: dec.FirstEvent.Microseconds(), WaitUS: dec.SlotWait.Microseconds(), QueuedUS: b.Stood.Microseconds(),
	}
	if dec.Endpoint >= 0 {
		m.Endpoint, m.Addr, m.Slots = v.id, v.addr, v.e.Slots
		m.RequestsAhead, m.PromptTokens, m.HadFreeSlot = uint32(max(b.Ahead, 0)), uint32(max(b.Prompt, 0)), v.free
		s.granted[id] = v
	}
	// A link that cannot take it ends, and with it the session.
	_ = s.reply(m)
}

// note takes in what has become of a place.
func (s *Session) note(m *wire.PlaceReport) {
	s.d.mu.Lock()
	v := s.granted[m.ID]
	if v == nil {
		if cancel := s.waiting[m.ID]; cancel != nil && m.Outcome != wire.PlaceOpen {
			cancel()
		}
		s.d.mu.Unlock()
		return
	}
	v.e.heard = time.Now()
	if m.Outcome != wire.PlaceOpen {
		delete(s.granted, m.ID)
	}
	s.d.mu.Unlock()
	if m.OutputTokens > 0 || m.Outcome == wire.PlaceOpen {
		v.progress(int(m.OutputTokens))
	}
	switch {
	case m.Outcome == wire.PlaceDropped:
		v.abandon()
	case m.Outcome == wire.PlaceDeclined:
		v.declined(int(m.EndpointRequests))
	case m.Outcome == wire.PlaceMoved:
		v.misplaced()
	case m.Outcome >= wire.PlaceResult:
		v.end(trust.Result(m.Outcome - wire.PlaceResult))
	}
}
