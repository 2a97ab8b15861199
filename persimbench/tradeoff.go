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

// Tradeoff compares the users' profiles on the same deployment at several loads.
type Tradeoff struct {
	Points []TradeoffPoint
}

// TradeoffPoint holds the figures of one profile at one load.
type TradeoffPoint struct {
	Profile string
	Load    float64
	// ShortP95TTFT is the 95th percentile of the time to first token of short requests.
	ShortP95TTFT time.Duration
	// PrefillTokensPerRequest is the number of prompt tokens computed for each request that
	// was completed in time.
	PrefillTokensPerRequest float64
	// HedgedShare is the share of prefilled and generated tokens that are prompts of hedges.
	HedgedShare float64
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// MeasureTradeoff measures the profiles of both users on the Consorzio's deployment.
func MeasureTradeoff(duration time.Duration) Tradeoff {
	var t Tradeoff
	deployment := Deployments()[0]
	for _, d := range Deployments() {
		for _, load := range []float64{0.5, 0.7, 0.8, 0.9, 1.0} {
			s := deployment.scenario(PolicyAdaptive, duration)
			s.Profile = s.Profile.WithName(d.Name).WithWeights(d.CostWeight, d.WaitWeight)
			s.Load = load
			result := Simulate(s)
			t.Points = append(t.Points, TradeoffPoint{
				Profile:                 d.Name,
				Load:                    load,
				ShortP95TTFT:            result.ShortTTFT.P95,
				PrefillTokensPerRequest: result.PrefillTokensPerRequest,
				HedgedShare:             result.HedgedShare,
			})
		}
	}
	return t
}

// String returns the points as a text table.
func (t Tradeoff) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%-10s %6s %18s %24s %8s\n", "profile", "load", "short p95 first", "prompt tokens a request", "hedged")
	for _, p := range t.Points {
		_, _ = fmt.Fprintf(&b, "%-10s %6.2f %18s %24.1f %7.2f%%\n", p.Profile, p.Load,
			p.ShortP95TTFT.Round(time.Millisecond), p.PrefillTokensPerRequest, 100*p.HedgedShare)
	}
	return b.String()
}

// Plot writes a plot of the time to first token over the load for both profiles to a PNG
// file.
func (t Tradeoff) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "One mechanism, two profiles"
	p.X.Label.Text = "load"
	p.Y.Label.Text = "short p95 first token, ms"
	colors := []color.Color{color.RGBA{R: 200, A: 255}, color.RGBA{B: 200, A: 255}}
	for i, d := range Deployments() {
		var points plotter.XYs
		for _, point := range t.Points {
			if point.Profile == d.Name {
				points = append(points, plotter.XY{X: point.Load, Y: point.ShortP95TTFT.Seconds() * 1000})
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
