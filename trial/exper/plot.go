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

// Size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot writes the goodput of each tier over time into dir as
// SCENARIO-POLICY.png: answers within target and, dashed, requests offered, by
// the second in which they were sent.
func (o Outcome) Plot(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = o.Scenario + ", " + o.Policy
	p.X.Label.Text = "second"
	p.Y.Label.Text = "requests a second"
	p.Y.Min = 0
	p.Legend.Top = true
	for tier := range spec.Tiers {
		good, offered := o.series(uint8(tier))
		if err := addLine(p, fmt.Sprintf("tier %d", tier), tier, good, false); err != nil {
			return err
		}
		if err := addLine(p, "", tier, offered, true); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, o.Scenario+"-"+o.Policy+".png"))
}

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

func (o Outcome) series(tier uint8) (good, offered plotter.XYs) {
	seconds := int(span.Seconds())
	good, offered = make(plotter.XYs, seconds), make(plotter.XYs, seconds)
	for i := range seconds {
		good[i].X, offered[i].X = float64(i), float64(i)
	}
	for _, r := range o.Results {
		i := int(r.Job.SendAt.Seconds())
		if r.Job.Class.Tier != tier || i >= seconds {
			continue
		}
		offered[i].Y++
		if r.MetTargets() {
			good[i].Y++
		}
	}
	return good, offered
}
