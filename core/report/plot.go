package report

import (
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"sequoialead"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	maxPercent = 100
)

// Plot writes an SVG image with a line for each report: its attainment, in
// percent, by second.
func Plot(w io.Writer, reports ...*Report) error {
	p := plot.New()
	p.Title.Text = "requests answered in time"
	p.X.Label.Text = "second"
	p.Y.Label.Text = "%"
	p.Y.Min, p.Y.Max = 0, maxPercent
	p.Legend.Left = true
	for i, r := range reports {
		line, err := plotter.NewLine(attainmentPoints(r))
		if err != nil {
			return sequoialead.ErrInvalid.Wrap(err, "report %q cannot be plotted; run the load test again", r.Name)
		}
		line.Color = lineColor(i)
		p.Add(line)
		p.Legend.Add(r.Name, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(w)
	return err
}

func attainmentPoints(r *Report) plotter.XYs {
	var xys plotter.XYs
	for second, counts := range r.Seconds {
		if counts.Sent > 0 {
			xys = append(xys, plotter.XY{X: float64(second), Y: maxPercent * counts.Attainment()})
		}
	}
	return xys
}

func lineColor(i int) color.Color {
	colors := []color.Color{
		color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
		color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
		color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	}
	return colors[i%len(colors)]
}
