package bench

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

var plotColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
}

// Plot plots the 99th percentile latency of short requests by second of arrival,
// one line for each result, and writes it to a PNG file.
func Plot(file string, results ...Result) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("plot %s: %w", file, err)
		}
	}()
	p := plot.New()
	p.Title.Text = "99th percentile of short requests by second of arrival"
	p.X.Label.Text = "second"
	p.Y.Label.Text = "latency, ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	for i, r := range results {
		line, err := plotter.NewLine(seconds(r))
		if err != nil {
			return err
		}
		line.Color = plotColors[i%len(plotColors)]
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(label(r), line)
	}
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, file)
}

// seconds returns the points of a result. Seconds without a successful request
// are omitted.
func seconds(r Result) plotter.XYs {
	var points plotter.XYs
	for i, us := range r.Seconds {
		if us > 0 {
			points = append(points, plotter.XY{X: float64(i), Y: float64(us) / 1000})
		}
	}
	return points
}

func label(r Result) string {
	name := "gypsumyard"
	if r.Baseline {
		name = "baseline"
	}
	return fmt.Sprintf("%s %s %s seed %d", name, r.Deployment, r.Scenario, r.Seed)
}
