package wire

import (
	"net"
	"sync"
	"time"
)

const (
	// workHeartbeats is how many heartbeats a link counts as busy after the last
	// message that belongs to a request.
	workHeartbeats = 6
	// readSteps is how many times the read deadline moves in the time that a
	// peer may be silent.
	readSteps = 16
)

// pace is how often a link shows that its end is alive and how long the other
// end may be silent. While a link carries requests both follow the heartbeat.
// On a link without work a heartbeat that says nothing new is sent only once in
// a longer period. At 150 links an entry the headers of TCP and IP around a
// heartbeat and its acknowledgement, each second and in both directions, would
// take several times what a process may spend on control.
//
// A message of a request, sent or received, brings the heartbeat back at both
// ends. So a peer that died unnoticed on an idle link is found three heartbeats
// after the first request is offered to it.
type pace struct {
	heartbeat, idle time.Duration
	conn            net.Conn

	mu sync.Mutex
	// worked is when the last message of a request passed, heard when the last
	// message of any kind arrived.
	worked, heard time.Time
	// limit is the read deadline in force.
	limit time.Time
}

func newPace(conn net.Conn, heartbeat, idle time.Duration) *pace {
	now := time.Now()
	return &pace{heartbeat: heartbeat, idle: max(idle, heartbeat), conn: conn, worked: now, heard: now}
}

// work reports whether a message belongs to a request.
func work(k Kind) bool {
	switch k {
	case KindBeat, KindLevel, KindNews, KindLeaseAsk, KindLeaseAck, KindFetch, KindFetched:
		return false
	}
	return true
}

// busy is called with mu held.
func (p *pace) busy(now time.Time) bool { return now.Sub(p.worked) < workHeartbeats*p.heartbeat }

// period is called with mu held.
func (p *pace) period(now time.Time) time.Duration {
	if p.busy(now) {
		return p.heartbeat
	}
	return p.idle
}

// until sets the read deadline so that a peer may be silent from then on for
// three periods. It is called with mu held.
func (p *pace) until(from, now time.Time) error {
	silence := p.period(now) * MissedHeartbeats
	p.limit = from.Add(silence + silence/readSteps)
	return p.conn.SetReadDeadline(p.limit)
}

// listen sets the read deadline before a read. It moves in steps, because most
// frames follow each other closely and each move costs more than to decode a
// frame.
func (p *pace) listen(now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = now
	if p.limit.Sub(now) >= p.period(now)*MissedHeartbeats {
		return nil
	}
	return p.until(now, now)
}

// look sets the read deadline so that what has come can be read.
func (p *pace) look(now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = now.Add(p.heartbeat * MissedHeartbeats / readSteps)
	return p.conn.SetReadDeadline(p.limit)
}

// patient is called when the read deadline has passed. It reports whether the
// peer may be silent for longer, as when the link became idle meanwhile.
func (p *pace) patient(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.heard) >= p.period(now)*MissedHeartbeats {
		return false
	}
	return p.until(p.heard, now) == nil
}

// pass notes that a message of kind k was sent or received. The first message
// of a request on an idle link takes back the long patience with the peer.
func (p *pace) pass(k Kind, now time.Time) error {
	if p.idle == p.heartbeat || !work(k) {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := !p.busy(now)
	p.worked = now
	if !idle {
		return nil
	}
	return p.until(now, now)
}

// spares reports whether a heartbeat may be left out that would be the n-th in
// a row.
func (p *pace) spares(n int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(n+1)*p.heartbeat <= p.period(now)
}

// sameBeat reports whether b tells the peer nothing that a did not. The
// configuration's version alone is no reason to speak: it changes every few
// seconds in a large fleet and no peer acts on it.
func sameBeat(a, b Message) bool {
	x, ok := a.(*Beat)
	y, also := b.(*Beat)
	return ok && also && x.Load == y.Load && x.Leaving == y.Leaving && x.Model == y.Model && x.Version == y.Version
}
