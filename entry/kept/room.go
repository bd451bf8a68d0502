package kept

import (
	"math"
	"net"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
)

const (
	// callerFilesShare is the share of the descriptors of the process that callers' connections
	// may take. The rest is for connections to endpoints, peers and the platform.
	callerFilesShare = 0.75
	// callerMemoryShare is the share of the memory of the process that connections without
	// requests may take, with connMemory bytes each.
	callerMemoryShare = 0.5
	connMemory        = 16 << 10
	// roomShare is the share of the connections that are closed at once to make room. Looking
	// for them takes time in proportion to the number of all.
	roomShare = 1.0 / 16
)

// MaxConns returns how many connections of callers a process may hold that may take memory bytes.
func MaxConns(memory int64) int {
	n := callerMemoryShare * float64(memory) / connMemory
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil {
		n = min(n, callerFilesShare*float64(files.Cur))
	}
	return max(int(n), 1)
}

// add adds a connection to the set. It returns false if there are Config.MaxConns and none of them
// can be closed.
func (s *Set) add(c *conn) bool {
	if s.isFull() && !s.makeRoom() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return true
}

func (s *Set) isFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.MaxConns > 0 && len(s.conns) >= s.cfg.MaxConns
}

// makeRoom closes the connections that have waited longest for the head of a request, or, if there
// are none, those that have been idle longest. It reports whether it closed any. Those that carry a
// request stay open.
func (s *Set) makeRoom() bool {
	var waiting, idle []*conn
	since := make(map[*conn]time.Time)
	for _, c := range s.connections() {
		c.mu.Lock()
		p := c.phase
		since[c] = c.phaseSince
		c.mu.Unlock()
		switch {
		case p == phaseIdle:
			idle = append(idle, c)
		case (p == phaseNew || p == phaseReading) && time.Since(since[c]) > newConnGrace:
			waiting = append(waiting, c)
		}
	}
	oldestFirst := func(a, b *conn) int { return since[a].Compare(since[b]) }
	slices.SortFunc(waiting, oldestFirst)
	slices.SortFunc(idle, oldestFirst)
	n := int(math.Ceil(roomShare * float64(s.cfg.MaxConns)))
	return closeUnused(waiting[:min(n, len(waiting))]) || closeUnused(idle[:min(n, len(idle))])
}

// closeUnused closes those of the connections that still carry no request, and reports whether it
// closed any.
func closeUnused(conns []*conn) bool {
	closed := false
	for _, c := range conns {
		if c.closeIf(NoRoom, func(time.Duration) (time.Duration, bool) {
			return 0, c.phase == phaseNew || c.phase == phaseReading || c.phase == phaseIdle && c.isUnused()
		}) {
			closed = true
		}
	}
	return closed
}

// reject closes a connection for which there is no room. The caller learns at once that nothing was
// read.
func (s *Set) reject(nc net.Conn) {
	nc.Close()
	s.cfg.Metrics.Counter("connections_closed", NoRoom.label()).Inc(1)
	logs.Info(s.cfg.Log, logs.EventConnectionClosed, zap.Stringer("why", NoRoom), zap.Stringer("caller", nc.RemoteAddr()))
}
