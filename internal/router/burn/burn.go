package burn

import (
	"hash/maphash"
	"sort"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
)

// Windows are the lengths over which burn is reported, the shortest first.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}
}

const (
	bucketLength = time.Minute
	bucketCount  = int(6 * time.Hour / bucketLength)
	shards       = 16
)

// Counts are requests over one window.
type Counts struct {
	Total  int64
	Missed int64
}

// Row is one class of one workspace at one site, with counts in the order of Windows.
type Row struct {
	Class     string
	Workspace string
	Site      string
	Objective float64
	Windows   []Counts
}

// Report is the rows of one node or of several.
type Report struct {
	Node string
	Rows []Row
	// Missing names live nodes that did not answer.
	Missing []string
}

// Rate returns the burn rate of one window of a row; 0 when it had no request.
func (row Row) Rate(window int) float64 {
	cnt := row.Windows[window]
	if cnt.Total == 0 || row.Objective >= 1 {
		return 0
	}
	return float64(cnt.Missed) / float64(cnt.Total) / (1 - row.Objective)
}

// Recorder counts a node's requests, in shards with a lock each.
type Recorder struct {
	timers router.Timers
	site   string
	seed   maphash.Seed
	shards [shards]shard
}

type shard struct {
	mut    sync.Mutex
	series map[key]*series
}

type key struct {
	class, workspace string
}

// series is a ring of buckets; each bucket knows the minute it counts.
type series struct {
	objective float64
	minutes   [bucketCount]int64
	counts    [bucketCount]Counts
}

// NewRecorder returns an empty Recorder of a site.
func NewRecorder(tms router.Timers, site string) *Recorder {
	rec := &Recorder{timers: tms, site: site, seed: maphash.MakeSeed()}
	for idx := range rec.shards {
		rec.shards[idx].series = make(map[key]*series)
	}
	return rec
}

// Observe counts one request.
func (rec *Recorder) Observe(obs meter.Observation) {
	if !obs.Counted() || obs.Class.Name == "" {
		return
	}
	now := rec.minute()
	kyy := key{class: obs.Class.Name, workspace: obs.Workspace}
	shd := rec.shard(kyy)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	ser := shd.series[kyy]
	if ser == nil {
		ser = &series{}
		shd.series[kyy] = ser
	}
	ser.objective = obs.Class.Objective
	ser.add(now, obs.Met())
}

// Report returns the counts of all windows up to now.
func (rec *Recorder) Report(node string) (rep Report) {
	rep.Node = node
	now := rec.minute()
	for idx := range rec.shards {
		rep.Rows = append(rep.Rows, rec.shards[idx].rows(now, rec.site)...)
	}
	sortRows(rep.Rows)
	return rep
}

// Merge adds reports; rows of one class, workspace and site become one.
func Merge(rps []Report) (res Report) {
	type rowKey struct{ class, workspace, site string }
	byk := make(map[rowKey]*Row)
	for _, rep := range rps {
		res.Missing = append(res.Missing, rep.Missing...)
		for _, row := range rep.Rows {
			kyy := rowKey{row.Class, row.Workspace, row.Site}
			sum := byk[kyy]
			if sum == nil {
				sum = &Row{Class: row.Class, Workspace: row.Workspace, Site: row.Site, Objective: row.Objective}
				sum.Windows = make([]Counts, len(row.Windows))
				byk[kyy] = sum
			}
			for idx, cnt := range row.Windows {
				sum.Windows[idx].Total += cnt.Total
				sum.Windows[idx].Missed += cnt.Missed
			}
		}
	}
	for _, row := range byk {
		res.Rows = append(res.Rows, *row)
	}
	sortRows(res.Rows)
	return res
}

func (rec *Recorder) minute() int64 {
	return rec.timers.Now().Unix() / int64(bucketLength.Seconds())
}

func (rec *Recorder) shard(kyy key) *shard {
	return &rec.shards[maphash.Comparable(rec.seed, kyy)%shards]
}

func (ser *series) add(minute int64, met bool) {
	idx := minute % int64(bucketCount)
	if ser.minutes[idx] != minute {
		ser.minutes[idx] = minute
		ser.counts[idx] = Counts{}
	}
	ser.counts[idx].Total++
	if !met {
		ser.counts[idx].Missed++
	}
}

// windows sums the buckets of each window that ends with the given minute.
func (ser *series) windows(minute int64) (cns []Counts) {
	for _, win := range Windows() {
		var sum Counts
		fst := minute - int64(win/bucketLength)
		for idx, one := range ser.minutes {
			if one > fst && one <= minute {
				sum.Total += ser.counts[idx].Total
				sum.Missed += ser.counts[idx].Missed
			}
		}
		cns = append(cns, sum)
	}
	return cns
}

func (shd *shard) rows(minute int64, site string) (rws []Row) {
	shd.mut.Lock()
	defer shd.mut.Unlock()
	for kyy, ser := range shd.series {
		rws = append(rws, Row{
			Class:     kyy.class,
			Workspace: kyy.workspace,
			Site:      site,
			Objective: ser.objective,
			Windows:   ser.windows(minute),
		})
	}
	return rws
}

func sortRows(rws []Row) {
	sort.Slice(rws, func(one, two int) bool {
		if rws[one].Class != rws[two].Class {
			return rws[one].Class < rws[two].Class
		}
		if rws[one].Workspace != rws[two].Workspace {
			return rws[one].Workspace < rws[two].Workspace
		}
		return rws[one].Site < rws[two].Site
	})
}
