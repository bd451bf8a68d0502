// Package mesh links the entries with each other. Each entry sends the others a
// tally many times a second, with the requests that it has in flight and the usage
// that it has admitted for each customer. It also sends newer versions of the
// configuration and the roster to peers that may not reach the platform.
//
// A link carries the tallies of the entry that dialled it, so two entries that send
// each other tallies have two links. Neither waits for the other, and they need not
// agree on who dials. Package core/relay decides which entries send tallies to each
// other: all to all in a small fleet, through one or more hubs in each availability
// zone in a large one.
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
	// silentIntervals is the number of longest tally intervals after which a peer
	// that sends nothing counts as unreachable. They amount to one second in fleets
	// of up to a hundred entries.
	silentIntervals = 4
	// pauseIntervals is the number of longest tally intervals between two checks
	// for silent peers after which this process counts as paused itself. Usually at
	// most one interval passes, and after two a peer still has half of
	// silentIntervals left.
	pauseIntervals = 2
	// knownPeriod is how long a silent peer that the platform doesn't list is still
	// counted as an entry that may admit requests.
	knownPeriod = 20 * time.Second
)

// Config holds the settings and callbacks of a Mesh.
type Config struct {
	Self wire.Hello
	// Listen is the address where links are accepted. Peers dial the same address.
	Listen string
	// Open listens at an address. If nil, net.Listen with TCP is used.
	Open func(addr string) (net.Listener, error)
	// Seeds are the addresses of entries that are dialled at the start.
	Seeds []string
	Keys  wire.Keys
	// Capacity is the processing capacity of this entry in thousandths of a core,
	// zero if unknown. The entries with the largest capacity become hubs.
	Capacity uint32
	// Tally returns the changes since the last call, or the full state if all is
	// set. It is called by one goroutine only.
	Tally func(all bool) *wire.Tally
	// Freshness returns the evidence of how current the versions in force are, for
	// the next tally, and the uptime of this entry in milliseconds. If nil, no
	// evidence is sent.
	Freshness func() (evidence []wire.Freshness, uptimeMS uint64)
	// Extend adds the fields to a tally that peers of older versions cannot read:
	// what has changed since the last call, and if all is set also the state that a
	// new peer needs. It may be nil.
	Extend func(t *wire.Tally, all bool)
	// Revisions returns the revisions in force, zero where there is none. ConfigAhead
	// returns wire.Tally.ConfigAhead for them; nil returns zero.
	Revisions   func() (config, roster int64)
	ConfigAhead func() int64
	// Snapshot returns the encoded version in force of the given content, such as
	// wire.SnapshotConfig.
	Snapshot func(content uint8) (*wire.Snapshot, error)
	// OnTally handles a peer's tally.
	OnTally func(t PeerTally)
	// FullTally returns the full state of a peer, put together from the tallies
	// that were passed to OnTally.
	FullTally func(peer string) *wire.Tally
	// OnSnapshot handles a version that a peer sent.
	OnSnapshot func(s *wire.Snapshot)
	// ServePlacements begins to handle the placement requests that a peer in a zone
	// sends over a link. It returns a function that handles the peer's messages and
	// one that ends the service. Both are called by the goroutine of the link. If
	// nil, such messages are ignored.
	ServePlacements func(ctx context.Context, peer, zone string, reply func(m wire.Message) error) (handle func(m wire.Message), end func())
	// OnPlaceReply handles a peer's reply to a placement message of this entry, and
	// OnPlaceHold what precedes the reply if the request waits for long. OnLinkClosed
	// is called when the link over which such messages were sent has ended. All may
	// be nil.
	OnPlaceReply func(peer string, m *wire.PlaceReply)
	OnPlaceHold  func(peer string, m *wire.PlaceHold)
	OnLinkClosed func(peer string)
	// OnOrigins handles a message of a peer about streams' origins, and OnOriginReply a peer's
	// reply to one of this entry. Both may be nil.
	OnOrigins     func(m wire.Message, reply func(m wire.Message) error)
	OnOriginReply func(m *wire.OriginReply)
	// OnPeerLost is called when a peer has become silent.
	OnPeerLost func(peer string)
	Log        *zap.Logger
}

// PeerTally is a tally received from a peer.
type PeerTally struct {
	Peer string
	// NewProcess is set for the first tally of a peer's process, whose totals start
	// at zero.
	NewProcess bool
	Tally      *wire.Tally
}

// Mesh manages the links of one entry. It is safe for concurrent use.
type Mesh struct {
	cfg   Config
	start time.Time

	// tallyMu is held while a tally is processed, so that the state that
	// Config.FullTally returns always matches the peer's seq. It is locked before
	// mu.
	tallyMu sync.Mutex

	mu    sync.Mutex
	peers map[string]*peer
	// dials holds the state of each address that a goroutine dials.
	dials map[string]*dial
	// relayQueue holds the tallies received since tallies were last relayed.
	relayQueue []queuedTally
	// plan says which entries send tallies to each other, and known is how many
	// entries may be running, including this one. Both are recomputed before each
	// tally.
	plan  relay.Plan
	known int
	// placementLinks counts the links over which peers request placements from this
	// entry.
	placementLinks int
	// requestedLinks holds when each peer was last passed to KeepLinks.
	requestedLinks map[string]time.Time
	// seq is the sequence number of the last tally of this entry. The first tally
	// has number two.
	seq uint64
	// silenceCheckedAt is when the last check for silent peers was made.
	silenceCheckedAt time.Time
	// sendSoon holds one value while a call of SendTallySoon is pending, relaySoon
	// while one of RelaySoon is.
	sendSoon, relaySoon chan struct{}
	// extendAll is set if Config.Extend must add the full state to the next tally,
	// for a new peer. Only the sendTallies goroutine uses it.
	extendAll bool
	// snapshots holds the version that was encoded last, by content, and encoded which
	// one that is. Only the sendTallies goroutine uses them.
	snapshots map[uint8]*wire.Snapshot
	encoded   map[uint8]snapshotVersion
	// ended receives one value from each goroutine started with spawn, when it returns. Run
	// reads it all the time. running counts the goroutines whose value it has not received.
	ended   chan struct{}
	running int
}

// peer is the state of another entry.
type peer struct {
	addr, zone string
	// listed is set while the platform lists the entry.
	listed bool
	// incarnation identifies the process whose tallies were last accepted. seq is
	// the sequence number of the last of its tallies before which none is missing.
	incarnation, seq uint64
	// tallyAt is when the last tally arrived, directAt when the last message
	// arrived over the peer's own link, linkLostAt when that link broke, and
	// namedAt when another entry last named the peer.
	tallyAt, directAt, linkLostAt, namedAt time.Time
	// graceAt is when the peer was given one more longest tally interval to send a
	// tally because this process had been paused. This happens once for each period
	// of silence.
	graceAt time.Time
	// links counts the links that the peer has to this entry.
	links int
	// capacity is the Config.Capacity that the peer last reported.
	capacity uint32
	// readsExtensions is set if the peer reads tallies with fields that older
	// versions lack.
	readsExtensions bool
	// readsOrigins is set if the peer reads messages about streams' origins.
	readsOrigins bool
	// readsPlaceExtensions is set if the peer reads place messages that wire.Basic changes.
	readsPlaceExtensions bool
	// isReachable is set while the peer's tallies arrive. hasGap is set while one
	// of its tallies is missing.
	isReachable, hasGap bool
	// gapReportedAt is when the peer last reported that it lacks tallies of this
	// entry.
	gapReportedAt time.Time
	// config, configAhead and roster are what the peer last reported. staleSince is
	// the time from which they count as older than this entry's, zero if they are
	// current.
	config, configAhead, roster int64
	staleSince                  time.Time
}

// New returns a mesh that does nothing before Run is called.
func New(cfg Config) *Mesh {
	return &Mesh{
		cfg: cfg, start: time.Now(), silenceCheckedAt: time.Now(), peers: make(map[string]*peer), dials: make(map[string]*dial), requestedLinks: make(map[string]time.Time),
		seq: 1, snapshots: make(map[uint8]*wire.Snapshot), encoded: make(map[uint8]snapshotVersion), ended: make(chan struct{}, 1), sendSoon: make(chan struct{}, 1), relaySoon: make(chan struct{}, 1),
	}
}

// Run links with the other entries until ctx ends. It returns an error at once if
// it cannot listen.
func (m *Mesh) Run(ctx context.Context) error {
	ln, err := m.open()
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	m.spawn(func() { m.accept(ctx, ln) })
	for _, addr := range m.cfg.Seeds {
		m.startDial(ctx, addr)
	}
	m.spawn(func() { m.sendTallies(ctx) })
	m.wait()
	return ctx.Err()
}

// open opens the listener for links.
func (m *Mesh) open() (net.Listener, error) {
	if m.cfg.Open != nil {
		return m.cfg.Open(m.cfg.Listen)
	}
	return net.Listen("tcp", m.cfg.Listen)
}

// spawn runs f in a goroutine that wait waits for.
func (m *Mesh) spawn(f func()) {
	m.mu.Lock()
	m.running++
	m.mu.Unlock()
	go func() {
		f()
		m.ended <- struct{}{}
	}()
}

// wait receives the ends of the goroutines started with spawn, and returns when none runs.
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

// SetListedEntries sets the entries that the platform lists.
func (m *Mesh) SetListedEntries(ctx context.Context, entries []wire.EntryAddr) {
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
	m.adjustLinks(ctx)
}

// peer returns the state of a peer and creates it if needed. It is called with mu
// held.
func (m *Mesh) peer(name string) *peer {
	p := m.peers[name]
	if p == nil {
		p = new(peer)
		m.peers[name] = p
	}
	return p
}

// isKnown reports whether a peer may be running.
func (p *peer) isKnown() bool {
	return p.listed || p.isReachable || time.Since(p.tallyAt) <= knownPeriod
}

// mayExist reports whether a peer is known or was recently named by another entry.
func (p *peer) mayExist() bool { return p.isKnown() || time.Since(p.namedAt) <= knownPeriod }

// EntryCounts returns how many entries are reachable and how many may be running,
// both including this one.
func (m *Mesh) EntryCounts() (reachable, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reachable, known = 1, 1
	for _, p := range m.peers {
		if !p.isKnown() {
			continue
		}
		known++
		if p.isReachable {
			reachable++
		}
	}
	return reachable, known
}

// IsKnown reports whether an entry may be running.
func (m *Mesh) IsKnown(entry string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[entry]
	return p != nil && p.isKnown()
}

// ReachablePeers returns the names of the reachable entries except this one.
func (m *Mesh) ReachablePeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name, p := range m.peers {
		if p.isReachable {
			out = append(out, name)
		}
	}
	return out
}

// SendTallySoon requests that the next tally is sent as soon as possible.
func (m *Mesh) SendTallySoon() { signal(m.sendSoon) }

// RelaySoon requests that received tallies are relayed as soon as possible, if this
// entry is a hub.
func (m *Mesh) RelaySoon() { signal(m.relaySoon) }

// signal puts a value into c unless c already holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// HasHub reports whether a hub relays the tallies of other entries to this one.
func (m *Mesh) HasHub() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.plan.FollowsHub()
}

// SilentPeers returns the names of the listed peers that have been silent for longer
// than d. After a pause of this process only the time since the pause counts, and
// no peer is returned before the next check for silent peers.
func (m *Mesh) SilentPeers(d time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name, p := range m.peers {
		if p.listed && !p.isReachable && min(time.Since(p.tallyAt), time.Since(p.graceAt), time.Since(m.start)) > d {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
