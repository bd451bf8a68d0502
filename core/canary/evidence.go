package canary

import (
	"math"
	"time"
)

const (
	// epochCount is the number of epochs in the duration of an order. Epochs allow a fault
	// that begins late to be distinguished from what came before.
	epochCount = 6
	// maxCells bounds the evidence on one order.
	maxCells = 1 << 13
	// minReportInterval is the shortest time between two reports of evidence, and
	// reportIntervalPerEntry the shortest time per entry of the fleet. maxCellReports
	// bounds the number of cells in one report.
	minReportInterval      = 250 * time.Millisecond
	reportIntervalPerEntry = 5 * time.Millisecond
	maxCellReports         = 64
)

// CellKey identifies the answers counted in a Cell.
type CellKey struct {
	// Epoch is the epoch of the order in which the answers came.
	Epoch int
	Route string
	// Endpoint is empty for the old version, whose endpoints are counted together.
	Endpoint string
}

// Cell holds counts of answers.
type Cell struct {
	// Answers counts the answers with a result, Failed those that failed.
	Answers, Failed uint32
	// FirstEvents counts times to the first event. LogFirstEvents is the sum of the
	// logarithms of their ratios to the old version's median on the route.
	FirstEvents    uint32
	LogFirstEvents float64
	// TokenTimes and LogTokenTimes are the same for times per token.
	TokenTimes    uint32
	LogTokenTimes float64
}

func (c *Cell) add(o Cell) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	c.FirstEvents += o.FirstEvents
	c.LogFirstEvents += o.LogFirstEvents
	c.TokenTimes += o.TokenTimes
	c.LogTokenTimes += o.LogTokenTimes
}

// minus returns the difference between c and an earlier count o.
func (c Cell) minus(o Cell) Cell {
	return Cell{
		c.Answers - o.Answers, c.Failed - o.Failed, c.FirstEvents - o.FirstEvents, c.LogFirstEvents - o.LogFirstEvents,
		c.TokenTimes - o.TokenTimes, c.LogTokenTimes - o.LogTokenTimes,
	}
}

// SampleKind is the kind of a Sample.
type SampleKind uint8

// Kinds of samples.
const (
	// Succeeded is an answer with a result that is not a failure, Failed one that failed.
	Succeeded SampleKind = iota
	Failed
	// FirstEvent is a time to the first event, and TokenTime the time per token after it.
	FirstEvent
	TokenTime
)

// Sample is one observation of an answer at an endpoint.
type Sample struct {
	Pool, Version, Route, Endpoint string
	Kind                           SampleKind
	// Elapsed is the time of a FirstEvent or TokenTime sample. Unfinished is set if the
	// wait was given up after that time.
	Elapsed    time.Duration
	Unfinished bool
}

// Observe records a sample. Without a running order it only updates the usual times.
func (c *Controller) Observe(now time.Duration, s Sample) {
	if !c.Active() {
		return
	}
	p := c.pool(s.Pool)
	isTarget := p.target() != "" && s.Version == p.rollout.Target
	logRatio, known := 0.0, true
	if s.Kind == FirstEvent || s.Kind == TokenTime {
		logRatio, known = p.logRatio(s, isTarget)
	}
	if p.target() == "" || !known || !isTarget && !p.inService[s.Version] {
		return
	}
	r := p.rollout
	k := CellKey{Epoch: r.epoch(now), Route: s.Route}
	if isTarget {
		k.Endpoint = s.Endpoint
	}
	var cell Cell
	switch s.Kind {
	case Succeeded:
		cell.Answers = 1
	case Failed:
		cell.Answers, cell.Failed = 1, 1
	case FirstEvent:
		cell.FirstEvents, cell.LogFirstEvents = 1, logRatio
	case TokenTime:
		cell.TokenTimes, cell.LogTokenTimes = 1, logRatio
	}
	if r.addCell(r.ownCells, k, cell) {
		r.unreportedCells[k] = true
	}
}

// logRatio returns the logarithm of the ratio of a time to the old version's median. It
// updates the median unless the sample is from the target. known is false if too few times
// have been observed.
func (p *pool) logRatio(s Sample, isTarget bool) (ratio float64, known bool) {
	base := p.baselines[s.Route]
	if base == nil {
		base = new(baseline)
		p.baselines[s.Route] = base
	}
	m := &base.firstEvent
	if s.Kind == TokenTime {
		m = &base.tokenTime
	}
	ratio, known = m.logRatio(s.Elapsed)
	if s.Unfinished {
		return ratio, known && ratio > 0
	}
	if !isTarget {
		m.observe(s.Elapsed)
	}
	return ratio, known
}

// baseline holds the usual times of a route.
type baseline struct{ firstEvent, tokenTime median }

// median estimates the median of a series of times.
type median struct {
	value float64
	n     int
}

const (
	// minMedianSamples is the number of times needed to estimate a median.
	minMedianSamples = 8
	// maxLogRatio bounds the logarithm of a ratio to that of ten.
	maxLogRatio = 2.3
	// initialStep and finalStep are the relative steps by which one time moves a median, at
	// first and once it is settled.
	initialStep = 0.3
	finalStep   = 0.03
)

func (m *median) observe(d time.Duration) {
	v := max(float64(d), 1)
	m.n++
	if m.n == 1 {
		m.value = v
		return
	}
	step := 1 + max(initialStep/float64(m.n), finalStep)*2
	if v > m.value {
		m.value = min(m.value*step, v)
	} else {
		m.value = max(m.value/step, v)
	}
}

func (m *median) logRatio(d time.Duration) (ratio float64, known bool) {
	if m.n < minMedianSamples {
		return 0, false
	}
	return min(max(math.Log(max(float64(d), 1)/m.value), -maxLogRatio), maxLogRatio), true
}

// rollout is an order and its progress.
type rollout struct {
	Order
	// orderedAt is the time at which the order was given, as far as is known. countingSince
	// is the time since which this entry has counted its requests.
	orderedAt, countingSince time.Duration
	// runningAtOrder is set if this entry was running when the order was given. Otherwise
	// it may have used its share of the slack before a restart.
	runningAtOrder bool
	state          State
	endedAt        time.Duration
	// storedState is the state of the platform's object, or zero. A state stored at
	// replacedRevision or before belongs to an earlier order and is ignored.
	storedState      State
	replacedRevision int64
	// moved is set once this entry sends no more requests to the old version. movePending
	// is set by the first tally after that, and moveReported by the next one, when the
	// peers' counts of its requests include all those sent before the move.
	moved, movePending, moveReported bool
	movedAt                          time.Duration
	// inDoubt is set while the target's answers are worse than the old version's, but not
	// certainly enough to roll back.
	inDoubt bool
	// evaluatedAnswers is the number of the target's answers at the last evaluation.
	evaluatedAnswers int
	// targetRequests counts this entry's requests to the target, oldRequests those to the
	// old version, and oldByRoute the latter by route.
	targetRequests, oldRequests int
	oldByRoute                  map[string]int
	// ownCells holds the counts of this entry, peerCells those reported by each peer, and
	// allCells the sums. unreportedCells holds the keys of own cells that changed since
	// they were last reported.
	ownCells, allCells map[CellKey]Cell
	peerCells          map[string]map[CellKey]Cell
	unreportedCells    map[CellKey]bool
	// movedPeers holds the peers that have moved.
	movedPeers map[string]bool
	// evaluatedAt is the time of the last evaluation, and writtenAt the time at which a
	// state was last returned for writing.
	evaluatedAt, writtenAt time.Duration
	// orderUnreported is set until the order has been reported to peers.
	orderUnreported bool
}

func newRollout(o Order, now, age time.Duration) *rollout {
	return &rollout{
		Order: o, orderedAt: now - age, countingSince: now, state: Running, oldByRoute: make(map[string]int),
		ownCells: make(map[CellKey]Cell), allCells: make(map[CellKey]Cell), peerCells: make(map[string]map[CellKey]Cell),
		unreportedCells: make(map[CellKey]bool), movedPeers: make(map[string]bool), orderUnreported: true,
	}
}

func (r *rollout) epoch(now time.Duration) int {
	return max(int((now-r.orderedAt)*epochCount/max(r.Duration, 1)), 0)
}

// addCell adds to a cell of this entry or of a peer, and to the sum. It returns false if
// there are too many cells.
func (r *rollout) addCell(cells map[CellKey]Cell, k CellKey, c Cell) bool {
	sum, ok := r.allCells[k]
	if !ok && len(r.allCells) >= maxCells {
		return false
	}
	sum.add(c)
	r.allCells[k] = sum
	cell := cells[k]
	cell.add(c)
	cells[k] = cell
	return true
}

// targetAnswers returns the number of the target's answers.
func (r *rollout) targetAnswers() int {
	n := 0
	for k, c := range r.allCells {
		if k.Endpoint != "" {
			n += int(c.Answers)
		}
	}
	return n
}

// Report is the state of an order at one entry, as sent to its peers.
type Report struct {
	Order Order
	Age   time.Duration
	State State
	// Moved is set if the entry sends no more requests to the old version.
	Moved bool
	Cells []CellReport
}

// CellReport is one cell as counted by the reporting entry.
type CellReport struct {
	CellKey
	Cell
}

// Reports returns what has changed since the last call, or everything if resend is set.
func (c *Controller) Reports(now time.Duration, resend bool, entries int) []Report {
	var out []Report
	due := now-c.reportedAt >= max(minReportInterval, time.Duration(entries)*reportIntervalPerEntry)
	for _, p := range c.pools {
		r := p.rollout
		if r == nil {
			continue
		}
		moveReported := r.moveReported
		// The requests sent before the move were counted in the previous tally.
		r.moveReported, r.movePending = r.movePending, r.moved
		if resend {
			for k := range r.ownCells {
				r.unreportedCells[k] = true
			}
		}
		if !resend && !r.orderUnreported && moveReported == r.moveReported && (!due || len(r.unreportedCells) == 0) {
			continue
		}
		r.orderUnreported = false
		rep := Report{Order: r.Order, Age: max(now-r.orderedAt, 0), State: r.state, Moved: r.moveReported}
		if due || resend {
			rep.Cells = r.takeUnreportedCells()
		}
		out = append(out, rep)
	}
	if due {
		c.reportedAt = now
	}
	return out
}

// takeUnreportedCells returns the cells not yet reported, at most maxCellReports.
func (r *rollout) takeUnreportedCells() []CellReport {
	var out []CellReport
	for k := range r.unreportedCells {
		if len(out) == maxCellReports {
			break
		}
		out = append(out, CellReport{k, r.ownCells[k]})
		delete(r.unreportedCells, k)
	}
	return out
}

// Merge merges a peer's report.
func (c *Controller) Merge(now time.Duration, peer string, rep Report) {
	c.AddOrder(now, rep.Order, rep.Age)
	p := c.pools[rep.Order.Pool]
	if p == nil || p.rollout == nil || !p.rollout.sameOrder(rep.Order) {
		return
	}
	r := p.rollout
	// RolledBack takes precedence until the store has decided.
	if rep.State == RolledBack && r.storedState != Complete || rep.State == Complete && r.state == Running {
		c.adoptState(now, p, rep.State, "told by "+peer)
	}
	if rep.Moved {
		r.movedPeers[peer] = true
	}
	peerCells := r.peerCells[peer]
	if peerCells == nil {
		peerCells = make(map[CellKey]Cell)
		r.peerCells[peer] = peerCells
	}
	for _, cell := range rep.Cells {
		if cell.Answers >= peerCells[cell.CellKey].Answers && cell.FirstEvents >= peerCells[cell.CellKey].FirstEvents && cell.TokenTimes >= peerCells[cell.CellKey].TokenTimes {
			r.addCell(peerCells, cell.CellKey, cell.Cell.minus(peerCells[cell.CellKey]))
		}
	}
}

// ResetPeer records that a peer was restarted and counts from zero. What it reported before
// remains part of the evidence.
func (c *Controller) ResetPeer(peer string) {
	for _, p := range c.pools {
		if p.rollout != nil {
			delete(p.rollout.peerCells, peer)
			delete(p.rollout.movedPeers, peer)
		}
	}
}
