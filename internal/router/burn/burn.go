package burn

import (
	"hash/maphash"
	"sort"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
)

// Windows returns the window lengths for which counts are reported, the shortest first.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}
}

const (
	bucketLength = time.Minute
	// bucketCount covers the longest window.
	bucketCount = int(6 * time.Hour / bucketLength)
	shardCount  = 16
)

// Counts holds the number of requests in one window.
type Counts struct {
	Total int64
	// Missed is the number of requests that did not meet the target of their class.
	Missed int64
}

// Row holds the counts of one class of one workspace at one site (failure domain).
type Row struct {
	Class     string
	Workspace string
	Site      string
	// Objective is the share of requests, from 0 to 1, that must meet the target.
	Objective float64
	// Windows has the counts in the order of the function Windows.
	Windows []Counts
}

// Report holds the rows of one node, or the merged rows of several.
type Report struct {
	Node string
	Rows []Row
	// Missing lists the names of live nodes that did not answer.
	Missing []string
}

// Rate returns the burn rate of the window with the given index, or 0 when it has no requests or the error budget
// is 0.
func (row Row) Rate(window int) float64 {
	cnt := row.Windows[window]
	if cnt.Total == 0 || row.Objective >= 1 {
		return 0
	}
	return float64(cnt.Missed) / float64(cnt.Total) / (1 - row.Objective)
}

// Recorder counts the requests of one node. It is safe for concurrent use; the series are sharded to reduce lock
// contention.
type Recorder struct {
	timers router.Timers
	site   string
	seed   maphash.Seed
	shards [shardCount]shard
}

// shard holds the series of a part of the keys.
type shard struct {
	mut    sync.Mutex
	series map[seriesKey]*series
}

type seriesKey struct {
	class, workspace string
}

// series is a ring buffer of one-minute buckets. minutes holds the Unix minute that each bucket counts.
type series struct {
	objective float64
	minutes   [bucketCount]int64
	counts    [bucketCount]Counts
}

// NewRecorder returns an empty Recorder; site is the failure domain of the node.
func NewRecorder(tms router.Timers, site string) *Recorder {
	rec := &Recorder{timers: tms, site: site, seed: maphash.MakeSeed()}
	for idx := range rec.shards {
		rec.shards[idx].series = make(map[seriesKey]*series)
	}
	return rec
}

// Observe counts a finished request unless it has no class or does not count towards the objective.
func (rec *Recorder) Observe(obs meter.Observation) {
	if !obs.Counted() || obs.Class.Name == "" {
		return
	}
	now := rec.currentMinute()
	key := seriesKey{class: obs.Class.Name, workspace: obs.Workspace}
	shd := rec.shard(key)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	ser := shd.series[key]
	if ser == nil {
		ser = &series{}
		shd.series[key] = ser
	}
	ser.objective = obs.Class.Objective
	ser.count(now, obs.MetTarget())
}

// Report returns the counts of all windows that end now.
func (rec *Recorder) Report(node string) (rep Report) {
	rep.Node = node
	now := rec.currentMinute()
	for idx := range rec.shards {
		rep.Rows = append(rep.Rows, rec.shards[idx].rows(now, rec.site)...)
	}
	sortRows(rep.Rows)
	return rep
}

// Merge adds up reports by class, workspace and site, and joins their lists of missing nodes.
func Merge(rps []Report) (res Report) {
	type rowKey struct{ class, workspace, site string }
	rws := make(map[rowKey]*Row)
	for _, rep := range rps {
		res.Missing = append(res.Missing, rep.Missing...)
		for _, row := range rep.Rows {
			key := rowKey{row.Class, row.Workspace, row.Site}
			sum := rws[key]
			if sum == nil {
				sum = &Row{Class: row.Class, Workspace: row.Workspace, Site: row.Site, Objective: row.Objective}
				sum.Windows = make([]Counts, len(row.Windows))
				rws[key] = sum
			}
			for idx, cnt := range row.Windows {
				sum.Windows[idx].Total += cnt.Total
				sum.Windows[idx].Missed += cnt.Missed
			}
		}
	}
	for _, row := range rws {
		res.Rows = append(res.Rows, *row)
	}
	sortRows(res.Rows)
	return res
}

// currentMinute returns the current Unix time in minutes.
func (rec *Recorder) currentMinute() int64 {
	return rec.timers.Now().Unix() / int64(bucketLength.Seconds())
}

func (rec *Recorder) shard(key seriesKey) *shard {
	return &rec.shards[maphash.Comparable(rec.seed, key)%shardCount]
}

// count adds a request to the bucket of a minute, which it resets if the bucket holds an older minute.
func (ser *series) count(minute int64, met bool) {
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

// windowCounts returns the sum of the buckets for each window that ends with the given minute.
func (ser *series) windowCounts(minute int64) (cns []Counts) {
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
	for key, ser := range shd.series {
		rws = append(rws, Row{
			Class:     key.class,
			Workspace: key.workspace,
			Site:      site,
			Objective: ser.objective,
			Windows:   ser.windowCounts(minute),
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
