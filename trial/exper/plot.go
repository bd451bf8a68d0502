package exper

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lycheepond/core/spec"
)

// The size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot draws the goodput of each tier over time into the file
// SCENARIO-POLICY.png in dir. It shows the answers within target and, dashed, the
// offered requests, both by the second in which the request was scheduled.
func (run RunResult) Plot(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = run.Scenario + ", " + run.Policy
	p.X.Label.Text = "second"
	p.Y.Label.Text = "requests a second"
	p.Y.Min = 0
	p.Legend.Top = true
	for tier := range spec.Tiers {
		goodput, offered := run.tierSeries(uint8(tier))
		if err := addLine(p, fmt.Sprintf("tier %d", tier), tier, goodput, false); err != nil {
			return err
		}
		if err := addLine(p, "", tier, offered, true); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, run.Scenario+"-"+run.Policy+".png"))
}

// addLine adds a curve in the color of tier. A curve without a name isn't in the
// legend.
func addLine(p *plot.Plot, name string, tier int, points plotter.XYs, dashed bool) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(tier)
	if dashed {
		line.Dashes = plotutil.Dashes(1)
	}
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

// tierSeries returns how many requests of a tier were answered within target and
// how many were offered, for each second of the run.
func (run RunResult) tierSeries(tier uint8) (goodput, offered plotter.XYs) {
	seconds := int(arrivalSpan.Seconds())
	goodput, offered = make(plotter.XYs, seconds), make(plotter.XYs, seconds)
	for i := range seconds {
		goodput[i].X, offered[i].X = float64(i), float64(i)
	}
	for _, r := range run.Results {
		i := int(r.Job.SendAt.Seconds())
		if r.Job.Class.Tier != tier || i >= seconds {
			continue
		}
		offered[i].Y++
		if r.MetTargets() {
			goodput[i].Y++
		}
	}
	return goodput, offered
}
