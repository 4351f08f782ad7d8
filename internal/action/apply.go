package action

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/query"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/admin"
)

const (
	requestTimeout = 15 * time.Second
	// maxAttempts limits how often a change is sent while it is unknown whether a node accepted it.
	maxAttempts   = 5
	retryInterval = 500 * time.Millisecond
	pollInterval  = 50 * time.Millisecond
)

// ApplyOptions names the configuration to apply and the change that it is submitted as.
type ApplyOptions struct {
	// Base and Overlays are file names.
	Base     string
	Overlays []string
	// Against is the number of the revision that the change is based on; negative means the newest one.
	Against int64
	// Change identifies the change, so that it can safely be sent again; empty generates an ID.
	Change string
	// Comment is recorded in the history of revisions.
	Comment string
	// Wait limits how long Apply waits until every live node has the revision in force; 0 does not wait.
	Wait time.Duration
}

// Apply submits a configuration to a node and prints the number of the new revision.
func Apply(ctx context.Context, out io.Writer, tgt query.Target, opt ApplyOptions) (err error) {
	defer errs.Annotate(&err, "apply configuration")
	doc, err := conf.ReadDocument(opt.Base, opt.Overlays)
	if err != nil {
		return err
	}
	chg := admin.Change{ID: opt.Change, Comment: opt.Comment, Base: doc.Base, Overlays: doc.Overlays}
	if chg.ID == "" {
		chg.ID = uuid.NewString()
	}
	chg.Against, err = baseRevision(ctx, tgt, opt.Against)
	if err != nil {
		return err
	}
	acc, err := Submit(ctx, tgt, chg)
	if err != nil {
		return errors.Wrapf(err, "change %s", chg.ID)
	}
	fmt.Fprintf(out, "accepted: revision %d, change %s\n", acc.Number, acc.Change)
	if opt.Wait == 0 {
		return nil
	}
	return awaitRevision(ctx, out, tgt, acc.Number, opt.Wait)
}

// Drain starts a graceful stop of a node, and does not wait until it ends.
func Drain(ctx context.Context, out io.Writer, tgt query.Target) (err error) {
	defer errs.Annotate(&err, "drain node")
	if err := post(ctx, tgt, "/drain", struct{}{}, &struct{}{}); err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, "draining")
	return err
}

// baseRevision returns the given revision, or the newest one if it is negative; 0 means that there is none.
func baseRevision(ctx context.Context, tgt query.Target, given int64) (num uint64, err error) {
	if given >= 0 {
		return uint64(given), nil
	}
	var rvs []admin.Revision
	if err := tgt.Get(ctx, "/configuration/history", &rvs); err != nil {
		return 0, err
	}
	if len(rvs) == 0 {
		return 0, nil
	}
	return rvs[0].Number, nil
}

// uncertainError is an error that leaves open whether the node executed the command.
type uncertainError struct{ error }

// Unwrap returns the underlying error.
func (unc uncertainError) Unwrap() error {
	return unc.error
}

// RejectedError is the error for a command that a node rejected.
type RejectedError struct {
	// Status is the HTTP status of the response.
	Status  int
	Failure admin.Failure
}

// Error returns the status, the code and the message; each error in a configuration is on a line of its own.
func (rej *RejectedError) Error() string {
	lns := append([]string{rej.Failure.Message}, rej.Failure.Errors...)
	return fmt.Sprintf("status %d %s: %s", rej.Status, rej.Failure.Code, strings.Join(lns, "\n"))
}

// Submit sends a change, and sends it again while it is unknown whether the node accepted it. The change has an
// ID, so a node accepts it at most once. If the node rejects the change, err wraps a *RejectedError.
func Submit(ctx context.Context, tgt query.Target, chg admin.Change) (acc admin.Accepted, err error) {
	for range maxAttempts {
		err = post(ctx, tgt, "/configuration", chg, &acc)
		var unc uncertainError
		if !errors.As(err, &unc) {
			return acc, err
		}
		time.Sleep(retryInterval)
	}
	return acc, err
}

// post sends a command to the admin API and decodes the response into out. The error is a *RejectedError if the
// node rejected the command, and an uncertainError if it may have executed it.
func post(ctx context.Context, tgt query.Target, path string, in, out any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, tgt.Address+admin.Prefix+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+tgt.Key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return uncertainError{err}
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return rejection(res)
	}
	return json.NewDecoder(res.Body).Decode(out)
}

// rejection returns the error for a response with an error status. A node that answers 503 may have executed the
// command.
func rejection(res *http.Response) error {
	rej := &RejectedError{Status: res.StatusCode}
	// The message stays empty if the body is not from the admin API, but for example from a proxy.
	_ = json.NewDecoder(res.Body).Decode(&rej.Failure)
	if res.StatusCode == http.StatusServiceUnavailable {
		return uncertainError{rej}
	}
	return rej
}

// awaitRevision waits until every live node has the revision or a newer one in force. After limit it returns an
// error that names the nodes that do not.
func awaitRevision(ctx context.Context, out io.Writer, tgt query.Target, num uint64, limit time.Duration) (err error) {
	beg := time.Now()
	for {
		lag, err := laggingNodes(ctx, tgt, num)
		if err != nil {
			return err
		}
		if len(lag) == 0 {
			_, err = fmt.Fprintf(out, "in force on every live node after %v\n", time.Since(beg).Round(time.Millisecond))
			return err
		}
		if time.Since(beg) > limit {
			return errors.Errorf("not in force after %v on %s", limit, strings.Join(lag, ", "))
		}
		time.Sleep(pollInterval)
	}
}

// laggingNodes returns the live nodes that do not report the revision or a newer one, or do not respond.
func laggingNodes(ctx context.Context, tgt query.Target, num uint64) (nms []string, err error) {
	mms, err := query.LiveMembers(ctx, tgt)
	if err != nil {
		return nil, err
	}
	var mut sync.Mutex
	var grp sync.WaitGroup
	for _, mem := range mms {
		grp.Go(func() {
			var sta admin.Status
			err := query.Target{Address: mem.URL(), Key: tgt.Key}.Get(ctx, "/status", &sta)
			if err == nil && sta.Revision >= num {
				return
			}
			mut.Lock()
			defer mut.Unlock()
			nms = append(nms, mem.Name)
		})
	}
	grp.Wait()
	return nms, nil
}
