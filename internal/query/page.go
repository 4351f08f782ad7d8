package query

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"
	"sort"
	"time"

	"github.com/wcharczuk/go-chart/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/burn"
)

//go:embed page.html
var pageText string

const (
	plotWidth  = 900
	plotHeight = 320
	barWidth   = 36
	// leastScale keeps a plot's scale from shrinking to nothing when no class burns.
	leastScale = 1.0
)

type page struct {
	Time    string
	Missing []string
	Windows []string
	Rows    []pageRow
	Plots   []template.HTML
}

type pageRow struct {
	burn.Row

	Rates []float64
}

// writePage writes a report as one page that needs no other file.
func writePage(out io.Writer, rep burn.Report, now time.Time) (err error) {
	defer fault.Annotate(&err, "write page")
	tpl, err := template.New("page").Parse(pageText)
	if err != nil {
		return err
	}
	pag := page{Time: now.UTC().Format(time.RFC3339), Missing: rep.Missing}
	for _, row := range rep.Rows {
		one := pageRow{Row: row}
		for idx := range row.Windows {
			one.Rates = append(one.Rates, row.Rate(idx))
		}
		pag.Rows = append(pag.Rows, one)
	}
	for idx, win := range burn.Windows() {
		pag.Windows = append(pag.Windows, shortLength(win))
		plt, err := plotWindow(rep, idx, shortLength(win))
		if err != nil {
			return err
		}
		pag.Plots = append(pag.Plots, plt)
	}
	return tpl.Execute(out, pag)
}

// plotWindow draws the burn of each class over one window as SVG.
func plotWindow(rep burn.Report, window int, name string) (plt template.HTML, err error) {
	brs := classBars(rep, window)
	if len(brs) == 0 {
		return "", nil
	}
	top := leastScale
	for _, one := range brs {
		top = max(top, one.Value)
	}
	grh := chart.BarChart{
		Title:    "Burn rate by class over " + name + " (1 uses the budget up exactly)",
		Width:    plotWidth,
		Height:   plotHeight,
		BarWidth: barWidth,
		YAxis:    chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: top}},
		Bars:     brs,
	}
	var buf bytes.Buffer
	if err := grh.Render(chart.SVG, &buf); err != nil {
		return "", err
	}
	return template.HTML(buf.String()), nil
}

// classBars adds the workspaces and sites of each class.
func classBars(rep burn.Report, window int) (brs []chart.Value) {
	sum := make(map[string]*burn.Row)
	for _, row := range rep.Rows {
		cls := sum[row.Class]
		if cls == nil {
			cls = &burn.Row{Class: row.Class, Objective: row.Objective, Windows: make([]burn.Counts, len(row.Windows))}
			sum[row.Class] = cls
		}
		cls.Windows[window].Total += row.Windows[window].Total
		cls.Windows[window].Missed += row.Windows[window].Missed
	}
	for nam, cls := range sum {
		brs = append(brs, chart.Value{Label: nam, Value: cls.Rate(window)})
	}
	sort.Slice(brs, func(one, two int) bool { return brs[one].Label < brs[two].Label })
	return brs
}
