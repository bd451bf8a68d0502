// Package mesh links the entries with each other. Each tells the others, many
// times a second, what it has in flight and what it has admitted of each
// customer, and passes on newer versions of the configuration and the instance
// list to those that may not reach the platform.
//
// A link carries what the one that dialled has to say, so a pair that tells each
// other has two. Neither waits for the other, and no pair has to agree on who
// dials. Who tells whom is core/relay's: all tell all while they are few, through
// one hub in each availability zone when they are many.
package mesh

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/relay"
	"lycheepond/core/wire"
)

const (
	// heardTimes is how old the last tally of a peer in reach may be, in the
	// longest times between two: a second in fleets of up to a hundred.
	heardTimes = 4
	// awayTimes is how long this process may not have looked for silent peers, in
	// the same times, until what it missed counts as its own silence: the pause
	// between two looks is one at most, and two leave peers half of heardTimes.
	awayTimes = 2
	// knownFor is how long a silent peer that is not listed counts as an entry
	// that may still admit work.
	knownFor = 20 * time.Second
)

// Config is what a Mesh depends on.
type Config struct {
	Self wire.Hello
	// Listen is where links are accepted; peers dial the same address.
	Listen string
	// Open listens at an address; nil is TCP.
	Open func(addr string) (net.Listener, error)
	// Seeds are addresses of entries to begin with.
	Seeds []string
	Keys  wire.Keys
	// Capacity is how much work this entry can carry, in thousandths of a core;
	// zero if unknown. The largest entries are hubs.
	Capacity uint32
	// Tally returns what has changed since it was last called, or everything.
	// It is called by one goroutine.
	Tally func(all bool) *wire.Tally
	// Fresh returns what the next tally tells of how new the versions in force
	// are, and the milliseconds for which this entry has run; nil is nothing.
	Fresh func() (told []wire.Freshness, clock uint64)
	// Extend adds to a tally what peers of older versions cannot read: what has changed
	// since it was last told, and again what a new peer has to know. It may be nil.
	Extend func(t *wire.Tally, again bool)
	// Revisions returns the revisions in force, zero where there is none.
	Revisions func() (config, roster int64)
	// Snapshot returns the version in force.
	Snapshot func(what uint8) (*wire.Snapshot, error)
	// Heard takes in a peer's tally.
	Heard func(h Heard)
	// Whole returns everything that a peer told and that was taken in.
	Whole func(peer string) *wire.Tally
	// Took takes in a version that a peer passed on.
	Took func(s *wire.Snapshot)
	// Serve begins to place requests for a peer of a zone that asks for it over a link.
	// It returns what takes the peer's messages and what ends it; both are called by
	// the goroutine of the link. Nil ignores such messages.
	Serve func(ctx context.Context, zone string, reply func(m wire.Message) error) (take func(m wire.Message), end func())
	// Acked takes in what a peer answers to such a message of this entry, Parted tells
	// that the link over which it was sent has ended.
	Acked  func(peer string, m *wire.PlaceReply)
	Parted func(peer string)
	// Lost tells that a peer has not been heard for a while.
	Lost func(peer string)
	Log  *zap.Logger
}

// Heard is a tally of a peer.
type Heard struct {
	Peer string
	// Anew is set for the first tally of a process: it counts from zero.
	Anew  bool
	Tally *wire.Tally
}

// Mesh is the links of one entry. It is safe for concurrent use.
type Mesh struct {
	cfg   Config
	start time.Time

	// taking is held while a tally is taken in, so that what Whole returns and
	// the peer's seq belong together. It is locked before mu.
	taking sync.Mutex

	mu    sync.Mutex
	peers map[string]*peer
	// dials holds the addresses that a goroutine dials.
	dials map[string]*dial
	// passing is what has been heard since tallies were last passed on.
	passing []passing
	// plan says who tells whom and known how many may be at work, this entry
	// included. Both are made anew at each tally.
	plan  relay.Plan
	known int
	// serving counts the links over which this entry is asked for places.
	serving int
	// asked holds when each peer was last named to Link.
	asked map[string]time.Time
	// seq is that of the last tally of this entry; the first has two.
	seq uint64
	// ran is when it was last looked for silent peers.
	ran time.Time
	// hurry has a value while the next tally is to be sent at once, and hurryOn
	// while what others told is to be passed on at once.
	hurry, hurryOn chan struct{}
	// retell is set if the next tally is to have all that Extend adds, for a new peer. The goroutine that tells owns it.
	retell bool
	// versions holds those that were encoded last. The goroutine that tells owns
	// it.
	versions map[uint8]*wire.Snapshot
	// ended gets one value from each goroutine that has returned.
	ended   chan struct{}
	running int
}

// peer is another entry, by name.
type peer struct {
	addr, zone string
	// listed is set while the platform names it.
	listed bool
	// incarnation is that of the process whose tallies were taken in, and seq
	// that of the last one that followed on all before it.
	incarnation, seq uint64
	// heard is when its last tally came, direct when the last one came over its
	// own link, broke when that link broke and named when another entry last
	// named it.
	heard, direct, broke, named time.Time
	// spared is when it was given one more of the longest times between two
	// tallies, since this process had been stopped; once for each silence.
	spared time.Time
	// links counts those that it has to this entry.
	links int
	// capacity is what it told last of how much work it can carry.
	capacity uint32
	// readsOn is set if it reads tallies with fields that older versions lack.
	readsOn bool
	// reached is set while it counts as heard, and gap while it told something
	// that has not arrived.
	reached, gap bool
	// lacksUs is when it last said that it does not hear this entry.
	lacksUs time.Time
	// config and roster are the revisions it last told and behind since when
	// they are older than ours.
	config, roster int64
	behind         time.Time
}

// New returns a mesh that does nothing until Run.
func New(cfg Config) *Mesh {
	return &Mesh{
		cfg: cfg, start: time.Now(), ran: time.Now(), peers: make(map[string]*peer), dials: make(map[string]*dial), asked: make(map[string]time.Time),
		seq: 1, versions: make(map[uint8]*wire.Snapshot), ended: make(chan struct{}, 1), hurry: make(chan struct{}, 1), hurryOn: make(chan struct{}, 1),
	}
}

// Run links with the other entries until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	ln, err := m.open()
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

func (m *Mesh) open() (net.Listener, error) {
	if m.cfg.Open != nil {
		return m.cfg.Open(m.cfg.Listen)
	}
	return net.Listen("tcp", m.cfg.Listen)
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
	m.mu.Lock()
	for _, e := range entries {
		if e.Name != m.cfg.Self.Name {
			listed[e.Name] = true
			m.peer(e.Name).addr = e.Addr
		}
	}
	for name, p := range m.peers {
		p.listed = listed[name]
	}
	m.mu.Unlock()
	m.adjust(ctx)
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

// known reports whether a peer may be at work.
func (p *peer) known() bool { return p.listed || p.reached || time.Since(p.heard) <= knownFor }

// maybe reports whether a peer is known or another entry named it lately.
func (p *peer) maybe() bool { return p.known() || time.Since(p.named) <= knownFor }

// Reach returns how many entries are heard and how many may be at work, this
// one included.
func (m *Mesh) Reach() (heard, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	heard, known = 1, 1
	for _, p := range m.peers {
		if !p.known() {
			continue
		}
		known++
		if p.reached {
			heard++
		}
	}
	return heard, known
}

// Names returns the entries that are heard, without this one.
func (m *Mesh) Names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name, p := range m.peers {
		if p.reached {
			out = append(out, name)
		}
	}
	return out
}

// Hurry has the next tally sent at once.
func (m *Mesh) Hurry() { once(m.hurry) }

// HurryOn has what others told passed on at once, if this entry is a hub.
func (m *Mesh) HurryOn() { once(m.hurryOn) }

func once(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Led reports whether a hub tells this entry what the others do.
func (m *Mesh) Led() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.plan.Led()
}

// Silent returns the listed peers that have not been heard for d. The time since a
// stop of this process counts only, and none while they are yet to be looked for.
func (m *Mesh) Silent(d time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name, p := range m.peers {
		if p.listed && !p.reached && min(time.Since(p.heard), time.Since(p.spared), time.Since(m.start)) > d {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
