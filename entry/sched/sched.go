package sched

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/ident"
	"lycheepond/core/once"
	"lycheepond/core/report"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
)

// maxAttempts is the number of IDs of each request. The last two bytes of an ID
// count the attempts, so that the endpoint's record leads back to the request.
const maxAttempts = 1 << 16

// Config holds the settings and callbacks of a Sched. All functions must be set
// unless stated otherwise.
type Config struct {
	Incarnation uint64
	Zone        string
	Now         func() time.Duration
	// Pool returns the agents of a pool, nil if there is no such pool.
	Pool func(name string) *agents.Members
	// EntryCount returns how many entries share the pools.
	EntryCount func() int
	// Home finds the agent that keeps a key. It may be nil if no pool takes
	// requests with a key.
	Home func(pool string, key []byte) (Home, error)
	// MemoryLimit bounds the memory of all requests held at once, in bytes; zero
	// means no bound.
	MemoryLimit int64
	Log         *zap.Logger
}

// Home is the agent that keeps the record of an idempotency key.
type Home struct {
	Peer  *agents.Peer
	Epoch int64
}

// Sched serves requests. It is safe for concurrent use.
type Sched struct {
	cfg       Config
	table     *table
	idCounter atomic.Uint64
	traces    *TraceLog
	memory    *memoryLimit
	// quarantine refuses requests that crash endpoints.
	quarantine *quarantine
	running    atomic.Int64

	// poolGoroutines counts the running goroutines of pools.
	poolGoroutines sync.WaitGroup

	mu    sync.Mutex
	pools map[string]*pool
	// incarnations holds the last incarnation of each agent.
	incarnations map[string]uint64
	ctx          context.Context
}

// New returns a Sched that serves until ctx ends.
func New(ctx context.Context, cfg Config) *Sched {
	return &Sched{
		cfg: cfg, table: newTable(), traces: newTraceLog(), memory: newMemoryLimit(cfg.MemoryLimit), quarantine: newQuarantine(),
		pools: make(map[string]*pool), incarnations: make(map[string]uint64), ctx: ctx,
	}
}

// Traces returns the log of recent traces.
func (s *Sched) Traces() *TraceLog { return s.traces }

// Wait returns when the goroutines of all pools have ended, which they do after the
// context passed to New has ended. No request may be served after that.
func (s *Sched) Wait() { s.poolGoroutines.Wait() }

// Running returns how many requests are being served.
func (s *Sched) Running() int { return int(s.running.Load()) }

// PoolReport returns the entry's own state of a pool, without the agents' reports.
func (s *Sched) PoolReport(name string) report.Pool {
	p := s.pool(name)
	return report.Pool{
		Pool: name, InFlight: int(p.reportedInFlight.Load()), Queued: int(p.reportedQueued.Load()), ShedLevel: int(p.reportedLevel.Load()),
	}
}

// NewID returns the ID of a new request.
func (s *Sched) NewID() ident.ID {
	return ident.Make(s.cfg.Incarnation, s.idCounter.Add(1)*maxAttempts)
}

// nextAttempt returns the ID that follows id, or false if all IDs of the request
// are used.
func nextAttempt(id ident.ID) (ident.ID, bool) {
	const low, high = ident.Size - 1, ident.Size - 2
	if id[low]++; id[low] == 0 {
		id[high]++
	}
	return id, id != rootOf(id)
}

// rootOf returns the ID of the first attempt of the request that id belongs to.
func rootOf(id ident.ID) ident.ID {
	id[ident.Size-1], id[ident.Size-2] = 0, 0
	return id
}

// Handle passes a message from an agent to its request. It never blocks.
func (s *Sched) Handle(p *agents.Peer, m wire.Message) {
	id, ok := requestID(m)
	if !ok {
		return
	}
	f := s.table.get(id)
	if f == nil {
		if _, isClaim := m.(*wire.Claim); isClaim {
			p.Send(&wire.Deny{ID: id})
		}
		return
	}
	f.mailbox.put(event{peer: p, incarnation: p.Agent().Incarnation, msg: m})
}

// LinkUp notifies every request that an agent is linked again.
func (s *Sched) LinkUp(p *agents.Peer) {
	s.notifyAll(p, eventLinkUp)
	s.forgetRestarted(p)
}

// forgetRestarted drops the cache estimates of an agent that was restarted.
func (s *Sched) forgetRestarted(p *agents.Peer) {
	a := p.Agent()
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.incarnations[a.Name]
	s.incarnations[a.Name] = a.Incarnation
	if !known || old == a.Incarnation {
		return
	}
	for _, pool := range s.pools {
		// If the ring is full, outdated cache estimates stay and some prefix reuse
		// is lost. Waiting would block the link.
		_ = pool.messages.TryPut(poolMessage{op: opAgentRestarted, agent: a.Name})
	}
}

// LinkDown notifies every request that the link to an agent has ended.
func (s *Sched) LinkDown(p *agents.Peer) { s.notifyAll(p, eventLinkDown) }

func (s *Sched) notifyAll(p *agents.Peer, kind eventKind) {
	e := event{peer: p, incarnation: p.Agent().Incarnation, kind: kind}
	s.table.forEach(func(f *flight) { f.mailbox.put(e) })
}

// pool returns a pool and starts its goroutine on first use.
func (s *Sched) pool(name string) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[name]
	if !ok {
		p = newPool(name, s.cfg)
		s.pools[name] = p
		s.poolGoroutines.Add(1)
		go func() {
			defer s.poolGoroutines.Done()
			p.run(s.ctx)
		}()
	}
	return p
}

// Serve serves j until it has ended and returns the result. ctx must end when the
// caller hangs up.
func (s *Sched) Serve(ctx context.Context, j *Job, sink *Sink) Result {
	s.running.Add(1)
	defer s.running.Add(-1)
	f := newFlight(s, j, sink)
	if e := s.quarantine.admit(f); e != nil {
		f.finish(e)
		return f.result
	}
	if !s.memory.acquire(f) {
		f.finish(memoryFull())
		return f.result
	}
	defer s.memory.release(f)
	s.memory.markWaiting(f)
	s.table.put(f.once.ID(), f)
	res := f.run(ctx)
	s.table.drop(f.once.ID())
	if res.Outcome == once.NotRun {
		s.quarantine.recordNotRun(f)
	}
	return res
}

func random() uint64 { return rand.Uint64() }

// requestID returns the ID of the request that a message is about.
func requestID(m wire.Message) (ident.ID, bool) {
	switch m := m.(type) {
	case *wire.Chunk:
		return m.ID, true
	case *wire.Claim:
		return m.ID, true
	case *wire.Head:
		return m.ID, true
	case *wire.End:
		return m.ID, true
	case *wire.Return:
		return m.ID, true
	case *wire.KeyStatus:
		return m.ID, true
	}
	return ident.ID{}, false
}
