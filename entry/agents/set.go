package agents

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// Pool is a set of endpoints that serve the same requests.
type Pool struct {
	Name     string
	Selector map[string]string
}

// Config is what a Set depends on. All functions must be set.
type Config struct {
	Self      wire.Hello
	Keys      func() wire.Keys
	Heartbeat time.Duration
	Beat      func() wire.Message
	// Dial opens a connection to a link address.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Roster returns the instance list, Pools what is to be served.
	Roster func() plat.Roster
	Pools  func() []Pool
	// Digest tells when Pools may have changed.
	Digest func() uint64
	// Choose returns the names of the agents of one pool, given as pool, that
	// this entry links to.
	Choose func(pool []plat.Instance, all plat.Roster) []string
	// Handle takes each message of an agent, Up and Down the ends of a link.
	// They are called from the link's reader and must not wait.
	Handle   func(*Peer, wire.Message)
	Up, Down func(*Peer)
	Now      func() time.Duration
	Log      *zap.Logger
}

// Set is all agents that an entry knows. It is safe for concurrent use.
type Set struct {
	cfg Config
	log *zap.Logger
	// view is replaced as a whole by refresh.
	view atomic.Pointer[view]
	// roster is the version of the instance list and config the digest of the
	// configuration that view was made from.
	roster int64
	config uint64
	past   counts
	wg     sync.WaitGroup
	// wanted names agents to link to whether chosen or not.
	mu     sync.Mutex
	wanted map[string]bool
	asked  chan struct{}
}

// view is what the instance list and the pools come to.
type view struct {
	peers map[string]*Peer
	pools map[string]*Members
}

// Members is the agents of a pool at one moment.
type Members struct {
	// Peers are the agents that the entry links to.
	Peers []*Peer
	// Beyond counts the live agents of the pool outside of Peers.
	Beyond int
}

// New returns a Set without links.
func New(cfg Config) *Set {
	s := &Set{cfg: cfg, log: cfg.Log, wanted: make(map[string]bool), asked: make(chan struct{}, 1)}
	s.view.Store(&view{peers: map[string]*Peer{}, pools: map[string]*Members{}})
	return s
}

func (s *Set) now() time.Duration { return s.cfg.Now() }

func (s *Set) random() uint64 { return rand.Uint64() }

// Pool returns the agents of a pool; it is nil for an unknown pool.
func (s *Set) Pool(name string) *Members { return s.view.Load().pools[name] }

// Pools returns the names of all pools.
func (s *Set) Pools() []string {
	v := s.view.Load()
	out := make([]string, 0, len(v.pools))
	for name := range v.pools {
		out = append(out, name)
	}
	return out
}

// Peer returns an agent by the name of its instance.
func (s *Set) Peer(name string) (*Peer, bool) {
	p, ok := s.view.Load().peers[name]
	return p, ok
}

// Run keeps the links in step with the instance list until ctx ends. changed
// tells that the list or the pools changed.
func (s *Set) Run(ctx context.Context, changed <-chan struct{}) error {
	s.refresh(ctx)
	for {
		select {
		case <-ctx.Done():
			s.wg.Wait()
			return ctx.Err()
		case <-changed:
			// Confirmations of the keys' tables report a change every few
			// seconds; to choose among 12,000 agents each time would not fit
			// the budget of processor time.
			if s.cfg.Roster().Version != s.roster || s.cfg.Digest() != s.config {
				s.refresh(ctx)
			}
		case <-s.asked:
			s.refresh(ctx)
		}
	}
}

// Want links to an agent outside of the chosen part, as the home of a key may
// be.
func (s *Set) Want(name string) {
	s.mu.Lock()
	known := s.wanted[name]
	s.wanted[name] = true
	s.mu.Unlock()
	if known {
		return
	}
	select {
	case s.asked <- struct{}{}:
	default:
	}
}

func (s *Set) wants(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wanted[name]
}

// refresh is called by Run only.
func (s *Set) refresh(ctx context.Context) {
	old := s.view.Load()
	s.config = s.cfg.Digest()
	roster := s.cfg.Roster()
	s.roster = roster.Version
	pools := s.cfg.Pools()
	next := &view{peers: make(map[string]*Peer), pools: make(map[string]*Members)}
	for _, pool := range pools {
		all := endpoints(pool, roster)
		chosen := make(map[string]bool)
		for _, name := range s.cfg.Choose(all, roster) {
			chosen[name] = true
		}
		m := new(Members)
		for i := range all {
			if !chosen[all[i].Name] && !s.wants(all[i].Name) {
				if all[i].State == plat.StateLive {
					m.Beyond++
				}
				continue
			}
			p, ok := next.peers[all[i].Name]
			if !ok {
				p = s.take(ctx, old, &all[i])
				next.peers[p.name] = p
			}
			m.Peers = append(m.Peers, p)
		}
		next.pools[pool.Name] = m
	}
	s.linger(old, next)
	s.view.Store(next)
}

// linger keeps agents that dropped out of the instance list for as long as
// they may hold granted requests.
func (s *Set) linger(old, next *view) {
	for name, p := range old.peers {
		if _, ok := next.peers[name]; ok {
			continue
		}
		if p.Linked() || s.now()-time.Duration(p.lost.Load()) < goneLinger {
			p.gone.Store(true)
			next.peers[name] = p
			continue
		}
		p.stop()
	}
}

// take returns the peer for inst, with a goroutine that keeps its link.
func (s *Set) take(ctx context.Context, old *view, inst *plat.Instance) *Peer {
	if p, ok := old.peers[inst.Name]; ok {
		moved := p.Instance().LinkAddr != inst.LinkAddr
		p.inst.Store(inst)
		wasGone := p.gone.Swap(false)
		if !moved && (!wasGone || p.Linked()) {
			return p
		}
		p.stop()
		s.start(ctx, p)
		return p
	}
	p := NewPeer(inst)
	s.start(ctx, p)
	return p
}

// start runs the keeper of p. stop ends it and waits, so that a peer never has
// two links.
func (s *Set) start(ctx context.Context, p *Peer) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer close(done)
		s.keep(ctx, p)
	}()
	p.stop = func() {
		cancel()
		<-done
	}
}

func endpoints(pool Pool, r plat.Roster) []plat.Instance {
	var out []plat.Instance
	for _, i := range r.Instances {
		if i.Role == plat.RoleEndpoint && i.LinkAddr != "" && spec.Matches(pool.Selector, i.Labels) {
			out = append(out, i)
		}
	}
	return out
}

// counts sums the traffic of links that have ended.
type counts struct {
	mu  sync.Mutex
	sum wire.Counts
}

func (c *counts) add(n wire.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum.ControlIn += n.ControlIn
	c.sum.ControlOut += n.ControlOut
	c.sum.DataIn += n.DataIn
	c.sum.DataOut += n.DataOut
}

// Counts returns the traffic of all links since start.
func (s *Set) Counts() wire.Counts {
	var total counts
	s.past.mu.Lock()
	total.sum = s.past.sum
	s.past.mu.Unlock()
	for _, p := range s.view.Load().peers {
		if l := p.Link(); l != nil {
			total.add(l.Counts())
		}
	}
	return total.sum
}
