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
	// heartbeat is that of the links; one that went silent is dialled again
	// after three.
	heartbeat = 300 * time.Millisecond
	// dialTime and dialPause bound how fast a lost peer is tried.
	dialTime  = 500 * time.Millisecond
	dialPause = 300 * time.Millisecond
	// hubMargin is by how much longer than the time between two tallies a peer may
	// tell nothing over its own link before it is no hub any more: what its group
	// hears would wait for it.
	hubMargin = 200 * time.Millisecond
	// brokeFor is how long a peer whose link broke is no hub: until it either
	// counts as silent or has come back.
	brokeFor = 2 * time.Second
	// unlinkAfter is how long a link is kept that nobody needs any more, so that
	// a peer that comes and goes does not cost a link each time.
	unlinkAfter = 3 * time.Second
	// lackFor is how long a peer that said that it does not hear this entry is
	// told directly: several of its tallies.
	lackFor = 3 * time.Second
	// seekMost is how many entries that are not heard, or do not hear this one,
	// it links to at a time, seekTurn how long before it takes the next. After a
	// start of a whole fleet the first of them tell of all others.
	seekMost = 32
	seekTurn = 2 * time.Second
)

// dial is one address that this entry tells its tallies to.
type dial struct {
	link *wire.Link
	// peer is the name that answered, empty before the first link.
	peer string
	// fresh is set until everything was told over the link, which last happened at
	// whole.
	fresh bool
	whole time.Time
	// passed is set once everything was passed on over the link by this entry as
	// a hub, so that what it passes on next follows on that.
	passed bool
	// needed is when the link was last needed.
	needed time.Time
	// tells is set while this entry tells its tallies over the link. Others carry
	// messages of Send only.
	tells bool
	stop  context.CancelFunc
}

// replan decides anew who tells whom.
func (m *Mesh) replan() {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := 1
	var heard []relay.Entry
	for name, p := range m.peers {
		if !p.known() {
			continue
		}
		known++
		if p.reached {
			heard = append(heard, p.entry(name))
		}
	}
	m.known = known
	m.plan = relay.New(m.self(), known, heard, func(e relay.Entry) bool { return !m.peers[e.Name].mute(m.alive()) })
}

func (m *Mesh) self() relay.Entry {
	return relay.Entry{Name: m.cfg.Self.Name, Zone: m.cfg.Self.Zone, Capacity: m.cfg.Capacity}
}

// mute reports whether a peer has stopped to tell over its own link: frozen, cut
// off or dead. The entries that depend on it as a hub must not wait until it
// counts as silent. What this process missed while it was stopped is spared.
func (p *peer) mute(alive time.Duration) bool {
	if p.links > 0 {
		return min(time.Since(p.direct), time.Since(p.spared)) > alive+hubMargin
	}
	return time.Since(p.broke) < brokeFor
}

// adjust dials the peers that this entry must tell and gives up the links that
// nobody needs.
func (m *Mesh) adjust(ctx context.Context) {
	m.replan()
	now := time.Now()
	m.mu.Lock()
	wanted := m.wants(now)
	told := len(wanted)
	for name := range m.asked {
		if p := m.peers[name]; p != nil && p.addr != "" && p.maybe() {
			wanted = append(wanted, p.addr)
		}
	}
	for addr, d := range m.dials {
		tells := slices.Contains(wanted[:told], addr) || !slices.Contains(wanted[told:], addr)
		if tells && !d.tells {
			// What it missed in between is told anew.
			d.fresh, d.passed = true, false
		}
		d.tells = tells
		if d.peer == "" || slices.Contains(wanted, addr) {
			d.needed = now
		}
		if now.Sub(d.needed) > unlinkAfter {
			d.stop()
		}
	}
	m.mu.Unlock()
	for _, addr := range wanted {
		m.reach(ctx, addr)
	}
}

// wants returns the addresses of the entries that this one must tell itself: by
// the plan, or because one of the two does not hear the other, so that whatever
// is wrong with the hubs, two entries that reach each other hear each other. It is
// called with mu held.
func (m *Mesh) wants(now time.Time) []string {
	var out, seek []string
	for name, p := range m.peers {
		if p.addr == "" || !p.maybe() {
			continue
		}
		if p.reached && m.plan.Tells(m.self(), p.entry(name)) {
			out = append(out, p.addr)
		} else if !p.reached || now.Sub(p.lacksUs) < lackFor {
			seek = append(seek, p.addr)
		}
	}
	if len(seek) > seekMost {
		slices.Sort(seek)
		from := int(now.Sub(m.start)/seekTurn) * seekMost % len(seek)
		seek = append(seek[from:], seek[:from]...)[:seekMost]
	}
	return append(out, seek...)
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
	ctx, stop := context.WithCancel(ctx)
	d := &dial{needed: time.Now(), stop: stop, tells: true}
	m.dials[addr] = d
	m.mu.Unlock()
	m.spawn(func() {
		defer stop()
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
	if time.Since(began) < knownFor || slices.Contains(m.cfg.Seeds, addr) {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.addr == addr && p.known() {
			return true
		}
	}
	return false
}

var errSelf = errors.New("mesh: the address is this entry's own")

// talk runs one link that this entry dialled.
func (m *Mesh) talk(ctx context.Context, conn net.Conn, addr string, d *dial) error {
	defer conn.Close()
	hello, err := wire.Handshake(ctx, conn, m.cfg.Self, m.cfg.Keys)
	if err != nil {
		return err
	}
	if hello.Name == m.cfg.Self.Name {
		return errSelf
	}
	link := wire.New(conn, hello, wire.Config{Heartbeat: heartbeat})
	m.mu.Lock()
	m.peer(hello.Name).addr = addr
	d.link, d.fresh, d.passed, d.peer = link, true, false, hello.Name
	m.mu.Unlock()
	logs.Info(m.cfg.Log, logs.EventLinkUp, zap.String("peer", hello.Name), zap.String("remote", addr))
	err = link.Run(ctx, func(msg wire.Message) { m.replied(hello.Name, msg) })
	m.mu.Lock()
	d.link = nil
	m.mu.Unlock()
	if m.cfg.Parted != nil {
		m.cfg.Parted(hello.Name)
	}
	if ctx.Err() != nil {
		logs.Info(m.cfg.Log, logs.EventLinkClosed, zap.String("peer", hello.Name), zap.String("remote", addr))
		return err
	}
	logs.Warn(m.cfg.Log, logs.EventLinkLost, zap.String("peer", hello.Name), zap.String("remote", addr), zap.Error(err))
	return err
}
