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

// attempts is how many IDs a request has: the last two bytes count its
// attempts, so that the endpoint's record leads back to the request.
const attempts = 1 << 16

// Config is what a Sched depends on. All functions must be set.
type Config struct {
	Incarnation uint64
	Zone        string
	Now         func() time.Duration
	// Pool returns the agents of a pool, nil if there is no such pool.
	Pool func(name string) *agents.Members
	// Entries returns how many entries share the pools.
	Entries func() int
	// Home finds the agent that keeps a key; it may be nil when no pool takes
	// keyed requests.
	Home func(pool string, key []byte) (Home, error)
	// Memory bounds the requests held at once, in bytes; zero sets no bound.
	Memory int64
	Log    *zap.Logger
}

// Home is the agent that keeps the record of an idempotency key.
type Home struct {
	Peer  *agents.Peer
	Epoch int64
}

// Sched serves requests.
type Sched struct {
	cfg   Config
	table *table
	last  atomic.Uint64
	trail *Trail
	room  *room
	// poison holds back requests that crash endpoints.
	poison  *quarantine
	running atomic.Int64

	// owners counts the goroutines of pools.
	owners sync.WaitGroup

	mu    sync.Mutex
	pools map[string]*pool
	// seen holds the last incarnation of each agent.
	seen map[string]uint64
	ctx  context.Context
}

// New returns a Sched that serves until ctx ends.
func New(ctx context.Context, cfg Config) *Sched {
	return &Sched{
		cfg: cfg, table: newTable(), trail: newTrail(), room: newRoom(cfg.Memory), poison: newQuarantine(),
		pools: make(map[string]*pool), seen: make(map[string]uint64), ctx: ctx,
	}
}

// Trail returns the record of recent decisions.
func (s *Sched) Trail() *Trail { return s.trail }

// Wait returns when the owners of all pools have ended, after the context given
// to New. No request may be served any more then.
func (s *Sched) Wait() { s.owners.Wait() }

// Running returns how many requests are being served.
func (s *Sched) Running() int { return int(s.running.Load()) }

// Figures returns what the entry itself knows of a pool, without its agents.
func (s *Sched) Figures(name string) report.Pool {
	p := s.pool(name)
	return report.Pool{
		Pool: name, InFlight: int(p.inflight.Load()), Queued: int(p.queued.Load()), ShedLevel: int(p.shown.Load()),
	}
}

// NewID returns the ID of a new request.
func (s *Sched) NewID() ident.ID {
	return ident.Make(s.cfg.Incarnation, s.last.Add(1)*attempts)
}

// nextAttempt returns the ID that follows id, false when all are used.
func nextAttempt(id ident.ID) (ident.ID, bool) {
	const low, high = ident.Size - 1, ident.Size - 2
	if id[low]++; id[low] == 0 {
		id[high]++
	}
	return id, id != rootOf(id)
}

// rootOf returns the ID of the request that id is an attempt of.
func rootOf(id ident.ID) ident.ID {
	id[ident.Size-1], id[ident.Size-2] = 0, 0
	return id
}

// Handle takes a message of an agent. It never waits.
func (s *Sched) Handle(p *agents.Peer, m wire.Message) {
	id, ok := subject(m)
	if !ok {
		return
	}
	f := s.table.get(id)
	if f == nil {
		if _, claim := m.(*wire.Claim); claim {
			p.Send(&wire.Deny{ID: id})
		}
		return
	}
	f.mail.put(event{peer: p, inc: p.Agent().Incarnation, msg: m})
}

// Up tells every request that an agent is linked again.
func (s *Sched) Up(p *agents.Peer) {
	s.tell(p, eventUp)
	s.forget(p)
}

// forget drops what is known of the caches of a restarted agent.
func (s *Sched) forget(p *agents.Peer) {
	a := p.Agent()
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.seen[a.Name]
	s.seen[a.Name] = a.Incarnation
	if !known || old == a.Incarnation {
		return
	}
	for _, pool := range s.pools {
		// A full ring costs some prefix reuse, to wait would cost the link.
		_ = pool.notes.Offer(note{op: opForget, agent: a.Name})
	}
}

// Down tells every request that the link to an agent ended.
func (s *Sched) Down(p *agents.Peer) { s.tell(p, eventDown) }

func (s *Sched) tell(p *agents.Peer, kind eventKind) {
	e := event{peer: p, inc: p.Agent().Incarnation, kind: kind}
	s.table.each(func(f *flight) { f.mail.put(e) })
}

// pool returns the owner of a pool, started on first use.
func (s *Sched) pool(name string) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[name]
	if !ok {
		p = newPool(name, s.cfg)
		s.pools[name] = p
		s.owners.Add(1)
		go func() {
			defer s.owners.Done()
			p.run(s.ctx)
		}()
	}
	return p
}

// Serve carries j to its end and returns how it ended. ctx ends when the
// caller hangs up.
func (s *Sched) Serve(ctx context.Context, j *Job, sink *Sink) Result {
	s.running.Add(1)
	defer s.running.Add(-1)
	f := newFlight(s, j, sink)
	if e := s.poison.admit(f); e != nil {
		f.finish(e)
		return f.res
	}
	if !s.room.enter(f) {
		f.finish(fullEntry())
		return f.res
	}
	defer s.room.leave(f)
	s.room.wait(f)
	s.table.put(f.once.ID(), f)
	res := f.run(ctx)
	s.table.drop(f.once.ID())
	if res.Outcome == once.NotRun {
		s.poison.notRun(f)
	}
	return res
}

func random() uint64 { return rand.Uint64() }

// subject returns the request that a message is about.
func subject(m wire.Message) (ident.ID, bool) {
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
