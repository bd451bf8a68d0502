package wire

import (
	"net"
	"sync"
	"time"
)

const (
	// busyHeartbeats is the number of heartbeat periods for which a link counts as
	// busy after its last message of a request.
	busyHeartbeats = 6
	// deadlineSteps is the number of steps in which a read or write deadline moves
	// during the time that it allows.
	deadlineSteps = 16
)

// liveness decides how often a link sends heartbeats and how long the peer may be
// silent. While a link carries requests, both follow the heartbeat period. On a link
// without requests, a heartbeat that reports no change is sent only once in a longer
// period. At 150 links per entry, the TCP and IP headers of a heartbeat and its
// acknowledgement, each second and in both directions, would take several times the
// bandwidth that a process may use for control traffic.
//
// A message of a request, sent or received, brings both ends back to the heartbeat
// period. So if a peer died unnoticed on an idle link, this is detected three
// heartbeats after the next request is offered to it.
type liveness struct {
	heartbeat, idleHeartbeat time.Duration
	conn                     net.Conn

	mu sync.Mutex
	// lastRequestAt is the time of the last message of a request in either direction,
	// and lastReceivedAt the time at which the last message of any kind arrived.
	lastRequestAt, lastReceivedAt time.Time
	// hasReceived is set once a message has arrived.
	hasReceived bool
	// readDeadline is the time at which the peer's silence is judged. The connection's
	// read deadline is later while bytes that have arrived are read.
	readDeadline time.Time
}

func newLiveness(conn net.Conn, heartbeat, idle time.Duration) *liveness {
	now := time.Now()
	return &liveness{heartbeat: heartbeat, idleHeartbeat: max(idle, heartbeat), conn: conn, lastRequestAt: now, lastReceivedAt: now}
}

// belongsToRequest reports whether a message of kind k counts as a message of a
// request, which makes a link busy. Every kind does that is not listed here.
func belongsToRequest(k Kind) bool {
	switch k {
	case KindHeartbeat, KindShedLevel, KindObjectUpdate, KindLeaseRequest, KindLeaseReply, KindFetch, KindFetchDone:
		return false
	}
	return true
}

// isBusy reports whether the link counts as carrying requests. The caller holds mu.
func (p *liveness) isBusy(now time.Time) bool {
	return now.Sub(p.lastRequestAt) < busyHeartbeats*p.heartbeat
}

// period returns the time between heartbeats. The caller holds mu.
func (p *liveness) period(now time.Time) time.Duration {
	if p.isBusy(now) {
		return p.heartbeat
	}
	return p.idleHeartbeat
}

// setReadDeadline sets the read deadline to three heartbeat periods after from. Until the
// first message these are the periods of a busy link, since a peer begins with a
// heartbeat. The caller holds mu.
func (p *liveness) setReadDeadline(from, now time.Time) error {
	period := p.heartbeat
	if p.hasReceived {
		period = p.period(now)
	}
	silence := period * MissedHeartbeats
	p.readDeadline = from.Add(silence + silence/deadlineSteps)
	return p.conn.SetReadDeadline(p.readDeadline)
}

// start sets the read deadline of a link that begins to read.
func (p *liveness) start(now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceivedAt = now
	return p.setReadDeadline(now, now)
}

// recordReceived notes that the peer is alive and extends the read deadline. It moves
// the deadline in steps, because most frames follow each other closely and moving the
// deadline costs more than decoding a frame.
func (p *liveness) recordReceived(now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceivedAt, p.hasReceived = now, true
	if p.readDeadline.Sub(now) >= p.period(now)*MissedHeartbeats {
		return nil
	}
	return p.setReadDeadline(now, now)
}

// allowReread extends the connection's read deadline just enough to read the bytes that
// have already arrived.
func (p *liveness) allowReread(now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn.SetReadDeadline(now.Add(p.heartbeat * MissedHeartbeats / deadlineSteps))
}

// extendIfAlive is called when the read deadline has passed. It reports whether the
// peer may be silent for longer because the link became idle before the deadline, and
// extends the deadline in this case. It does not look at the time after the deadline: if
// this process was paused, a link that was busy at the deadline would count as idle.
func (p *liveness) extendIfAlive(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	judgedAt := now
	if p.readDeadline.Before(now) {
		judgedAt = p.readDeadline
	}
	if !p.hasReceived || now.Sub(p.lastReceivedAt) >= p.period(judgedAt)*MissedHeartbeats {
		return false
	}
	return p.setReadDeadline(p.lastReceivedAt, now) == nil
}

// recordMessage notes that a message of kind k was sent or received. The first
// message of a request on an idle link shortens the read deadline from the idle
// period to the heartbeat period.
func (p *liveness) recordMessage(k Kind, now time.Time) error {
	if p.idleHeartbeat == p.heartbeat || !belongsToRequest(k) {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := !p.isBusy(now)
	p.lastRequestAt = now
	if !idle {
		return nil
	}
	return p.setReadDeadline(now, now)
}

// maySkip reports whether the link may skip a heartbeat that would be the n-th
// skipped in a row.
func (p *liveness) maySkip(n int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(n+1)*p.heartbeat <= p.period(now)
}

// sameHeartbeat reports whether b contains nothing new to a peer that has received a.
// A new configuration version alone is not worth a heartbeat: in a large fleet it
// changes every few seconds, and no peer acts on it.
func sameHeartbeat(a, b Message) bool {
	prev, ok := a.(*Heartbeat)
	next, nextOK := b.(*Heartbeat)
	return ok && nextOK && prev.Load == next.Load && prev.Leaving == next.Leaving && prev.Model == next.Model && prev.Version == next.Version
}
