// Package speed estimates how much longer than usual work takes at an endpoint at this moment,
// from what the endpoint states in its answers.
//
// An endpoint that is slowed for half a second is overtaken by its statements long before the
// lasting estimate of its pace (package admit) can follow. The two estimates are separate: times
// that were measured during a slow spell are corrected by the slowdown before they count for
// the lasting pace, so that the endpoint is used again soon after the spell.
//
// The package uses no network, clock or random source.
package speed

import (
	"math"
	"time"
)

const (
	// MinPercent is the smallest statement that is believed.
	MinPercent = 1
	// MaxPercent is the largest statement that is believed.
	MaxPercent = 10_000
	// HalfLife is the time in which a statement loses half of its effect: half of a usual slow
	// spell of 600 ms, so that the endpoint is used again soon after the spell.
	HalfLife = 300 * time.Millisecond
	// maxFactor bounds the momentary factor. An endpoint that is ten times slower than usual
	// meets no target, and the effect of a larger figure would last longer.
	maxFactor = 10
	// minFactor is the smallest factor above one. Predictions are less accurate than this.
	minFactor = 1.02
	// maxCorrection bounds the factor by which measured times are corrected.
	maxCorrection = 4
	// staleAfter is the age at which a statement has no effect any more. Nearly nothing is
	// left by then of any factor that meets a target.
	staleAfter = 2 * time.Second
	// usualRate is by how much the logarithm of the usual factor changes in a second. A figure
	// that is 2.5 times too high all the time is the usual one after nine seconds. One that is
	// high for less than half of the time never is.
	usualRate = 0.1
	// maxUsualStep bounds the time for which one statement changes the usual factor.
	maxUsualStep = time.Second
	// newsThreshold is the relative difference from which a statement is news. Smaller ones
	// change no placement.
	newsThreshold = 0.1
)

// decayTime is HalfLife divided by the natural logarithm of two.
const decayTime = 432_808_512 * time.Nanosecond

// Estimate is the momentary slowdown of one endpoint. The zero value is that of an endpoint that
// has stated nothing. An Estimate is owned by one goroutine.
type Estimate struct {
	// isKnown is set once the endpoint has stated a factor.
	isKnown bool
	// at is the time of the last statement.
	at time.Duration
	// stated is the factor as stated, relative the same divided by the usual one.
	stated, relative float64
	// logUsual is the logarithm of the time-weighted median of the stated factors, between
	// the logarithms of 1/maxCorrection and maxCorrection. Only deviations from the usual
	// factor have an effect, so that an endpoint whose figures are too high or too low all
	// the time is treated like one that states nothing.
	logUsual float64
	// integral is Clock at the time at.
	integral time.Duration
}

// Observe records that the endpoint stated, at a time, that work takes percent hundredths of its
// usual time. It returns false if the figure is not believed.
func (e *Estimate) Observe(now time.Duration, percent int) bool {
	if percent < MinPercent || percent > MaxPercent {
		return false
	}
	if now < e.at {
		// A newer statement is known.
		return true
	}
	e.integral = e.Clock(now)
	if e.isKnown {
		e.updateUsual(now)
	}
	e.isKnown, e.at, e.stated = true, now, float64(percent)/100
	e.relative = min(max(e.stated/math.Exp(e.logUsual), 1/float64(maxCorrection)), maxFactor)
	return true
}

// updateUsual moves the usual factor towards the one that held since the last statement.
func (e *Estimate) updateUsual(now time.Duration) {
	const bound = 2 * math.Ln2 // the logarithm of maxCorrection
	step := usualRate * min(now-e.at, maxUsualStep).Seconds()
	diff := math.Log(decay(e.stated, now-e.at)) - e.logUsual
	e.logUsual = min(max(e.logUsual+min(max(diff, -step), step), -bound), bound)
}

// Known reports whether the endpoint has recently stated a factor.
func (e *Estimate) Known(now time.Duration) bool { return e.isKnown && now-e.at < staleAfter }

// Relative returns the last stated factor divided by the usual one, zero if there is none.
func (e *Estimate) Relative() float64 { return e.relative }

// Factor returns how many times as long as usual work takes at the endpoint, at least one: an
// endpoint that states that it is faster than usual gains nothing.
func (e *Estimate) Factor(now time.Duration) float64 {
	if !e.Known(now) {
		return 1
	}
	if f := decay(e.relative, now-e.at); f >= minFactor {
		return f
	}
	return 1
}

// Clock returns the integral of the stated factors over time. The difference between two of its
// values divided by the elapsed time is the mean factor in between.
func (e *Estimate) Clock(now time.Duration) time.Duration {
	if !e.isKnown {
		return now
	}
	age := max(now-e.at, 0)
	return e.integral + age + time.Duration((e.relative-1)*float64(decayTime)*(1-math.Exp2(-float64(age)/float64(HalfLife))))
}

// IsNews reports whether a factor that an endpoint states now, in percent, differs notably from
// what is left of an older one.
func IsNews(stated, older int, age time.Duration) bool {
	factor := func(percent int) float64 { return max(float64(percent)/100, 1) }
	return math.Abs(factor(stated)/decay(factor(older), age)-1) > newsThreshold
}

// Correction bounds the mean factor of a time that was measured.
func Correction(mean float64) float64 { return min(max(mean, 1.0/maxCorrection), maxCorrection) }

// Stretch returns how long work of the usual duration d takes that starts while everything takes
// factor times as long, if the factor decays to one.
func Stretch(d time.Duration, factor float64) time.Duration {
	if factor <= 1 || d <= 0 {
		return d
	}
	return d + time.Duration(float64(decayTime)*math.Log(factor-(factor-1)*math.Exp(-float64(d)/float64(decayTime))))
}

// decay returns what is left of a factor after a time.
func decay(factor float64, age time.Duration) float64 {
	if factor == 1 {
		return 1
	}
	return 1 + (factor-1)*math.Exp2(-float64(max(age, 0))/float64(HalfLife))
}
