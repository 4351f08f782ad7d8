package plot

import (
	"bytes"
	"html/template"

	"github.com/wcharczuk/go-chart/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
)

const (
	width    = 1000
	height   = 300
	barWidth = 34
)

// Bar is one bar of a chart.
type Bar struct {
	Label string
	Value float64
}

// Bars draws bars on a scale from 0 to top, or to the highest bar if that is above; no bars draw nothing.
func Bars(title string, top float64, brs []Bar) (svg template.HTML, err error) {
	defer fault.Annotatef(&err, "plot %s", title)
	if len(brs) == 0 {
		return "", nil
	}
	grh := chart.BarChart{Title: title, Width: width, Height: height, BarWidth: barWidth}
	for _, bar := range brs {
		top = max(top, bar.Value)
		grh.Bars = append(grh.Bars, chart.Value{Label: bar.Label, Value: bar.Value})
	}
	grh.YAxis = chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: top}}
	var buf bytes.Buffer
	if err := grh.Render(chart.SVG, &buf); err != nil {
		return "", err
	}
	return template.HTML(buf.String()), nil
}
