package persimbench

import (
	"fmt"
	"image/color"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// A Trade shows two profiles on the same load at several loads.
type Trade struct {
	Points []TradePoint
}

// A TradePoint is what one profile gives at one load.
type TradePoint struct {
	Profile string
	Load    float64
	// Wait is the 95th percentile of the time to the first token of short work.
	Wait time.Duration
	// Prefilled is the number of prompt tokens computed for each finished request.
	Prefilled float64
	Hedged    float64
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// MeasureTrade runs the profiles of both users on the Consorzio's deployment.
func MeasureTrade(duration time.Duration) Trade {
	var t Trade
	base := Deployments()[0]
	for _, d := range Deployments() {
		for _, load := range []float64{0.5, 0.7, 0.8, 0.9, 1.0} {
			s := base.scenario(PolicyAdaptive, duration)
			s.Profile = s.Profile.WithName(d.Name).WithWeights(d.CostWeight, d.WaitWeight)
			s.Load = load
			result := Run(s)
			t.Points = append(t.Points, TradePoint{
				Profile:   d.Name,
				Load:      load,
				Wait:      result.ShortFirst.P95,
				Prefilled: result.PrefilledPerRequest,
				Hedged:    result.Hedged,
			})
		}
	}
	return t
}

// String returns the points as a table.
func (t Trade) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%-10s %6s %18s %24s %8s\n", "profile", "load", "short p95 first", "prompt tokens a request", "hedged")
	for _, p := range t.Points {
		_, _ = fmt.Fprintf(&b, "%-10s %6.2f %18s %24.1f %7.2f%%\n", p.Profile, p.Load,
			p.Wait.Round(time.Millisecond), p.Prefilled, 100*p.Hedged)
	}
	return b.String()
}

// Plot writes the waiting of both profiles over the load to a PNG file.
func (t Trade) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "One mechanism, two profiles"
	p.X.Label.Text = "load"
	p.Y.Label.Text = "short p95 first token, ms"
	colors := []color.Color{color.RGBA{R: 200, A: 255}, color.RGBA{B: 200, A: 255}}
	for i, d := range Deployments() {
		var points plotter.XYs
		for _, point := range t.Points {
			if point.Profile == d.Name {
				points = append(points, plotter.XY{X: point.Load, Y: point.Wait.Seconds() * 1000})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return trace.Wrap(err)
		}
		line.Color = colors[i%len(colors)]
		p.Add(line)
		p.Legend.Add(d.Name, line)
	}
	return trace.Wrap(p.Save(plotWidth, plotHeight, path))
}
