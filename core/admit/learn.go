package admit

import (
	"math"
	"time"
)

// Defaults for an average engine or a fast service. They are replaced by observations
// within the first second.
const (
	defaultFirstEvent     = 25 * time.Millisecond
	defaultPerPromptToken = 20 * time.Microsecond
	defaultPerOutputToken = 5 * time.Millisecond
	// defaultWaitFactor fits answers whose lengths vary as those of text do: short answers
	// free their slots early.
	defaultWaitFactor = 0.5
)

const (
	// endpointWeight is the weight of one observation of an endpoint. About ten
	// observations, a few seconds at its usual load, determine its pace.
	endpointWeight = 0.15
	// poolWeight is the weight of one observation of any endpoint in the pace of the pool,
	// which is the initial pace of new endpoints.
	poolWeight = 0.05
	// longPromptTokens is the prompt length from which the time to the first event shows
	// the prefill pace. For shorter prompts, the fixed part dominates.
	longPromptTokens = 1000
	// waitFactorWeight is the weight of one observation of a wait; waits vary widely.
	// minWaitFactor and maxWaitFactor bound an observation.
	waitFactorWeight = 0.02
	minWaitFactor    = 0.02
	maxWaitFactor    = 3
	// minSpreadEndpoints is the number of endpoints needed to estimate how much they
	// differ.
	minSpreadEndpoints = 3
	// maxDeviationFactor bounds how far one observation may be from the average, because a
	// stall of the endpoint is not a change of its pace.
	maxDeviationFactor = 4
)

// Learner estimates the paces of the endpoints of one pool. It is owned by one goroutine.
type Learner struct {
	pool  Pace
	paces map[string]*Pace
}

// NewLearner returns a learner without observations.
func NewLearner() *Learner {
	return &Learner{
		pool:  Pace{FirstEvent: defaultFirstEvent, PerPromptToken: defaultPerPromptToken, PerOutputToken: defaultPerOutputToken, WaitFactor: defaultWaitFactor},
		paces: make(map[string]*Pace),
	}
}

// Pace returns the pace of an endpoint, or that of the pool if the endpoint has no
// observations.
func (l *Learner) Pace(id string) Pace {
	p := l.paces[id]
	if p == nil {
		return l.pool
	}
	pace := *p
	pace.WaitFactor = l.pool.WaitFactor
	return pace
}

// ObserveWait records how long a request waited for a slot, if a wait was predicted. The
// factor is learned per pool, because it depends on how the lengths of answers vary and not
// on the endpoint.
func (l *Learner) ObserveWait(predicted, actual time.Duration) {
	if predicted <= 0 {
		return
	}
	factor := min(max(float64(actual)/float64(predicted)*l.pool.WaitFactor, minWaitFactor), maxWaitFactor)
	l.pool.WaitFactor += waitFactorWeight * (factor - l.pool.WaitFactor)
}

// PaceSpread returns by how much the mean logarithm of the endpoints' paces exceeds that of
// the pool, to which fast endpoints contribute more, and their standard deviation. ok is
// false if too few endpoints have observations.
func (l *Learner) PaceSpread(ids []string, engines bool) (shift, deviation float64, ok bool) {
	logPace := func(p *Pace) float64 {
		if engines {
			return math.Log(max(float64(p.PerOutputToken), 1))
		}
		return math.Log(max(float64(p.FirstEvent), 1))
	}
	n, sum, squares := 0.0, 0.0, 0.0
	for _, id := range ids {
		if p := l.paces[id]; p != nil {
			n++
			sum += logPace(p)
			squares += logPace(p) * logPace(p)
		}
	}
	if n < minSpreadEndpoints {
		return 0, 0, false
	}
	mean := sum / n
	return max(mean-logPace(&l.pool), 0), math.Sqrt(max(squares/n-mean*mean, 0)), true
}

// Forget drops an endpoint.
func (l *Learner) Forget(id string) { delete(l.paces, id) }

// ObserveFirstEvent records the time to the first event of a request that found a free
// slot. promptTokens counts all prompt tokens that the engine had to process by then,
// including those of the request. slowdown is how many times as long as usual the endpoint said
// that work took there, one if it said nothing.
func (l *Learner) ObserveFirstEvent(id string, promptTokens int, took time.Duration, slowdown float64) {
	p := l.paceOf(id)
	if promptTokens < longPromptTokens {
		fixedPart := took - time.Duration(promptTokens)*p.PerPromptToken
		updateAverage(&p.FirstEvent, fixedPart, slowdown, endpointWeight)
		updateAverage(&l.pool.FirstEvent, fixedPart, slowdown, poolWeight)
		return
	}
	perToken := (took - p.FirstEvent) / time.Duration(promptTokens)
	updateAverage(&p.PerPromptToken, perToken, slowdown, endpointWeight)
	updateAverage(&l.pool.PerPromptToken, perToken, slowdown, poolWeight)
}

// ObserveOutput records the time taken by the tokens after the first event. slowdown is as for
// ObserveFirstEvent.
func (l *Learner) ObserveOutput(id string, tokens int, took time.Duration, slowdown float64) {
	if tokens <= 0 {
		return
	}
	p := l.paceOf(id)
	updateAverage(&p.PerOutputToken, took/time.Duration(tokens), slowdown, endpointWeight)
	updateAverage(&l.pool.PerOutputToken, took/time.Duration(tokens), slowdown, poolWeight)
}

func (l *Learner) paceOf(id string) *Pace {
	p := l.paces[id]
	if p == nil {
		start := l.pool
		p = &start
		l.paces[id] = p
	}
	return p
}

// updateAverage moves an average towards a new value by the given weight. The value was measured
// while work took slowdown times as long as usual, so that much of it does not count. The
// correction lowers it to the average at most: an endpoint that wrongly says that it is slow does
// not look faster for it. A value that differs from the average by more than maxDeviationFactor
// times is limited to that.
func updateAverage(avg *time.Duration, v time.Duration, slowdown, weight float64) {
	if corrected := time.Duration(float64(v) / slowdown); slowdown < 1 {
		v = corrected
	} else {
		v = max(corrected, min(v, *avg))
	}
	v = min(max(v, *avg/maxDeviationFactor), *avg*maxDeviationFactor)
	*avg += time.Duration(weight * float64(v-*avg))
}
