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

// Config holds the settings and callbacks of a Set. All functions must be set.
type Config struct {
	Self         wire.Hello
	Keys         func() wire.Keys
	Heartbeat    time.Duration
	NewHeartbeat func() wire.Message
	// Dial opens a connection to a link address.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Roster returns the instance list, Pools the pools to serve.
	Roster func() plat.Roster
	Pools  func() []Pool
	// Digest changes whenever Pools may have changed.
	Digest func() uint64
	// ChooseAgents returns the names of the agents in pool, which holds those of
	// one pool, to which this entry links.
	ChooseAgents func(pool []plat.Instance, all plat.Roster) []string
	// Handle is called for each message of an agent, LinkUp and LinkDown when a
	// link begins and ends. They are called by the link's reader and must not
	// block.
	Handle           func(*Peer, wire.Message)
	LinkUp, LinkDown func(*Peer)
	Now              func() time.Duration
	Log              *zap.Logger
}

// Set holds the agents that an entry knows and maintains the links to them. It is
// safe for concurrent use.
type Set struct {
	cfg Config
	log *zap.Logger
	// view is replaced as a whole by refresh.
	view atomic.Pointer[view]
	// rosterVersion is the version of the instance list and configDigest the digest
	// of the configuration from which view was computed.
	rosterVersion int64
	configDigest  uint64
	endedLinks    trafficCounts
	wg            sync.WaitGroup
	// requested holds the agents passed to RequestLink. refreshNow holds a value
	// while one of them waits for the next refresh.
	mu         sync.Mutex
	requested  map[string]bool
	refreshNow chan struct{}
}

// view is the state computed from the instance list and the pools.
type view struct {
	peers map[string]*Peer
	pools map[string]*Members
}

// Members holds the agents of a pool at one moment.
type Members struct {
	// Peers are the agents that the entry links to.
	Peers []*Peer
	// UnlinkedLive counts the live agents of the pool that are not in Peers.
	UnlinkedLive int
}

// New returns a Set without links.
func New(cfg Config) *Set {
	s := &Set{cfg: cfg, log: cfg.Log, requested: make(map[string]bool), refreshNow: make(chan struct{}, 1)}
	s.view.Store(&view{peers: map[string]*Peer{}, pools: map[string]*Members{}})
	return s
}

func (s *Set) now() time.Duration { return s.cfg.Now() }

func (s *Set) random() uint64 { return rand.Uint64() }

// Pool returns the agents of a pool, nil if the pool is unknown.
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

// Run keeps the links up to date with the instance list until ctx ends. changed
// must receive a value when the list or the pools change.
func (s *Set) Run(ctx context.Context, changed <-chan struct{}) error {
	s.refresh(ctx)
	for {
		select {
		case <-ctx.Done():
			s.wg.Wait()
			return ctx.Err()
		case <-changed:
			// Confirmations of the home tables signal a change every few seconds.
			// Choosing among 12,000 agents each time would exceed the budget of
			// processor time.
			if s.cfg.Roster().Version != s.rosterVersion || s.cfg.Digest() != s.configDigest {
				s.refresh(ctx)
			}
		case <-s.refreshNow:
			s.refresh(ctx)
		}
	}
}

// RequestLink links to an agent that was not chosen, for example because it is the
// home of a key.
func (s *Set) RequestLink(name string) {
	s.mu.Lock()
	isKnown := s.requested[name]
	s.requested[name] = true
	s.mu.Unlock()
	if isKnown {
		return
	}
	select {
	case s.refreshNow <- struct{}{}:
	default:
	}
}

func (s *Set) isRequested(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requested[name]
}

// refresh recomputes view. Only Run calls it.
func (s *Set) refresh(ctx context.Context) {
	old := s.view.Load()
	s.configDigest = s.cfg.Digest()
	roster := s.cfg.Roster()
	s.rosterVersion = roster.Version
	pools := s.cfg.Pools()
	next := &view{peers: make(map[string]*Peer), pools: make(map[string]*Members)}
	for _, pool := range pools {
		all := endpoints(pool, roster)
		chosen := make(map[string]bool)
		for _, name := range s.cfg.ChooseAgents(all, roster) {
			chosen[name] = true
		}
		m := new(Members)
		for i := range all {
			if !chosen[all[i].Name] && !s.isRequested(all[i].Name) {
				if all[i].State == plat.StateLive {
					m.UnlinkedLive++
				}
				continue
			}
			p, ok := next.peers[all[i].Name]
			if !ok {
				p = s.updatePeer(ctx, old, &all[i])
				next.peers[p.name] = p
			}
			m.Peers = append(m.Peers, p)
		}
		next.pools[pool.Name] = m
	}
	s.keepUnlisted(old, next)
	s.view.Store(next)
}

// keepUnlisted keeps agents that are no longer in the instance list for as long as
// they may hold granted requests, and stops the others.
func (s *Set) keepUnlisted(old, next *view) {
	for name, p := range old.peers {
		if _, ok := next.peers[name]; ok {
			continue
		}
		if p.IsLinked() || s.now()-time.Duration(p.linkLostAt.Load()) < unlistedRetention {
			p.isUnlisted.Store(true)
			next.peers[name] = p
			continue
		}
		p.stop()
	}
}

// updatePeer returns the peer for an instance and starts its link goroutine if
// needed.
func (s *Set) updatePeer(ctx context.Context, old *view, inst *plat.Instance) *Peer {
	if p, ok := old.peers[inst.Name]; ok {
		hasMoved := p.Instance().LinkAddr != inst.LinkAddr
		p.instance.Store(inst)
		wasUnlisted := p.isUnlisted.Swap(false)
		if !hasMoved && (!wasUnlisted || p.IsLinked()) {
			return p
		}
		p.stop()
		s.startLink(ctx, p)
		return p
	}
	p := NewPeer(inst)
	s.startLink(ctx, p)
	return p
}

// startLink starts the goroutine that keeps the link to p. p.stop ends it and
// waits, so that a peer never has two links.
func (s *Set) startLink(ctx context.Context, p *Peer) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer close(done)
		s.keepLink(ctx, p)
	}()
	p.stop = func() {
		cancel()
		<-done
	}
}

// endpoints returns the instances of a pool's endpoints.
func endpoints(pool Pool, r plat.Roster) []plat.Instance {
	var out []plat.Instance
	for _, i := range r.Instances {
		if i.Role == plat.RoleEndpoint && i.LinkAddr != "" && spec.Matches(pool.Selector, i.Labels) {
			out = append(out, i)
		}
	}
	return out
}

// trafficCounts sums the traffic of links. It is safe for concurrent use.
type trafficCounts struct {
	mu  sync.Mutex
	sum wire.Counts
}

func (c *trafficCounts) add(n wire.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum.ControlIn += n.ControlIn
	c.sum.ControlOut += n.ControlOut
	c.sum.DataIn += n.DataIn
	c.sum.DataOut += n.DataOut
}

// Counts returns the traffic of all links since start.
func (s *Set) Counts() wire.Counts {
	var total trafficCounts
	s.endedLinks.mu.Lock()
	total.sum = s.endedLinks.sum
	s.endedLinks.mu.Unlock()
	for _, p := range s.view.Load().peers {
		if l := p.Link(); l != nil {
			total.add(l.Counts())
		}
	}
	return total.sum
}
