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

// maxLinks bounds accepted links.
const maxLinks = 1024

// errFull reports a link beyond maxLinks.
var errFull = errors.New("mesh: as many links as an entry takes: look for processes that dial it and should not")

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
			logs.Warn(m.cfg.Log, logs.EventFailed, zap.String("what", "accept"), zap.Error(err))
			time.Sleep(dialPause)
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			logs.Warn(m.cfg.Log, logs.EventLinkRefused, zap.String("remote", conn.RemoteAddr().String()), zap.Error(errFull))
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
	hello, err := wire.Handshake(ctx, conn, m.cfg.Self, m.cfg.Keys)
	if err != nil {
		logs.Warn(m.cfg.Log, logs.EventLinkRefused, zap.String("remote", conn.RemoteAddr().String()), zap.Error(err))
		return
	}
	link := wire.New(conn, hello, wire.Config{Heartbeat: heartbeat})
	m.linked(hello, true)
	defer m.linked(hello, false)
	var take func(wire.Message)
	end := func() {}
	defer func() { end() }()
	defer func() {
		if take != nil {
			m.serve(-1)
		}
	}()
	link.Run(ctx, func(msg wire.Message) {
		switch t := msg.(type) {
		case *wire.PlaceRequest, *wire.PlaceReport:
			if take == nil {
				if m.cfg.Serve == nil {
					return
				}
				take, end = m.cfg.Serve(ctx, hello.Zone, link.Send)
				m.serve(1)
			}
			take(t)
		case *wire.Tally:
			m.take(origin{hello.Name, hello.Zone, hello.Incarnation}, relay.Direct, t, nil)
		case *wire.Relay:
			from := m.touched(hello)
			for i := range t.Tallies {
				m.unpack(from, &t.Tallies[i])
			}
		case *wire.Snapshot:
			m.cfg.Took(t)
		}
	})
}

// entry returns what a plan needs to know of a peer.
func (p *peer) entry(name string) relay.Entry {
	return relay.Entry{Name: name, Zone: p.zone, Capacity: p.capacity}
}

// linked notes that a link of a peer has begun or ended.
func (m *Mesh) linked(hello wire.Hello, up bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(hello.Name)
	now := time.Now()
	if up {
		p.links++
		p.direct = now
		return
	}
	p.links--
	if p.links == 0 {
		p.broke = now
	}
}

// touched notes that a hub has passed something on, and returns what that is a
// source of.
func (m *Mesh) touched(hello wire.Hello) relay.Source {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(hello.Name).direct = time.Now()
	if m.plan.Near(relay.Entry{Name: hello.Name, Zone: hello.Zone}) {
		return relay.Within
	}
	return relay.Between
}

// origin is the process that told a tally.
type origin struct {
	name, zone  string
	incarnation uint64
}

// unpack takes in a tally that a hub passed on.
func (m *Mesh) unpack(from relay.Source, r *wire.RelayedTally) {
	t, err := r.Decode()
	if err != nil {
		logs.Warn(m.cfg.Log, logs.EventBadFrame, zap.String("peer", r.Name), zap.Error(err))
		return
	}
	m.take(origin{r.Name, r.Zone, r.Incarnation}, from, t, r.Body)
}

// take takes in a tally of another entry; body is the tally as it came by way of
// a hub, nil if it came directly.
func (m *Mesh) take(o origin, from relay.Source, t *wire.Tally, body []byte) {
	if o.name == m.cfg.Self.Name {
		return
	}
	m.taking.Lock()
	defer m.taking.Unlock()
	anew, ok := m.follows(o, from, t)
	if !ok {
		return
	}
	m.cfg.Heard(Heard{Peer: o.name, Anew: anew, Tally: t})
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peer(o.name); !p.gap {
		p.seq = t.Seq
	}
	m.keep(o, from, t, body)
}

// follows notes a tally and reports whether it is news, and whether it is the
// first of its process.
func (m *Mesh) follows(o origin, from relay.Source, t *wire.Tally) (anew, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(o.name)
	now := time.Now()
	if from == relay.Direct {
		p.direct = now
	}
	if slices.Contains(t.MissingFrom, m.cfg.Self.Name) {
		p.lacksUs = now
	}
	anew = p.incarnation != o.incarnation
	switch {
	case anew && !t.Full:
		// What the process told before is missing, or it is one that has ended.
		p.gap, p.named = true, now
		return false, false
	case !anew && t.Seq <= p.seq && p.reached && !(p.gap && t.Full):
		return false, false
	}
	p.gap = !t.Full && (p.gap || t.Seq != p.seq+1)
	p.incarnation = o.incarnation
	if !p.reached {
		logs.Info(m.cfg.Log, logs.EventPeerRecovered, zap.String("peer", o.name), zap.Int64("config", t.ConfigRevision), zap.Int64("roster", t.RosterRevision))
	}
	p.zone, p.heard, p.reached = o.zone, now, true
	if t.Addr != "" {
		p.addr = t.Addr
	}
	p.config, p.roster = t.ConfigRevision, t.RosterRevision
	if anew || t.Capacity > 0 {
		p.capacity = t.Capacity
	}
	if t.Full {
		p.readsOn = t.AcceptsMoreFields()
	}
	for _, e := range t.Entries {
		m.named(e, now)
	}
	return anew, true
}

// named notes that a peer knows of an entry; it is called with mu held.
func (m *Mesh) named(e wire.EntryAddr, now time.Time) {
	if e.Name == m.cfg.Self.Name {
		return
	}
	p := m.peer(e.Name)
	p.named = now
	if p.addr == "" {
		p.addr = e.Addr
	}
}
