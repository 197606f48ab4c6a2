package recap

import (
	"image/color"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
	// headroom is the height of the Y axis by that of the data, for the legend.
	headroom = 1.25
	// maxBars is the most bars of a chart: more are narrower than a point.
	maxBars = 600
)

// layers are what a chart stacks, from the bottom up.
var layers = []struct {
	name  string
	of    []Outcome
	color color.Color
}{
	{"in time", []Outcome{InTime}, color.RGBA{R: 0x4c, G: 0xaf, B: 0x50, A: 0xff}},
	{"no finish time", []Outcome{Untimed}, color.RGBA{R: 0xb0, G: 0xbe, B: 0xc5, A: 0xff}},
	{"late", []Outcome{Late}, color.RGBA{R: 0xff, G: 0xc1, B: 0x07, A: 0xff}},
	{"refused", []Outcome{Refused, RefusedBegun}, color.RGBA{R: 0x1e, G: 0x88, B: 0xe5, A: 0xff}},
	{"failed", []Outcome{Failed}, color.RGBA{R: 0xd3, G: 0x2f, B: 0x2f, A: 0xff}},
}

// bars are counts over time: programs a second.
type bars struct {
	from  float64 // seconds
	width float64 // of a bar, seconds
	ended [][outcomeCount]float64
}

func (r *Report) saveChart(path string) (err error) {
	defer func() { err = errors.Wrap(err, "write chart") }()
	f, err := os.Create(path) //nolint:gosec // the operator names the file
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	return r.Chart(f)
}

// Chart writes an SVG of the programs by outcome over the seconds of their first attempts.
func (r *Report) Chart(w io.Writer) error {
	b := barsOf(&r.seconds)
	p := plot.New()
	p.Title.Text = "Programs by outcome"
	p.Y.Label.Text = "programs a second"
	p.X.Label.Text = "first attempt, seconds"
	p.Y.Min = 0
	p.Legend.Top = true
	if b.from*1000 >= wallClock {
		p.X.Label.Text = "first attempt, UTC"
		p.X.Tick.Marker = plot.TimeTicks{Format: "15:04:05", Time: func(t float64) time.Time { return time.Unix(int64(t), 0).UTC() }}
	}
	below := make([]float64, len(b.ended))
	for _, layer := range layers {
		above := b.above(below, layer.of)
		if total(above) == total(below) && layer.of[0] == Untimed {
			continue
		}
		area, err := plotter.NewPolygon(b.outline(below, above))
		if err != nil {
			return err
		}
		area.Color, area.Width = layer.color, 0
		p.Add(area)
		p.Legend.Add(layer.name, area)
		below = above
	}
	p.Y.Max *= headroom
	svg, err := p.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return err
	}
	_, err = svg.WriteTo(w)
	return err
}

// barsOf returns the counts of a timeline, at least one bar.
func barsOf(t *timeline) bars {
	rows := t.rows()
	if len(rows) == 0 {
		return bars{width: 1, ended: make([][outcomeCount]float64, 1)}
	}
	first, step := rows[0].at, t.step*1000
	steps := (rows[len(rows)-1].at-first)/step + 1
	perBar := (steps + maxBars - 1) / maxBars
	b := bars{
		from: float64(first) / 1000, width: float64(perBar * t.step),
		ended: make([][outcomeCount]float64, (steps+perBar-1)/perBar),
	}
	for _, row := range rows {
		bar := &b.ended[(row.at-first)/step/perBar]
		for i, n := range row.Ended {
			bar[i] += float64(n) / b.width
		}
	}
	return b
}

// above returns the upper edge of a layer.
func (b *bars) above(below []float64, of []Outcome) []float64 {
	edge := make([]float64, len(below))
	for i := range edge {
		edge[i] = below[i]
		for _, o := range of {
			edge[i] += b.ended[i][o]
		}
	}
	return edge
}

// outline goes along the upper edge and back along the lower one.
func (b *bars) outline(below, above []float64) (points plotter.XYs) {
	for i, y := range above {
		points = append(points, plotter.XY{X: b.left(i), Y: y}, plotter.XY{X: b.left(i + 1), Y: y})
	}
	for i := len(below) - 1; i >= 0; i-- {
		points = append(points, plotter.XY{X: b.left(i + 1), Y: below[i]}, plotter.XY{X: b.left(i), Y: below[i]})
	}
	return points
}

func (b *bars) left(i int) float64 { return b.from + float64(i)*b.width }

func total(edge []float64) (sum float64) {
	for _, y := range edge {
		sum += y
	}
	return sum
}
