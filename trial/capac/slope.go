package capac

import (
	"math"
	"slices"
)

// Slope is the linear growth of a figure of a role with the size, fitted by least
// squares: the figure is about Base + PerUnit * size.
type Slope struct {
	// Dimension says what the size counts: agents, customers or entries.
	Dimension string `json:"slope"`
	Load      string `json:"load"`
	Role      string `json:"role"`
	// Figure is the JSON key of the figure in a Point.
	Figure  string  `json:"figure"`
	Base    float64 `json:"base"`
	PerUnit float64 `json:"per"`
	// Points is the number of points that the fit is based on.
	Points int `json:"points"`
}

// figures are the figures of a Point that get a slope.
var figures = []struct {
	name  string
	value func(Point) float64
}{
	{"cpu_core_pct", func(p Point) float64 { return p.CPUPercent }},
	{"rss_mb", func(p Point) float64 { return p.RSSMB }},
	{"control_bytes_s", func(p Point) float64 { return p.ControlBytesPerSecond }},
	{"link_wire_bytes_s", func(p Point) float64 { return p.LinkWireBytesPerSecond }},
	{"platform_calls_s", func(p Point) float64 { return p.PlatformCallsPerSecond }},
}

// Slopes returns the slope of each figure for each dimension, load and role, in the order
// of the points.
func Slopes(points []Point) []Slope {
	type group struct{ measure, load, role string }
	var order []group
	pointsOf := make(map[group][]Point)
	for _, p := range points {
		g := group{p.Dimension, p.Load, p.Role}
		if !slices.Contains(order, g) {
			order = append(order, g)
		}
		pointsOf[g] = append(pointsOf[g], p)
	}
	var out []Slope
	for _, g := range order {
		for _, f := range figures {
			base, per := fitLine(pointsOf[g], f.value)
			out = append(out, Slope{
				Dimension: g.measure, Load: g.load, Role: g.role, Figure: f.name,
				Base: round(base), PerUnit: per, Points: len(pointsOf[g]),
			})
		}
	}
	return out
}

// fitLine fits a straight line to the points by least squares. The slope is 0 if all points
// have the same size.
func fitLine(points []Point, value func(Point) float64) (base, slope float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(points))
	for _, p := range points {
		x, y := float64(p.Size), value(p)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return (sy - slope*sx) / n, roundSignificant(slope)
}

// round rounds x to hundredths.
func round(x float64) float64 { return math.Round(x*100) / 100 }

// roundSignificant rounds x to four significant digits, since slopes may be very small.
func roundSignificant(x float64) float64 {
	if x == 0 {
		return 0
	}
	scale := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(x))))
	return math.Round(x*scale) / scale
}
