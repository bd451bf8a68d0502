// Package mesh links the entries with each other. Each tells all others, many
// times a second, what it has in flight and what it has admitted of each
// customer, and passes on newer versions of the configuration and the instance
// list to those that may not reach the platform.
//
// Each pair of entries has two links, each of which carries what the one that
// dialled has to say. So neither waits for the other, and no pair has to agree
// on who dials.
package mesh

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

const (
	// tellEvery is the shortest time between two tallies. Requests come tens of
	// milliseconds apart at one entry; knowing them 25 ms late costs less than
	// a place in one queue.
	tellEvery = 25 * time.Millisecond
	// tellEach is the same for each link that a tally goes out over: 200 messages
	// a second at most.
	tellEach = 5 * time.Millisecond
	// tellAtLeast is the longest time between two tallies, also without news:
	// peers take it for a sign of life.
	tellAtLeast = 250 * time.Millisecond
	// heardWithin is how old the last tally of a peer in reach may be: four
	// times tellAtLeast.
	heardWithin = time.Second
	// knownFor is how long a silent peer that is not listed counts as an entry
	// that may still admit work.
	knownFor = 20 * time.Second
	// passOnAfter is how long a peer may lag behind before it is sent a newer
	// version: the platform usually tells it sooner and for nothing.
	passOnAfter = 150 * time.Millisecond
	// turnTime is how much later the next entry passes a version on, if the one
	// before did not: a version's way and the tally that tells of its arrival.
	turnTime = 2 * tellAtLeast
	// heartbeat is that of the links; one that went silent is dialled again
	// after three.
	heartbeat = 300 * time.Millisecond
	// dialTime and dialPause bound how fast a lost peer is tried.
	dialTime  = 500 * time.Millisecond
	dialPause = 300 * time.Millisecond
	// maxLinks bounds accepted links.
	maxLinks = 1024
)

// Config is what a Mesh depends on.
type Config struct {
	Self wire.Hello
	// Listen is where links are accepted; peers dial the same address.
	Listen string
	// Seeds are addresses of entries to begin with.
	Seeds []string
	Keys  wire.Keys
	// Tally returns what has changed since it was last called, or everything.
	// It is called by one goroutine.
	Tally func(all bool) *wire.Tally
	// Revisions returns the revisions in force, zero where there is none.
	Revisions func() (config, roster int64)
	// Snapshot returns the version in force.
	Snapshot func(what uint8) (*wire.Snapshot, error)
	// Heard takes in a peer's tally; first is set when it holds everything.
	Heard func(peer string, first bool, t *wire.Tally)
	// Took takes in a version that a peer passed on.
	Took func(s *wire.Snapshot)
	// Lost tells that a peer has not been heard for a while.
	Lost func(peer string)
	Log  *zap.Logger
}

// Mesh is the links of one entry. It is safe for concurrent use.
type Mesh struct {
	cfg   Config
	start time.Time

	mu    sync.Mutex
	peers map[string]*peer
	// dials holds the addresses that a goroutine dials.
	dials map[string]*dial
	// ended gets one value from each goroutine that has returned.
	ended   chan struct{}
	running int
}

// peer is another entry, by name.
type peer struct {
	addr string
	// listed is set while the platform names it.
	listed bool
	// incarnation is that of the last link it opened.
	incarnation uint64
	heard       time.Time
	// reached is set while it counts as heard.
	reached bool
	// config and roster are the revisions it last told and behind since when
	// they are older than ours.
	config, roster int64
	behind         time.Time
}

// dial is one address that this entry tells its tallies to.
type dial struct {
	link *wire.Link
	// fresh is set until everything was told over the link.
	fresh bool
}

// New returns a mesh that does nothing until Run.
func New(cfg Config) *Mesh {
	return &Mesh{
		cfg: cfg, start: time.Now(), peers: make(map[string]*peer), dials: make(map[string]*dial),
		ended: make(chan struct{}, 1),
	}
}

// Run links with the other entries until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", m.cfg.Listen)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	m.spawn(func() { m.accept(ctx, ln) })
	for _, addr := range m.cfg.Seeds {
		m.reach(ctx, addr)
	}
	m.tell(ctx)
	m.wait()
	return ctx.Err()
}

func (m *Mesh) spawn(f func()) {
	m.mu.Lock()
	m.running++
	m.mu.Unlock()
	go func() {
		f()
		m.ended <- struct{}{}
	}()
}

// wait returns when every goroutine has ended.
func (m *Mesh) wait() {
	for {
		m.mu.Lock()
		n := m.running
		m.mu.Unlock()
		if n == 0 {
			return
		}
		<-m.ended
		m.mu.Lock()
		m.running--
		m.mu.Unlock()
	}
}

// List takes in the entries that the platform names.
func (m *Mesh) List(ctx context.Context, entries []wire.EntryAddr) {
	listed := make(map[string]bool)
	for _, e := range entries {
		if e.Name == m.cfg.Self.Name {
			continue
		}
		listed[e.Name] = true
		m.mu.Lock()
		m.peer(e.Name).addr = e.Addr
		m.mu.Unlock()
		m.reach(ctx, e.Addr)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		p.listed = listed[name]
	}
}

// peer returns the peer of a name; it is called with mu held.
func (m *Mesh) peer(name string) *peer {
	p := m.peers[name]
	if p == nil {
		p = new(peer)
		m.peers[name] = p
	}
	return p
}

// Reach returns how many entries are heard and how many may be at work, this
// one included.
func (m *Mesh) Reach() (heard, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	heard, known = 1, 1
	for _, p := range m.peers {
		if !p.listed && time.Since(p.heard) > knownFor {
			continue
		}
		known++
		if p.reached {
			heard++
		}
	}
	return heard, known
}

// Silent returns the listed peers that have not been heard for d.
func (m *Mesh) Silent(d time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name, p := range m.peers {
		if p.listed && time.Since(p.heard) > d && time.Since(m.start) > d {
			out = append(out, name)
		}
	}
	return out
}

// reach starts to dial an address, if nobody does yet.
func (m *Mesh) reach(ctx context.Context, addr string) {
	if addr == "" || addr == m.cfg.Listen {
		return
	}
	m.mu.Lock()
	if m.dials[addr] != nil {
		m.mu.Unlock()
		return
	}
	d := new(dial)
	m.dials[addr] = d
	m.mu.Unlock()
	m.spawn(func() {
		m.dial(ctx, addr, d)
		m.mu.Lock()
		delete(m.dials, addr)
		m.mu.Unlock()
	})
}

// dial keeps a link to addr until ctx ends or the address belongs to nobody
// that is known.
func (m *Mesh) dial(ctx context.Context, addr string, d *dial) {
	dialer := net.Dialer{Timeout: dialTime}
	began := time.Now()
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err == nil {
			err = m.talk(ctx, conn, addr, d)
		}
		if errors.Is(err, errSelf) || !m.wanted(addr, began) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(dialPause):
		}
	}
}

// wanted reports whether an address is worth dialling again.
func (m *Mesh) wanted(addr string, began time.Time) bool {
	if time.Since(began) < knownFor {
		return true
	}
	for _, s := range m.cfg.Seeds {
		if s == addr {
			return true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.addr == addr && (p.listed || time.Since(p.heard) < knownFor) {
			return true
		}
	}
	return false
}

var errSelf = errors.New("mesh: the address is this entry's own")

// talk runs one link that this entry dialled.
func (m *Mesh) talk(ctx context.Context, conn net.Conn, addr string, d *dial) error {
	defer conn.Close()
	hello, err := wire.Open(ctx, conn, m.cfg.Self, m.cfg.Keys)
	if err != nil {
		return err
	}
	if hello.Name == m.cfg.Self.Name {
		return errSelf
	}
	link := wire.New(conn, hello, wire.Config{Heartbeat: heartbeat})
	m.mu.Lock()
	m.peer(hello.Name).addr = addr
	d.link, d.fresh = link, true
	m.mu.Unlock()
	logs.Info(m.cfg.Log, logs.EventLinkUp, zap.String("peer", hello.Name), zap.String("remote", addr))
	err = link.Run(ctx, func(wire.Message) {})
	m.mu.Lock()
	d.link = nil
	m.mu.Unlock()
	logs.Warn(m.cfg.Log, logs.EventLinkLost, zap.String("peer", hello.Name), zap.String("remote", addr), zap.Error(err))
	return err
}

// accept takes links of other entries until ctx ends.
func (m *Mesh) accept(ctx context.Context, ln net.Listener) {
	room := make(chan struct{}, maxLinks)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			// Without descriptors accepting fails at once, again and again.
			time.Sleep(dialPause)
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		m.spawn(func() {
			m.listen(ctx, conn)
			<-room
		})
	}
}

// listen runs one link that another entry dialled.
func (m *Mesh) listen(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	hello, err := wire.Open(ctx, conn, m.cfg.Self, m.cfg.Keys)
	if err != nil {
		logs.Warn(m.cfg.Log, logs.EventLinkRefused, zap.String("remote", conn.RemoteAddr().String()), zap.Error(err))
		return
	}
	first := true
	link := wire.New(conn, hello, wire.Config{Heartbeat: heartbeat})
	link.Run(ctx, func(msg wire.Message) {
		switch t := msg.(type) {
		case *wire.Tally:
			m.heard(ctx, hello, first, t)
			first = false
		case *wire.Snapshot:
			m.cfg.Took(t)
		}
	})
}

// heard takes in a tally.
func (m *Mesh) heard(ctx context.Context, hello wire.Hello, first bool, t *wire.Tally) {
	if hello.Name == m.cfg.Self.Name {
		return
	}
	m.mu.Lock()
	p := m.peer(hello.Name)
	if p.incarnation != hello.Incarnation {
		p.incarnation, first = hello.Incarnation, true
	}
	regained := !p.reached
	p.addr, p.heard, p.reached = t.Addr, time.Now(), true
	p.config, p.roster = t.Config, t.Roster
	m.mu.Unlock()
	if regained {
		logs.Info(m.cfg.Log, logs.EventPeerHeard, zap.String("peer", hello.Name), zap.Int64("config", t.Config), zap.Int64("roster", t.Roster))
	}
	m.reach(ctx, t.Addr)
	for _, e := range t.Entries {
		if e.Name != m.cfg.Self.Name {
			m.reach(ctx, e.Addr)
		}
	}
	m.cfg.Heard(hello.Name, first, t)
}
