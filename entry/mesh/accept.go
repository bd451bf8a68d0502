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

// maxLinks bounds the number of accepted links.
const maxLinks = 1024

// errTooManyLinks is logged for a link beyond maxLinks.
var errTooManyLinks = errors.New("mesh: too many links: look for processes that should not dial this entry")

// accept accepts links from other entries until ctx ends.
func (m *Mesh) accept(ctx context.Context, ln net.Listener) {
	slots := make(chan struct{}, maxLinks)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			// Without free file descriptors Accept fails at once, so pause before
			// the next call.
			logs.Warn(m.cfg.Log, logs.EventFailed, zap.String("what", "accept"), zap.Error(err))
			time.Sleep(dialPause)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			logs.Warn(m.cfg.Log, logs.EventLinkRefused, zap.String("remote", conn.RemoteAddr().String()), zap.Error(errTooManyLinks))
			conn.Close()
			continue
		}
		m.spawn(func() {
			m.serveLink(ctx, conn)
			<-slots
		})
	}
}

// serveLink runs one link that another entry dialled. The service of the peer's
// placement requests begins with the first of them.
func (m *Mesh) serveLink(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	hello, err := wire.Handshake(ctx, conn, m.cfg.Self, m.cfg.Keys)
	if err != nil {
		logs.Warn(m.cfg.Log, logs.EventLinkRefused, zap.String("remote", conn.RemoteAddr().String()), zap.Error(err))
		return
	}
	link := wire.New(conn, hello, wire.Config{Heartbeat: heartbeat})
	m.countLink(hello, true)
	defer m.countLink(hello, false)
	var handlePlacement func(wire.Message)
	endPlacements := func() {}
	defer func() { endPlacements() }()
	defer func() {
		if handlePlacement != nil {
			m.addPlacementLinks(-1)
		}
	}()
	link.Run(ctx, func(msg wire.Message) {
		switch t := msg.(type) {
		case *wire.PlaceRequest, *wire.PlaceReport, *wire.PlaceBookings:
			if handlePlacement == nil {
				if m.cfg.ServePlacements == nil {
					return
				}
				handlePlacement, endPlacements = m.cfg.ServePlacements(ctx, hello.Name, hello.Zone, func(reply wire.Message) error { return m.sendReply(link, reply) })
				m.addPlacementLinks(1)
			}
			if r, ok := t.(*wire.PlaceRequest); ok && !m.readsPlaceExtensions(link) {
				// The reply could not carry the plan of a return.
				r.Fingerprint = 0
			}
			handlePlacement(t)
		case *wire.Tally:
			m.handleTally(origin{hello.Name, hello.Zone, hello.Incarnation}, relay.Direct, t, nil)
		case *wire.Relay:
			from := m.noteHub(hello)
			for i := range t.Tallies {
				m.handleRelayed(from, &t.Tallies[i])
			}
		case *wire.Snapshot:
			m.cfg.OnSnapshot(t)
		case *wire.StreamOrigins, *wire.OriginQuery:
			if m.cfg.OnOrigins != nil {
				m.cfg.OnOrigins(t, link.Send)
			}
		}
	})
}

// errNotRead is returned for a message that the peer's version does not read.
var errNotRead = errors.New("mesh: the peer's version does not read this message")

// sendReply sends an answer to a placement request over a link that the peer dialled.
func (m *Mesh) sendReply(link *wire.Link, msg wire.Message) error {
	if !m.readsPlaceExtensions(link) {
		if msg = wire.Basic(msg); msg == nil {
			return errNotRead
		}
	}
	return link.Send(msg)
}

// readsPlaceExtensions reports whether the process at the other end of a link has stated that it
// reads place messages that wire.Basic changes.
func (m *Mesh) readsPlaceExtensions(link *wire.Link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[link.Peer().Name].readsExtensionsOver(link)
}

// readsExtensionsOver is Mesh.readsPlaceExtensions for a link to the peer, which may be nil. An
// earlier process of the peer may have been of another version. It is called with mu held.
func (p *peer) readsExtensionsOver(link *wire.Link) bool {
	return p != nil && p.readsPlaceExtensions && p.incarnation == link.Peer().Incarnation
}

// entry returns what relay.New needs to know about a peer.
func (p *peer) entry(name string) relay.Entry {
	return relay.Entry{Name: name, Zone: p.zone, Capacity: p.capacity}
}

// countLink counts a link from a peer that was opened (up) or closed.
func (m *Mesh) countLink(hello wire.Hello, up bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(hello.Name)
	now := time.Now()
	if up {
		p.links++
		p.directAt = now
		return
	}
	p.links--
	if p.links == 0 {
		p.linkLostAt = now
	}
}

// noteHub records that a hub relayed tallies to this entry, and returns the source
// of these tallies.
func (m *Mesh) noteHub(hello wire.Hello) relay.Source {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(hello.Name).directAt = time.Now()
	if m.plan.SameGroup(relay.Entry{Name: hello.Name, Zone: hello.Zone}) {
		return relay.OwnHub
	}
	return relay.OtherHub
}

// origin is the process that sent a tally.
type origin struct {
	name, zone  string
	incarnation uint64
}

// handleRelayed decodes and handles a tally that a hub relayed.
func (m *Mesh) handleRelayed(from relay.Source, r *wire.RelayedTally) {
	t, err := r.Decode()
	if err != nil {
		logs.Warn(m.cfg.Log, logs.EventBadFrame, zap.String("peer", r.Name), zap.Error(err))
		return
	}
	m.handleTally(origin{r.Name, r.Zone, r.Incarnation}, from, t, r.Body)
}

// handleTally processes a tally of another entry. body is the encoded tally if a
// hub relayed it, nil if it came directly.
func (m *Mesh) handleTally(o origin, from relay.Source, t *wire.Tally, body []byte) {
	if o.name == m.cfg.Self.Name {
		return
	}
	m.tallyMu.Lock()
	defer m.tallyMu.Unlock()
	newProcess, ok := m.recordTally(o, from, t)
	if !ok {
		return
	}
	m.cfg.OnTally(PeerTally{Peer: o.name, NewProcess: newProcess, Tally: t})
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peer(o.name); !p.hasGap {
		p.seq = t.Seq
	}
	m.enqueueRelay(o, from, t, body)
}

// recordTally updates the peer from a tally. ok reports whether the tally is new
// and can be used, newProcess whether it is the first one of its process.
func (m *Mesh) recordTally(o origin, from relay.Source, t *wire.Tally) (newProcess, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(o.name)
	now := time.Now()
	if from == relay.Direct {
		p.directAt = now
	}
	if slices.Contains(t.MissingFrom, m.cfg.Self.Name) {
		p.gapReportedAt = now
	}
	newProcess = p.incarnation != o.incarnation
	switch {
	case newProcess && !t.Full:
		// Either earlier tallies of this process are missing, or the process has
		// already ended.
		p.hasGap, p.namedAt = true, now
		return false, false
	case !newProcess && t.Seq <= p.seq && p.isReachable && !(p.hasGap && t.Full):
		return false, false
	}
	p.hasGap = !t.Full && (p.hasGap || t.Seq != p.seq+1)
	p.incarnation = o.incarnation
	if !p.isReachable {
		logs.Info(m.cfg.Log, logs.EventPeerRecovered, zap.String("peer", o.name), zap.Int64("config", t.ConfigRevision), zap.Int64("roster", t.RosterRevision))
	}
	p.zone, p.tallyAt, p.isReachable = o.zone, now, true
	if t.Addr != "" {
		p.addr = t.Addr
	}
	p.config, p.configAhead, p.roster = t.ConfigRevision, t.ConfigAhead, t.RosterRevision
	if newProcess || t.Capacity > 0 {
		p.capacity = t.Capacity
	}
	if t.Full {
		p.readsExtensions, p.readsOrigins, p.readsPlaceExtensions = t.AcceptsMoreFields(), t.ReadsOrigins(), t.ReadsPlaceExtensions()
	}
	for _, e := range t.Entries {
		m.noteNamed(e, now)
	}
	return newProcess, true
}

// noteNamed records that a peer named an entry. It is called with mu held.
func (m *Mesh) noteNamed(e wire.EntryAddr, now time.Time) {
	if e.Name == m.cfg.Self.Name {
		return
	}
	p := m.peer(e.Name)
	p.namedAt = now
	if p.addr == "" {
		p.addr = e.Addr
	}
}
