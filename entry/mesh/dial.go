package mesh

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/relay"
	"lycheepond/core/wire"
)

const (
	// heartbeat is the heartbeat interval of the links. A link that is silent for
	// three of them is closed and dialled again.
	heartbeat = 300 * time.Millisecond
	// dialTimeout bounds one attempt to connect, and dialPause is the time between
	// two attempts. Together they bound how often an unreachable peer is dialled.
	dialTimeout = 500 * time.Millisecond
	dialPause   = 300 * time.Millisecond
	// hubMargin is added to the longest time between two tallies. A hub that sends
	// nothing over its own link for longer than the sum is replaced, because its
	// group would wait for the tallies that it should relay.
	hubMargin = 200 * time.Millisecond
	// lostLinkPeriod is how long a peer whose link broke is not used as a hub.
	// After that it has either come back or counts as silent.
	lostLinkPeriod = 2 * time.Second
	// unusedLinkTTL is how long an unused link is kept, so that a peer that is
	// needed intermittently isn't dialled each time.
	unusedLinkTTL = 3 * time.Second
	// gapReportPeriod is how long tallies are sent directly to a peer after it
	// reported that it lacks tallies of this entry. It covers several tallies of the
	// peer.
	gapReportPeriod = 3 * time.Second
	// maxExtraLinks is how many links an entry keeps at a time to peers that are
	// unreachable or lack its tallies. After extraLinkPeriod it moves on to the
	// next such peers. When a whole fleet starts, the first peers that answer name
	// all the others.
	maxExtraLinks   = 32
	extraLinkPeriod = 2 * time.Second
)

// dial is the state of one address that this entry dials.
type dial struct {
	link *wire.Link
	// peer is the name of the entry that answered. It is empty before the first
	// link.
	peer string
	// needsFull is set until a full tally has been sent over the link. fullSentAt
	// is when the last full tally was sent.
	needsFull  bool
	fullSentAt time.Time
	// isRelayTarget is set once this entry, as a hub, has sent the full tallies
	// that it relays over the link. Later relayed changes build on those.
	isRelayTarget bool
	// neededAt is when the link was last needed.
	neededAt time.Time
	// sendsTallies is set while this entry sends its tallies over the link. Other
	// links carry only the messages of Send.
	sendsTallies bool
	stop         context.CancelFunc
}

// replan recomputes which entries send tallies to each other and which are hubs.
func (m *Mesh) replan() {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := 1
	var reachable []relay.Entry
	for name, p := range m.peers {
		if !p.isKnown() {
			continue
		}
		known++
		if p.isReachable {
			reachable = append(reachable, p.entry(name))
		}
	}
	m.known = known
	m.plan = relay.New(m.self(), known, reachable, func(e relay.Entry) bool { return !m.peers[e.Name].isLinkSilent(m.maxIntervalLocked()) })
}

// self returns what relay.New needs to know about this entry.
func (m *Mesh) self() relay.Entry {
	return relay.Entry{Name: m.cfg.Self.Name, Zone: m.cfg.Self.Zone, Capacity: m.cfg.Capacity}
}

// isLinkSilent reports whether a peer has stopped sending over its own link because
// it is paused, cut off or dead. Such a peer is not used as a hub, even before it
// counts as silent. Time during which this process itself was paused doesn't count.
func (p *peer) isLinkSilent(maxInterval time.Duration) bool {
	if p.links > 0 {
		return min(time.Since(p.directAt), time.Since(p.graceAt)) > maxInterval+hubMargin
	}
	return time.Since(p.linkLostAt) < lostLinkPeriod
}

// adjustLinks dials the peers that this entry must send tallies or messages to, and
// closes links that are no longer needed.
func (m *Mesh) adjustLinks(ctx context.Context) {
	m.replan()
	now := time.Now()
	m.mu.Lock()
	wanted := m.tallyTargets(now)
	tallyAddrs := len(wanted)
	for name := range m.requestedLinks {
		if p := m.peers[name]; p != nil && p.addr != "" && p.mayExist() {
			wanted = append(wanted, p.addr)
		}
	}
	for addr, d := range m.dials {
		sendsTallies := slices.Contains(wanted[:tallyAddrs], addr) || !slices.Contains(wanted[tallyAddrs:], addr)
		if sendsTallies && !d.sendsTallies {
			// The peer missed the tallies sent meanwhile, so it needs a full one.
			d.needsFull, d.isRelayTarget = true, false
		}
		d.sendsTallies = sendsTallies
		if d.peer == "" || slices.Contains(wanted, addr) {
			d.neededAt = now
		}
		if now.Sub(d.neededAt) > unusedLinkTTL {
			d.stop()
		}
	}
	m.mu.Unlock()
	for _, addr := range wanted {
		m.startDial(ctx, addr)
	}
}

// tallyTargets returns the addresses of the peers to which this entry must send its
// tallies directly. A peer is a target because of the plan, or because one of the
// two lacks tallies of the other. Two entries that can connect therefore exchange
// tallies even if the hubs fail. It is called with mu held.
func (m *Mesh) tallyTargets(now time.Time) []string {
	var out, extra []string
	for name, p := range m.peers {
		if p.addr == "" || !p.mayExist() {
			continue
		}
		if p.isReachable && m.plan.HasLink(m.self(), p.entry(name)) {
			out = append(out, p.addr)
		} else if !p.isReachable || now.Sub(p.gapReportedAt) < gapReportPeriod {
			extra = append(extra, p.addr)
		}
	}
	if len(extra) > maxExtraLinks {
		slices.Sort(extra)
		from := int(now.Sub(m.start)/extraLinkPeriod) * maxExtraLinks % len(extra)
		extra = append(extra[from:], extra[:from]...)[:maxExtraLinks]
	}
	return append(out, extra...)
}

// startDial starts a goroutine that dials an address, unless one exists.
func (m *Mesh) startDial(ctx context.Context, addr string) {
	if addr == "" || addr == m.cfg.Listen {
		return
	}
	m.mu.Lock()
	if m.dials[addr] != nil {
		m.mu.Unlock()
		return
	}
	ctx, stop := context.WithCancel(ctx)
	d := &dial{neededAt: time.Now(), stop: stop, sendsTallies: true}
	m.dials[addr] = d
	m.mu.Unlock()
	m.spawn(func() {
		defer stop()
		m.dialLoop(ctx, addr, d)
		m.mu.Lock()
		delete(m.dials, addr)
		m.mu.Unlock()
	})
}

// dialLoop keeps a link to addr until ctx ends or no known entry has the address.
func (m *Mesh) dialLoop(ctx context.Context, addr string, d *dial) {
	dialer := net.Dialer{Timeout: dialTimeout}
	began := time.Now()
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err == nil {
			err = m.runLink(ctx, conn, addr, d)
		}
		if errors.Is(err, errOwnAddress) || !m.shouldRedial(addr, began) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(dialPause):
		}
	}
}

// shouldRedial reports whether to dial an address again. A seed is always dialled
// again, any other address for knownPeriod after began and while a known peer has it.
func (m *Mesh) shouldRedial(addr string, began time.Time) bool {
	if time.Since(began) < knownPeriod || slices.Contains(m.cfg.Seeds, addr) {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.addr == addr && p.isKnown() {
			return true
		}
	}
	return false
}

// errOwnAddress reports that a dialled address belongs to this entry.
var errOwnAddress = errors.New("mesh: the address is this entry's own")

// runLink runs one link that this entry dialled.
func (m *Mesh) runLink(ctx context.Context, conn net.Conn, addr string, d *dial) error {
	defer conn.Close()
	hello, err := wire.Handshake(ctx, conn, m.cfg.Self, m.cfg.Keys)
	if err != nil {
		return err
	}
	if hello.Name == m.cfg.Self.Name {
		return errOwnAddress
	}
	link := wire.New(conn, hello, wire.Config{Heartbeat: heartbeat})
	m.mu.Lock()
	m.peer(hello.Name).addr = addr
	d.link, d.needsFull, d.isRelayTarget, d.peer = link, true, false, hello.Name
	m.mu.Unlock()
	logs.Info(m.cfg.Log, logs.EventLinkUp, zap.String("peer", hello.Name), zap.String("remote", addr))
	err = link.Run(ctx, func(msg wire.Message) { m.handleReply(hello.Name, msg) })
	m.mu.Lock()
	d.link = nil
	m.mu.Unlock()
	if m.cfg.OnLinkClosed != nil {
		m.cfg.OnLinkClosed(hello.Name)
	}
	if ctx.Err() != nil {
		logs.Info(m.cfg.Log, logs.EventLinkClosed, zap.String("peer", hello.Name), zap.String("remote", addr))
		return err
	}
	logs.Warn(m.cfg.Log, logs.EventLinkLost, zap.String("peer", hello.Name), zap.String("remote", addr), zap.Error(err))
	return err
}
