package usage

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// rowPrefix begins the keys of the rows of this package; the number of the window, or eraKey's last part, follows.
	rowPrefix = "usage/"
	eraKey    = rowPrefix + "era"
	// rowRetention is how long after the end of its window a row is kept at least.
	rowRetention = time.Minute
	// maxRemoved bounds the rows that one transaction removes.
	maxRemoved = 16
)

// reportRow is the stored form of a final report.
type reportRow struct {
	Window int64
	Counts map[string]int64
	// Node is the node that composed the report.
	Node string
}

// eraRow states in which era of the store the rows are written, and the first window that may be composed in it.
type eraRow struct {
	Era   int64
	First int64
}

// load reads the rows, and writes the row of the era if it is of another era; ok is false if nothing may be done yet.
func (clr *collector) load(ctx context.Context, ses *session) (ok bool) {
	opt := clr.service.options
	sub, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rws, era, err := opt.Rows.List(sub, rowPrefix)
	if err != nil {
		opt.Log.Info("usage rows not read", "Error", err.Error())
		return false
	}
	if era < clr.lastEra {
		opt.Log.Info("usage rows of an earlier era ignored", "Era", era, "Known", clr.lastEra)
		return false
	}
	clr.see(era)
	var row eraRow
	var version int64
	ses.old = nil
	for _, one := range rws {
		if one.Key != eraKey {
			clr.loadReport(ses, one)
			continue
		}
		version = one.Version
		if err := json.Unmarshal(one.Value, &row); err != nil {
			opt.Log.Warn("usage row unreadable", "Row", one.Key, "Error", err.Error())
			row = eraRow{}
		}
	}
	ses.first = row.First
	if version == 0 || row.Era != era {
		if ses.first, err = clr.beginEra(ctx, ses, era, version); err != nil {
			opt.Log.Info("usage era not stored", "Era", era, "Error", err.Error())
			return false
		}
	}
	ses.listed = opt.Timers.Now()
	return true
}

// beginEra stores the era and the first window that may be composed in it: the one in which this process saw the era first.
func (clr *collector) beginEra(ctx context.Context, ses *session, era, version int64) (first int64, err error) {
	first = clr.firstSeen[era]
	txt, err := json.Marshal(eraRow{Era: era, First: first})
	if err != nil {
		return 0, err
	}
	if err := clr.commit(ctx, ses, router.RowWrite{Key: eraKey, Value: txt, IfVersion: version}); err != nil {
		return 0, err
	}
	clr.service.options.Log.Info("usage era began", "Era", era, "First", first)
	return first, nil
}

// loadReport takes the final report of a row. It replaces a report that was composed and not stored.
func (clr *collector) loadReport(ses *session, row router.StoredRow) {
	log := clr.service.options.Log
	win, err := strconv.ParseInt(strings.TrimPrefix(row.Key, rowPrefix), 10, 64)
	if err != nil {
		log.Warn("usage row unreadable", "Row", row.Key, "Error", err.Error())
		return
	}
	now := clr.clock.timers.Now()
	if !now.Before(clr.sendUntil(win)) {
		if !now.Before(clr.keepUntil(win)) && len(ses.old) < maxRemoved {
			ses.old = append(ses.old, row)
		}
		return
	}
	sta := ses.windows[win]
	if sta != nil && (sta.final || sta.done) {
		return
	}
	sta = &windowState{}
	ses.windows[win] = sta
	var rep reportRow
	if err := json.Unmarshal(row.Value, &rep); err != nil || rep.Window != win {
		clr.omit(win, sta, "row unreadable")
		return
	}
	sta.report = router.UsageReport{Window: win, Counts: rep.Counts}
	sta.composed, sta.final = true, true
	if snt := clr.sent[win]; snt != nil {
		if !maps.Equal(snt.report.Counts, rep.Counts) {
			clr.omit(win, sta, "row differs from the report that was sent")
		}
		sta.done = sta.done || snt.accepted
	}
}

// keepUntil returns the time until which the report on a window is kept. A row that is removed while the report may be sent, by the
// clock of any node, could be followed by a different one.
func (clr *collector) keepUntil(window int64) time.Time {
	return clr.clock.end(window).Add(max(rowRetention, 3*clr.service.options.ReportWithin))
}

// store makes a report final, and removes old rows in the same transaction.
func (clr *collector) store(ctx context.Context, ses *session, rep router.UsageReport) (err error) {
	defer errs.Annotate(&err, "store usage report")
	txt, err := json.Marshal(reportRow{Window: rep.Window, Counts: rep.Counts, Node: clr.service.options.Node})
	if err != nil {
		return err
	}
	wrs := []router.RowWrite{{Key: rowPrefix + strconv.FormatInt(rep.Window, 10), Value: txt}}
	for _, row := range ses.old {
		wrs = append(wrs, router.RowWrite{Key: row.Key, IfVersion: row.Version})
	}
	if err := clr.commit(ctx, ses, wrs...); err != nil {
		return err
	}
	ses.old = nil
	return nil
}

// errSessionOver reports that this node no longer holds the duties by the fence of the session.
var errSessionOver = errors.New("duties no longer held")

// commit writes rows if this node holds the duties by the fence of a session, before and after the write.
func (clr *collector) commit(ctx context.Context, ses *session, wrs ...router.RowWrite) (err error) {
	// The time limit begins before the check, so that a write after a long pause of this process does not begin.
	sub, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	fen, ok := clr.holds(ses, storeTimeout)
	if !ok {
		return errSessionOver
	}
	if err := clr.service.options.Lease.Commit(sub, fen, wrs...); err != nil {
		return err
	}
	if _, ok := clr.holds(ses, 0); !ok {
		return errSessionOver
	}
	return nil
}

// send sends a final report.
func (clr *collector) send(ctx context.Context, ses *session, window int64, sta *windowState) {
	opt := clr.service.options
	sub, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fen, ok := clr.holds(ses, callTimeout)
	if !ok || !opt.Timers.Now().Before(clr.sendUntil(window)) {
		return
	}
	if clr.sent[window] == nil {
		clr.sent[window] = &sentReport{report: sta.report}
	}
	sta.sends++
	if err := opt.Caller.ReportUsage(sub, fen, sta.report); err != nil {
		sta.failed(opt.Timers.Now())
		opt.Log.Info("usage report not accepted", "Window", window, "Sends", sta.sends, "Error", err.Error())
		clr.service.count("usage_report_failed")
		return
	}
	clr.sent[window].accepted, sta.done = true, true
	clr.logAccepted(window, sta)
}

// logAccepted logs and counts a report that the platform accepted.
func (clr *collector) logAccepted(window int64, sta *windowState) {
	opt := clr.service.options
	var total int64
	for _, num := range sta.report.Counts {
		total += num
	}
	after := opt.Timers.Now().Sub(clr.clock.end(window))
	late := max(0, after-opt.ReportWithin)
	opt.Log.Info("usage report accepted", "Window", window, "Total", total, "Workspaces", len(sta.report.Counts), "Composed", sta.own,
		"Heard", sta.summary.heard, "Missing", sta.summary.missing, "Copies", sta.summary.copies, "Sends", sta.sends,
		"AfterMs", after.Milliseconds(), "LateMs", late.Milliseconds())
	clr.service.count("usage_report_accepted")
	if late > 0 {
		clr.service.count("usage_report_late")
	}
	if opt.Meter != nil {
		opt.Meter.Gauge("usage_nodes_missing", "", "", float64(sta.summary.missing))
		opt.Meter.Gauge("usage_copies_used", "", "", float64(sta.summary.copies))
	}
}

// omit ends the work on a window without a report.
func (clr *collector) omit(window int64, sta *windowState, reason string) {
	if sta.done {
		return
	}
	sta.done = true
	clr.service.options.Log.Warn("usage report omitted", "Window", window, "Reason", reason, "Sends", sta.sends)
	clr.service.count("usage_report_omitted")
}
