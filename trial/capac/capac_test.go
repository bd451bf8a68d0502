package capac

import (
	"math"
	"os"
	"testing"
)

func TestSlopes(t *testing.T) {
	var points []Point
	for _, n := range []int{10, 50, 200} {
		points = append(points, Point{Measure: ByAgents, Size: n, Load: Idle, Role: RoleEntry, RSSMB: 20 + 0.05*float64(n)})
	}
	for _, s := range Slopes(points) {
		if s.Figure == "rss_mb" && (math.Abs(s.Base-20) > 0.01 || math.Abs(s.Per-0.05) > 1e-6 || s.Points != 3) {
			t.Errorf("got %+v, want base 20 and 0.05 an agent", s)
		}
	}
}

func TestSpent(t *testing.T) {
	u, err := spent(os.Getpid())
	if err != nil || u.rss == 0 {
		t.Errorf("%+v, %v", u, err)
	}
}
