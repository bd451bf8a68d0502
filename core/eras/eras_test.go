package eras

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an order of revisions that differs from that of eras first, revisions second.
func TestLaterEraIsNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (era, revision int64) {
			return rapid.Int64Range(0, MaxEra).Draw(t, name+" era"), rapid.Int64Range(0, revisionsPerEra-1).Draw(t, name+" revision")
		}
		e1, r1 := draw("first")
		e2, r2 := draw("second")
		a, b := Join(e1, r1), Join(e2, r2)
		if want := e1 < e2 || e1 == e2 && r1 < r2; (a < b) != want {
			t.Fatalf("%d < %d is %v, want %v", a, b, a < b, want)
		}
		if Era(a) != e1 || Revision(a) != r1 || a < 0 {
			t.Fatalf("%d splits into %d and %d, want %d and %d", a, Era(a), Revision(a), e1, r1)
		}
	})
}

// Guards against numbers that change for stores without eras, and against overflow.
func TestLimits(t *testing.T) {
	if Join(0, 17) != 17 || Join(2, 17) != 2_000_000_000_017 {
		t.Error("numbers are not readable")
	}
	if n := Join(math.MaxInt64, math.MaxInt64); n < 0 || Era(n) != MaxEra {
		t.Errorf("overflow: %d", n)
	}
}
