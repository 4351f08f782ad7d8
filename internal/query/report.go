package query

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/admin"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/burn"
)

// Format is the output format of a report.
type Format string

// The values of Format.
const (
	Text Format = "text"
	JSON Format = "json"
	HTML Format = "html"
)

// LiveMembers returns the members that the node's member list has as live or suspect. For a node without peers
// this is the node itself.
func LiveMembers(ctx context.Context, tgt Target) (mms []admin.Member, err error) {
	var sta admin.Status
	if err := tgt.Get(ctx, "/status", &sta); err != nil {
		return nil, err
	}
	for _, mem := range sta.Members {
		if mem.State == "Live" || mem.State == "Suspect" {
			mms = append(mms, mem)
		}
	}
	if len(sta.Members) == 0 {
		mms = []admin.Member{{Name: sta.Node, Admin: tgt.Address}}
	}
	return mms, nil
}

// Gather merges the burn reports of all live nodes; Missing lists those that did not respond.
func Gather(ctx context.Context, tgt Target) (rep burn.Report, err error) {
	defer errs.Annotate(&err, "gather burn reports")
	mms, err := LiveMembers(ctx, tgt)
	if err != nil {
		return burn.Report{}, err
	}
	rps := make([]burn.Report, len(mms))
	var grp sync.WaitGroup
	for idx, mem := range mms {
		grp.Go(func() {
			err := Target{Address: mem.URL(), Key: tgt.Key}.Get(ctx, "/burn", &rps[idx])
			if err != nil {
				rps[idx] = burn.Report{Missing: []string{mem.Name}}
			}
		})
	}
	grp.Wait()
	return burn.Merge(rps), nil
}

// Report writes the burn rates of the cluster in the given format.
func Report(ctx context.Context, out io.Writer, tgt Target, fmt Format) (err error) {
	rep, err := Gather(ctx, tgt)
	if err != nil {
		return err
	}
	switch fmt {
	case JSON:
		return json.NewEncoder(out).Encode(rep)
	case HTML:
		return writePage(out, rep, time.Now())
	case Text:
		return writeText(out, rep)
	default:
		return errors.Errorf("unknown format %q", fmt)
	}
}

func writeText(out io.Writer, rep burn.Report) (err error) {
	for _, nam := range rep.Missing {
		fmt.Fprintf(out, "MISSING: node %s did not answer; its requests are not in this report\n", nam)
	}
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(tab, "CLASS\tWORKSPACE\tSITE\tOBJECTIVE\t")
	for _, win := range burn.Windows() {
		fmt.Fprintf(tab, "BURN %s\tMISSED\t", formatWindow(win))
	}
	fmt.Fprintln(tab)
	for _, row := range rep.Rows {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%.2f%%\t", row.Class, row.Workspace, row.Site, row.Objective*100)
		for idx, cnt := range row.Windows {
			fmt.Fprintf(tab, "%.2f\t%d/%d\t", row.Rate(idx), cnt.Missed, cnt.Total)
		}
		fmt.Fprintln(tab)
	}
	return tab.Flush()
}

// formatWindow formats a window length in whole hours or minutes, such as 30m for 30m0s.
func formatWindow(dur time.Duration) string {
	if dur >= time.Hour {
		return fmt.Sprintf("%dh", dur/time.Hour)
	}
	return fmt.Sprintf("%dm", dur/time.Minute)
}
