package query

import (
	_ "embed"
	"html/template"
	"io"
	"sort"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/plot"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/burn"
)

//go:embed page.html
var pageText string

// minScaleTop is the minimum upper end of a plot's scale, as a burn rate. It keeps the scale usable when all
// rates are near 0.
const minScaleTop = 1.0

// page holds the data of the template page.html.
type page struct {
	Time    string
	Missing []string
	Windows []string
	Rows    []pageRow
	Plots   []template.HTML
}

type pageRow struct {
	burn.Row

	// Rates are the burn rates of the windows.
	Rates []float64
}

// writePage writes a report as a self-contained HTML page.
func writePage(out io.Writer, rep burn.Report, now time.Time) (err error) {
	defer errs.Annotate(&err, "write page")
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
		pag.Windows = append(pag.Windows, formatWindow(win))
		ttl := "Burn rate by class over " + formatWindow(win) + " (1 uses the budget up exactly)"
		plt, err := plot.Bars(ttl, minScaleTop, burnByClass(rep, idx))
		if err != nil {
			return err
		}
		pag.Plots = append(pag.Plots, plt)
	}
	return tpl.Execute(out, pag)
}

// burnByClass returns the burn rate of each class in one window, over all workspaces and sites.
func burnByClass(rep burn.Report, window int) (brs []plot.Bar) {
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
		brs = append(brs, plot.Bar{Label: nam, Value: cls.Rate(window)})
	}
	sort.Slice(brs, func(one, two int) bool { return brs[one].Label < brs[two].Label })
	return brs
}
