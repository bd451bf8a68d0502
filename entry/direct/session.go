package direct

import (
	"context"
	"math"
	"sync"
	"time"

	"lycheepond/core/admit"
	"lycheepond/core/health"
	"lycheepond/core/route"
	"lycheepond/core/shard"
	"lycheepond/core/wire"
)

// sessionGrace is how long the placements of a peer whose link has ended are still counted: by
// then the peer's tallies report what it has there, or the peer counts as silent.
const sessionGrace = 300 * time.Millisecond

// Session holds the placements that one peer has requested over one link. Handle and Close are
// called by one goroutine.
type Session struct {
	d     *Director
	peer  sender
	reply func(m wire.Message) error
	// ctx ends with the session.
	ctx  context.Context
	stop context.CancelFunc
	// waiters counts the goroutines of queued requests.
	waiters sync.WaitGroup
	// placements holds the attempts that are placed for the peer, cancelWaits the functions
	// that end the waits of its queued requests, both by the peer's placement ID. Director's
	// mutex guards both.
	placements  map[uint64]*attempt
	cancelWaits map[uint64]context.CancelFunc
}

// NewSession returns a session that places requests for a peer in a zone. reply sends a
// message to the peer.
func (d *Director) NewSession(ctx context.Context, peer, zone string, reply func(m wire.Message) error) *Session {
	s := &Session{d: d, peer: sender{peer, zone}, reply: reply, placements: make(map[uint64]*attempt), cancelWaits: make(map[uint64]context.CancelFunc)}
	s.ctx, s.stop = context.WithCancel(ctx)
	return s
}

// Handle processes a placement request, a placement report or bookings of the peer.
func (s *Session) Handle(m wire.Message) {
	switch m := m.(type) {
	case *wire.PlaceRequest:
		s.handleRequest(m)
	case *wire.PlaceReport:
		s.handleReport(m)
	case *wire.PlaceBookings:
		s.handleBookings(m)
	}
}

// Close ends the session and releases the placements of the peer after sessionGrace.
func (s *Session) Close() {
	s.stop()
	s.waiters.Wait()
	time.AfterFunc(sessionGrace, func() {
		s.d.mu.Lock()
		defer s.d.mu.Unlock()
		for _, a := range s.placements {
			a.releaseAll()
		}
		clear(s.placements)
	})
}

// handleRequest places, queues or refuses a request of the peer.
func (s *Session) handleRequest(m *wire.PlaceRequest) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	_, knownEntries := s.d.cfg.EntryCounts()
	cfg, ok := s.d.view.table.Pool(m.Pool)
	if !ok {
		_ = s.reply(&wire.PlaceReply{ID: m.ID})
		return
	}
	p := s.d.view.pool(m.Pool, s.d.cfg.RetryBudget, knownEntries)
	target := p.shards[shard.Key{Zone: m.Zone, Index: m.ShardIndex}]
	if target == nil {
		_ = s.reply(&wire.PlaceReply{ID: m.ID})
		return
	}
	j := jobFromRequest(m, cfg)
	a, dec, w := s.d.placeOrEnqueue(j, p, queueOptions{shard: target, from: s.peer, mayQueue: m.MayQueue, plansReturn: m.MayQueue && s.d.plansReturns(j)})
	if w == nil {
		s.sendDecision(m.ID, j, a, dec)
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancelWaits[m.ID] = cancel
	s.sendHold(m.ID, w)
	s.waiters.Go(func() {
		defer cancel()
		w.awaitDispatch(ctx)
		s.d.mu.Lock()
		defer s.d.mu.Unlock()
		a, dec, next := s.d.leaveQueue(w, p, ctx.Err() != nil)
		for next != nil {
			s.sendHold(m.ID, next)
			s.d.mu.Unlock()
			next.awaitDispatch(ctx)
			s.d.mu.Lock()
			a, dec, next = s.d.leaveQueue(next, p, ctx.Err() != nil)
		}
		delete(s.cancelWaits, m.ID)
		if ctx.Err() == nil {
			s.sendDecision(m.ID, j, a, dec)
		} else if dec.Endpoint >= 0 {
			a.releaseAll()
		}
	})
}

// jobFromRequest returns a job with what placement needs to know of a peer's request.
func jobFromRequest(m *wire.PlaceRequest, cfg *route.Pool) *Job {
	now := time.Now()
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	acceptedAt := now.Add(us(m.TargetLeftUS - m.TargetUS))
	r := &route.Route{Target: us(m.TargetUS), Timeout: math.MaxInt64}
	if m.SilenceLeftUS != 0 {
		r.MaxSilence = max(now.Sub(acceptedAt)+us(m.SilenceLeftUS), 1)
	}
	return &Job{
		Route: r, Pool: cfg, Customer: customerOf(m), Tier: route.Tier{Customer: m.CustomerTier, Route: m.RouteTier},
		AcceptedAt: acceptedAt, returnKey: m.Fingerprint, Deadline: now.Add(us(m.DeadlineLeftUS)), PromptTokens: int(m.PromptTokens), OutputTokens: int(m.OutputTokens),
	}
}

// sendDecision sends a decision to the peer. The caller holds Director's mutex.
func (s *Session) sendDecision(id uint64, j *Job, a *attempt, dec admit.Decision) {
	p := a.placement
	m := &wire.PlaceReply{
		ID: id, Decided: true, RosterRevision: s.d.view.roster.Revision, RefusalReason: uint8(dec.Reason), RetryAfterUS: dec.RetryAfter.Microseconds(), SlotIntervalUS: dec.SlotInterval.Microseconds(),
		FirstEventUS: dec.FirstEvent.Microseconds(), WaitUS: dec.SlotWait.Microseconds(), QueuedUS: p.QueuedFor.Microseconds(),
		Plan: uint8(p.Plan), FirstAgoUS: p.Returned.Microseconds(),
	}
	if dec.Endpoint >= 0 {
		m.Endpoint, m.Incarnation, m.Addr, m.Slots = a.id, a.start.Incarnation, a.sentAddr, a.endpoint.Slots
		m.RequestsAhead, m.PromptTokens, m.HadFreeSlot = uint32(max(p.RequestsAhead, 0)), uint32(max(p.PromptTokensAhead, 0)), a.hadFreeSlot
		m.SlowdownPercent = uint32(math.Round(100 * max(p.Slowdown, 1)))
		s.placements[id] = a
	} else {
		j.share.setReply(m)
	}
	// If the link cannot take the message, the link ends and with it the session.
	_ = s.reply(m)
}

// handleReport applies what the peer reports about a placement.
func (s *Session) handleReport(m *wire.PlaceReport) {
	s.d.mu.Lock()
	a := s.placements[m.ID]
	if a == nil {
		if cancel := s.cancelWaits[m.ID]; cancel != nil && m.Outcome != wire.PlaceOpen {
			cancel()
		}
		s.d.mu.Unlock()
		return
	}
	a.endpoint.lastByteAt = time.Now()
	if m.Outcome != wire.PlaceOpen {
		delete(s.placements, m.ID)
	}
	s.d.mu.Unlock()
	isHead := m.Load != nil && m.Outcome == wire.PlaceOpen
	if m.Load != nil {
		a.handleStatedLoad(m.Load)
	}
	if m.OutputTokens > 0 || m.Outcome == wire.PlaceOpen && !isHead {
		a.recordProgress(int(m.OutputTokens))
	}
	switch {
	case m.Outcome == wire.PlaceDropped:
		a.abandon()
	case m.Outcome == wire.PlaceDeclined:
		a.handleDecline(int(m.EndpointRequests))
	case m.Outcome == wire.PlaceMoved:
		a.handleMoved()
	case m.Outcome >= wire.PlaceResult:
		a.finish(health.Result(m.Outcome - wire.PlaceResult))
	}
}
