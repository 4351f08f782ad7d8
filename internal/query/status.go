package query

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/admin"
)

const requestTimeout = 5 * time.Second

// Target is the admin API of a node.
type Target struct {
	// Address is the base URL.
	Address string
	// Key is the operator's bearer key.
	Key string
}

// Get reads a JSON resource of the admin API into out.
func (tgt Target) Get(ctx context.Context, path string, out any) (err error) {
	defer errs.Annotatef(&err, "get %s from %s", path, tgt.Address)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, tgt.Address+admin.Prefix+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+tgt.Key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		var fai admin.Failure
		_ = json.NewDecoder(res.Body).Decode(&fai)
		return errors.Errorf("status %d: %s", res.StatusCode, fai.Message)
	}
	return json.NewDecoder(res.Body).Decode(out)
}

// Status prints the state of a node, its upstreams and its member list.
func Status(ctx context.Context, out io.Writer, tgt Target) (err error) {
	defer errs.Annotate(&err, "show status")
	var sta admin.Status
	if err := tgt.Get(ctx, "/status", &sta); err != nil {
		return err
	}
	fmt.Fprintf(out, "node %s in %s (%s): ready=%v stopping=%v revision=%d active=%d\n\n",
		sta.Node, sta.FailureDomain, sta.Region, sta.Ready, sta.Stopping, sta.Revision, sta.Active)
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "POOL\tUPSTREAM\tIN FLIGHT\tLIMIT\tWAITING\tSLOWDOWN\tLEAVING\tPAUSED")
	for _, ups := range sta.Upstreams {
		fmt.Fprintf(tab, "%s\t%s\t%d\t%d\t%d\t%.2f\t%v\t%v\n",
			ups.Pool, ups.Upstream, ups.InFlight, ups.Limit, ups.Waiting, ups.Slowdown, ups.Leaving, ups.Paused)
	}
	fmt.Fprintln(tab, "\nMEMBER\tFAILURE DOMAIN\tSTATE\tINCARNATION\tREVISION")
	for _, mem := range sta.Members {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%d\t%d\n", mem.Name, mem.FailureDomain, mem.State, mem.Incarnation, mem.Revision)
	}
	return tab.Flush()
}
