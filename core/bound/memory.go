package bound

import "time"

const (
	// initialFill is the first value of memory.fill, the share of the KV memory
	// that may be planned for requests; minFill and maxFill bound it. It may
	// exceed one, because requests are at different points of their answers and
	// seldom need their maximum at the same time.
	initialFill, minFill, maxFill = 0.7, 0.5, 1.5
	// highUse is the used share of the memory above which fill is cut. lowUse
	// is the share below which fill grows if it has held work back.
	highUse, lowUse = 0.95, 0.85
	fillCutFactor   = 0.9
	fillStep        = 0.003
	// initialTokenSize is the memory of a token in blocks of the usual size, 16
	// tokens.
	initialTokenSize = 1.0 / 16
	// tokenSizeRise is the fraction of the difference by which tokenSize
	// follows a larger value in a report. tokenSizeDecay is the factor by which
	// it may shrink with each report.
	tokenSizeRise, tokenSizeDecay = 0.5, 0.995
	// reportTimeError is the accuracy to which the time of a report is known.
	reportTimeError = 150 * time.Millisecond
	// minUsedShare is the used share of the memory below which a report is not
	// used to determine the size of a token.
	minUsedShare = 0.02
	// historyInterval is the minimum time between two elements of the history
	// with which reports are compared, and historySize the number of its
	// elements.
	historyInterval = 20 * time.Millisecond
	historySize     = 256
)

// memory keeps the work in flight within the endpoint's KV memory. When the
// memory overflows, the engine discards what it has computed for a request to
// let others finish, and that prompt is computed twice.
type memory struct {
	kvTotal int64
	// tokenSize is the memory that one estimated token needs, in the unit of
	// the reports. It follows the largest recent values. It is initialTokenSize
	// until the first usable report, which sets sizeKnown.
	tokenSize float64
	sizeKnown bool
	fill      float64
	// workBlocked is set if work has been held back since the last report because
	// it did not fit.
	workBlocked bool
	// history is a ring buffer of the tokens in flight, with which delayed
	// reports are compared.
	history   [historySize]inFlightTokens
	nextIndex int
}

// inFlightTokens is the number of tokens in flight at one time.
type inFlightTokens struct {
	at     time.Duration
	tokens int64
}

func newMemory() memory { return memory{tokenSize: initialTokenSize, fill: initialFill} }

// recordTokens adds the tokens in flight to the history.
func (m *memory) recordTokens(now time.Duration, tokens int64) {
	last := &m.history[(m.nextIndex+historySize-1)%historySize]
	if now-last.at < historyInterval && last.at > 0 {
		last.tokens = max(last.tokens, tokens)
		return
	}
	m.history[m.nextIndex] = inFlightTokens{at: now, tokens: tokens}
	m.nextIndex = (m.nextIndex + 1) % historySize
}

// maxTokensAround returns the maximum number of tokens in flight around a time
// in the past.
func (m *memory) maxTokensAround(t time.Duration) (maxTokens int64) {
	for i := 1; i <= historySize; i++ {
		n := &m.history[(m.nextIndex+historySize-i)%historySize]
		if n.at <= t+reportTimeError {
			maxTokens = max(maxTokens, n.tokens)
		}
		if n.at <= t-reportTimeError {
			break
		}
	}
	return maxTokens
}

func (m *memory) observeReport(now time.Duration, r Report) {
	if r.KVTotal <= 0 {
		return
	}
	if r.KVTotal != m.kvTotal {
		m.kvTotal, m.tokenSize, m.sizeKnown, m.fill = r.KVTotal, initialTokenSize, false, initialFill
	}
	m.learnTokenSize(m.maxTokensAround(now-r.Age), r.KVUsed)
	usedShare := float64(r.KVUsed) / float64(r.KVTotal)
	switch {
	case usedShare > highUse:
		m.fill = max(m.fill*fillCutFactor, minFill)
	case usedShare < lowUse && m.workBlocked && m.sizeKnown:
		m.fill = min(m.fill+fillStep, maxFill)
	}
	m.workBlocked = false
}

func (m *memory) learnTokenSize(tokens, used int64) {
	if tokens <= 0 || float64(used) < minUsedShare*float64(m.kvTotal) {
		return
	}
	tokenSize := float64(used) / float64(tokens)
	if !m.sizeKnown {
		m.tokenSize, m.sizeKnown = tokenSize, true
		return
	}
	if tokenSize > m.tokenSize {
		m.tokenSize += (tokenSize - m.tokenSize) * tokenSizeRise
		return
	}
	m.tokenSize = max(tokenSize, m.tokenSize*tokenSizeDecay)
}

// fits reports whether the given number of tokens may be in flight.
func (m *memory) fits(tokens int64) bool {
	if m.kvTotal == 0 || float64(tokens)*m.tokenSize <= m.fill*float64(m.kvTotal) {
		return true
	}
	m.workBlocked = true
	return false
}
