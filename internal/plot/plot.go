package plot

import (
	"bytes"
	"html/template"

	"github.com/wcharczuk/go-chart/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
)

const (
	chartWidth  = 1000
	chartHeight = 300
	barWidth    = 34
)

// Bar is a labelled bar of a chart.
type Bar struct {
	Label string
	Value float64
}

// Bars draws a bar chart. The y axis goes from 0 to yMax, or to the highest bar if that is above yMax. Without bars
// the result is empty.
func Bars(title string, yMax float64, brs []Bar) (svg template.HTML, err error) {
	defer errs.Annotatef(&err, "plot %s", title)
	if len(brs) == 0 {
		return "", nil
	}
	chr := chart.BarChart{Title: title, Width: chartWidth, Height: chartHeight, BarWidth: barWidth}
	for _, bar := range brs {
		yMax = max(yMax, bar.Value)
		chr.Bars = append(chr.Bars, chart.Value{Label: bar.Label, Value: bar.Value})
	}
	chr.YAxis = chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: yMax}}
	var buf bytes.Buffer
	if err := chr.Render(chart.SVG, &buf); err != nil {
		return "", err
	}
	return template.HTML(buf.String()), nil
}
