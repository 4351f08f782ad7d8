package load

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/plot"
)

// Print writes one result as a text table.
func Print(out io.Writer, rsl Result) {
	fmt.Fprintf(out, "%s %s seed %d: goodput %.3f wasted %.4f cancelled %d wrong %d longest starvation %.1f s\n",
		rsl.Scenario, rsl.Policy, rsl.Seed, rsl.Goodput, rsl.Wasted, rsl.Cancelled, rsl.Wrong, rsl.LongestStarvation)
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tab, "class\tsent\tmet %\trefused\tunknown\tfirst p50 ms\tp99\tworst\tgap p99\t")
	for _, cls := range rsl.Classes {
		fmt.Fprintf(tab, "%s\t%d\t%.2f\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t\n", cls.Class, cls.Sent, 100*cls.Met,
			cls.Refused, cls.Unknown, cls.FirstP50, cls.FirstP99, cls.FirstWorst, cls.GapP99)
	}
	// Print returns no error, like the calls of Fprintf above.
	_ = tab.Flush()
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>hornbeamdyke: measurements</title>
<style>body{font-family:sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em}</style></head><body>
<h1>What callers saw, by scenario and policy</h1>
<p>Bars show the share of requests of the highest tier that met their target, one for each policy and seed.</p>
{{range .Plots}}<div>{{.}}</div>{{end}}<pre>{{.Text}}</pre></body></html>
`))

// WritePage writes results as an HTML page with a bar chart for each scenario and the text tables.
func WritePage(out io.Writer, rss []Result) (err error) {
	defer errs.Annotate(&err, "write page")
	var txt bytes.Buffer
	var pls []template.HTML
	for _, scn := range Scenarios() {
		var brs []plot.Bar
		for _, rsl := range rss {
			if rsl.Scenario == scn.Name {
				brs = append(brs, plot.Bar{Label: fmt.Sprintf("%s %d", rsl.Policy, rsl.Seed), Value: 100 * rsl.Classes[0].Met})
				Print(&txt, rsl)
			}
		}
		plt, err := plot.Bars(scn.Name+": highest tier within target, %", 100, brs)
		if err != nil {
			return err
		}
		pls = append(pls, plt)
	}
	return pageTemplate.Execute(out, struct {
		Plots []template.HTML
		Text  string
	}{pls, txt.String()})
}
