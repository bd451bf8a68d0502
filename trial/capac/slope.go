package capac

import (
	"math"
	"slices"
)

// Slope is how a figure of a role grows with the size: base + per * size, by
// least squares.
type Slope struct {
	Measure string  `json:"slope"`
	Load    string  `json:"load"`
	Role    string  `json:"role"`
	Figure  string  `json:"figure"`
	Base    float64 `json:"base"`
	Per     float64 `json:"per"`
	// Points is how many sizes it rests on.
	Points int `json:"points"`
}

var figures = []struct {
	name string
	of   func(Point) float64
}{
	{"cpu_core_pct", func(p Point) float64 { return p.CPUPercent }},
	{"rss_mb", func(p Point) float64 { return p.RSSMB }},
	{"control_bytes_s", func(p Point) float64 { return p.ControlBytes }},
	{"link_wire_bytes_s", func(p Point) float64 { return p.LinkWireBytes }},
	{"platform_calls_s", func(p Point) float64 { return p.PlatformCalls }},
}

// Slopes returns the slope of each figure for each measure, load and role.
func Slopes(points []Point) []Slope {
	type group struct{ measure, load, role string }
	var order []group
	of := make(map[group][]Point)
	for _, p := range points {
		g := group{p.Measure, p.Load, p.Role}
		if !slices.Contains(order, g) {
			order = append(order, g)
		}
		of[g] = append(of[g], p)
	}
	var out []Slope
	for _, g := range order {
		for _, f := range figures {
			base, per := fit(of[g], f.of)
			out = append(out, Slope{
				Measure: g.measure, Load: g.load, Role: g.role, Figure: f.name,
				Base: round(base), Per: per, Points: len(of[g]),
			})
		}
	}
	return out
}

// fit returns the straight line through the points by least squares. One size
// has no slope.
func fit(points []Point, of func(Point) float64) (base, per float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(points))
	for _, p := range points {
		x, y := float64(p.Size), of(p)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if d := n*sxx - sx*sx; d != 0 {
		per = (n*sxy - sx*sy) / d
	}
	return (sy - per*sx) / n, significant(per)
}

func round(x float64) float64 { return math.Round(x*100) / 100 }

// significant keeps four digits, since slopes may be very small.
func significant(x float64) float64 {
	if x == 0 {
		return 0
	}
	scale := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(x))))
	return math.Round(x*scale) / scale
}
