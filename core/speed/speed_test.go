package speed

import (
	"math"
	"testing"
	"time"
)

// Guards against an endpoint that is avoided long after its slow spell, one that gains by praising
// itself, and figures that are believed although they are out of bounds or old.
func TestFactorDecays(t *testing.T) {
	for _, tt := range []struct {
		percent int
		age     time.Duration
		want    float64
	}{
		{250, 0, 2.5},
		{250, HalfLife, 1.75},
		{250, 2 * HalfLife, 1.375},
		{250, staleAfter, 1},
		{1, 0, 1},
		{10_000, 0, maxFactor},
		{10_000, staleAfter, 1},
		{0, 0, 1},
		{-250, 0, 1},
		{10_001, 0, 1},
		{math.MaxInt64, 0, 1},
	} {
		var e Estimate
		believed := e.Observe(time.Second, tt.percent)
		if believed {
			e.Observe(time.Second/2, 400)
		}
		if got := e.Factor(time.Second + tt.age); math.Abs(got-tt.want) > 1e-9 || believed != (tt.percent >= 1 && tt.percent <= 10_000) {
			t.Errorf("%d%% after %v: %v, want %v; believed %v", tt.percent, tt.age, got, tt.want, believed)
		}
	}
}

// An endpoint whose figure is too high all the time must be treated as usual soon, and one with
// slow spells must not. Times must be corrected by the mean of what was stated meanwhile.
func TestUsualFactor(t *testing.T) {
	var constant, spells Estimate
	now := time.Duration(0)
	for ; now < 20*time.Second; now += 100 * time.Millisecond {
		constant.Observe(now, 250)
		percent := 100
		if now%(4*time.Second) < 600*time.Millisecond {
			percent = 250
		}
		spells.Observe(now, percent)
	}
	if mean := spells.Clock(now).Seconds() / now.Seconds(); mean < 1.15 || mean > 1.25 {
		t.Errorf("mean factor %v with spells", mean)
	}
	spells.Observe(now, 250)
	if c, s := constant.Factor(now), spells.Factor(now); c > 1.2 || s < 2.4 {
		t.Errorf("factor %v at a constant figure, %v in a spell", c, s)
	}
}

// Guards against long answers that are expected to be slow until their end.
func TestStretchEndsWithSpell(t *testing.T) {
	for _, d := range []time.Duration{10 * time.Millisecond, 10 * time.Second, time.Hour} {
		want := min(float64(d)*1.5, float64(400*time.Millisecond))
		if more := float64(Stretch(d, 2.5) - d); more < 0.9*want || more > 1.1*want {
			t.Errorf("%v takes %v longer", d, time.Duration(more))
		}
	}
}
