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
	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/query"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/admin"
)

const (
	timeout = 15 * time.Second
	// tries is how often a change with an uncertain outcome is sent again.
	tries     = 5
	tryPause  = 500 * time.Millisecond
	waitPause = 50 * time.Millisecond
)

// ApplyOptions are what a configuration is applied from.
type ApplyOptions struct {
	Base     string
	Overlays []string
	// Against is the revision that the change was made against; negative takes the present head.
	Against int64
	// Change is the change's identifier; empty makes one.
	Change  string
	Comment string
	// Wait is how long to wait until every live node has the revision in force; 0 does not wait.
	Wait time.Duration
}

// Apply sends a configuration to a node and prints the revision that it became.
func Apply(ctx context.Context, out io.Writer, tgt query.Target, opt ApplyOptions) (err error) {
	defer fault.Annotate(&err, "apply configuration")
	doc, err := conf.ReadDocument(opt.Base, opt.Overlays)
	if err != nil {
		return err
	}
	chg := admin.Change{ID: opt.Change, Comment: opt.Comment, Base: doc.Base, Overlays: doc.Overlays}
	if chg.ID == "" {
		chg.ID = uuid.NewString()
	}
	chg.Against, err = against(ctx, tgt, opt.Against)
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
	return await(ctx, out, tgt, acc.Number, opt.Wait)
}

// Drain begins a graceful stop of a node.
func Drain(ctx context.Context, out io.Writer, tgt query.Target) (err error) {
	defer fault.Annotate(&err, "drain node")
	if err := post(ctx, tgt, "/drain", struct{}{}, &struct{}{}); err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, "draining")
	return err
}

func against(ctx context.Context, tgt query.Target, given int64) (num uint64, err error) {
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

// uncertain is a failure after which the same change is sent again.
type uncertain struct{ error }

// Unwrap returns the failure itself.
func (unc uncertain) Unwrap() error {
	return unc.error
}

// Refused is a command that a node did not carry out.
type Refused struct {
	Status  int
	Failure admin.Failure
}

// Error gives the status, the code, and every fault of a configuration on a line of its own.
func (ref *Refused) Error() string {
	lns := append([]string{ref.Failure.Message}, ref.Failure.Errors...)
	return fmt.Sprintf("status %d %s: %s", ref.Status, ref.Failure.Code, strings.Join(lns, "\n"))
}

// Submit sends a change until the outcome is certain; a node's refusal is a *Refused.
func Submit(ctx context.Context, tgt query.Target, chg admin.Change) (acc admin.Accepted, err error) {
	for range tries {
		err = post(ctx, tgt, "/configuration", chg, &acc)
		var unc uncertain
		if !errors.As(err, &unc) {
			return acc, err
		}
		time.Sleep(tryPause)
	}
	return acc, err
}

func post(ctx context.Context, tgt query.Target, path string, in, out any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
		return uncertain{err}
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return failure(res)
	}
	return json.NewDecoder(res.Body).Decode(out)
}

// failure returns what a node says of a refused command.
func failure(res *http.Response) error {
	ref := &Refused{Status: res.StatusCode}
	// A body that is not the API's own leaves the message empty.
	_ = json.NewDecoder(res.Body).Decode(&ref.Failure)
	if res.StatusCode == http.StatusServiceUnavailable {
		return uncertain{ref}
	}
	return ref
}

// await waits until every live node has a revision in force, and names the nodes that do not in time.
func await(ctx context.Context, out io.Writer, tgt query.Target, num uint64, limit time.Duration) (err error) {
	beg := time.Now()
	for {
		lag, err := lagging(ctx, tgt, num)
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
		time.Sleep(waitPause)
	}
}

// lagging returns the live nodes that do not say that they have a revision in force.
func lagging(ctx context.Context, tgt query.Target, num uint64) (nms []string, err error) {
	mms, err := query.Live(ctx, tgt)
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
