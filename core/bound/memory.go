package bound

import "time"

const (
	// startFill is the part of the KV memory that is planned for at the start,
	// leastFill and mostFill bound it. It may exceed one, because requests are
	// at different points of their answers and seldom need all they will need
	// at the same time.
	startFill, leastFill, mostFill = 0.7, 0.5, 1.5
	// tight is the used part of the memory above which the plan is cut, and
	// loose that below which it grows while it holds work back.
	tight, loose = 0.95, 0.85
	fillCut      = 0.9
	fillGrowth   = 0.003
	// startSize is the memory of a token in the usual blocks of 16.
	startSize = 1.0 / 16
	// sizeRise is the part of the way that the size of a token follows a larger
	// one, and sizeFade how fast a larger one is forgotten, with each report.
	sizeRise, sizeFade = 0.5, 0.995
	// around is how exactly the time of a report is known.
	around = 150 * time.Millisecond
	// leastPart is the part of the memory that must be in use for a report to
	// tell how much a token takes.
	leastPart = 0.02
	// noteEvery and notes bound the history that reports are compared with.
	noteEvery = 20 * time.Millisecond
	notes     = 256
)

// memory keeps the work in flight within the endpoint's KV memory. When it is
// over-filled the engine throws away what it has computed for a request to let
// others finish, and the prompt is computed twice.
type memory struct {
	total int64
	// size is the memory that one estimated token takes, in units of the
	// report: about the largest seen of late, or startSize until known is set
	// by the first useful report.
	size  float64
	known bool
	fill  float64
	// blocked is set while the plan has held work back since the last report.
	blocked bool
	// past is a ring of what was in flight, to compare late reports with.
	past [notes]note
	next int
}

type note struct {
	at     time.Duration
	tokens int64
}

func newMemory() memory { return memory{size: startSize, fill: startFill} }

// note remembers the tokens in flight.
func (m *memory) note(now time.Duration, tokens int64) {
	last := &m.past[(m.next+notes-1)%notes]
	if now-last.at < noteEvery && last.at > 0 {
		last.tokens = max(last.tokens, tokens)
		return
	}
	m.past[m.next] = note{at: now, tokens: tokens}
	m.next = (m.next + 1) % notes
}

// at returns the most tokens that were in flight around a time in the past.
func (m *memory) at(t time.Duration) (most int64) {
	for i := 1; i <= notes; i++ {
		n := &m.past[(m.next+notes-i)%notes]
		if n.at <= t+around {
			most = max(most, n.tokens)
		}
		if n.at <= t-around {
			break
		}
	}
	return most
}

func (m *memory) report(now time.Duration, r Report) {
	if r.KVTotal <= 0 {
		return
	}
	if r.KVTotal != m.total {
		m.total, m.size, m.known, m.fill = r.KVTotal, startSize, false, startFill
	}
	m.learn(m.at(now-r.Age), r.KVUsed)
	used := float64(r.KVUsed) / float64(r.KVTotal)
	switch {
	case used > tight:
		m.fill = max(m.fill*fillCut, leastFill)
	case used < loose && m.blocked && m.known:
		m.fill = min(m.fill+fillGrowth, mostFill)
	}
	m.blocked = false
}

func (m *memory) learn(tokens, used int64) {
	if tokens <= 0 || float64(used) < leastPart*float64(m.total) {
		return
	}
	seen := float64(used) / float64(tokens)
	if !m.known {
		m.size, m.known = seen, true
		return
	}
	if seen > m.size {
		m.size += (seen - m.size) * sizeRise
		return
	}
	m.size = max(seen, m.size*sizeFade)
}

// room reports whether so many tokens may be in flight.
func (m *memory) room(tokens int64) bool {
	if m.total == 0 || float64(tokens)*m.size <= m.fill*float64(m.total) {
		return true
	}
	m.blocked = true
	return false
}
