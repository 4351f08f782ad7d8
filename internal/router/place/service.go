package place

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// maxClasses is the maximum number of classes of calls of a service.
	maxClasses = 3
	// longPrefillTime is the prefill time from which a prompt noticeably delays the events of other calls. It separates
	// two classes of a service whose routes have a single gap target.
	longPrefillTime = 100 * time.Millisecond
	// noGapTarget represents routes without a gap target.
	noGapTarget = time.Duration(math.MaxInt64)
)

// service holds the classes of calls of one service, the demand for them, and the partition of its engines among them.
type service struct {
	// hash is the hash of the service's name.
	hash uint64

	mut sync.Mutex
	// gapTargets holds the lowest gap target of each class, in ascending order. A single one stands for two classes: the
	// calls with short prompts and those with long ones.
	gapTargets []time.Duration
	meters     [maxClasses]demandMeter
	// peers holds the latest demand that each peer reported, by class.
	peers map[string][]Demand
	// bounds are the boundaries of the division; see moveBoundaries.
	bounds []float64
	// divided is when the division was last adjusted; zero before the first call.
	divided   time.Time
	partition *partition
	// slowUpdated is when the rates of the engines were last compared.
	slowUpdated time.Time
	slots       int
	memory      memoryState
	speed       speed
}

// speed holds the usual speed of the engines of a service. Its lock may be taken while any other lock is held.
type speed struct {
	mut sync.Mutex
	// prefillRate and prefillGap are moving averages over all engines; see load and gapTracker.
	prefillRate float64
	prefillGap  time.Duration
	// byWork holds the mean prefill rates by the amount of work with which they were observed.
	byWork [workBuckets]average
	// median is the median of the fleet's rates of the engines; zero if unknown.
	median float64
}

// get returns the prefill rate in tokens per millisecond and the gap between events during prefill.
func (spd *speed) get() (prefillRate float64, prefillGap time.Duration) {
	spd.mut.Lock()
	defer spd.mut.Unlock()
	return spd.prefillRate, spd.prefillGap
}

// observeRate adds an observation of an engine's prefill rate.
func (spd *speed) observeRate(rate float64) {
	spd.mut.Lock()
	defer spd.mut.Unlock()
	spd.prefillRate += serviceWeight * (rate - spd.prefillRate)
}

// observeGap adds an engine's gap between events during prefill.
func (spd *speed) observeGap(gap time.Duration) {
	spd.mut.Lock()
	defer spd.mut.Unlock()
	spd.prefillGap += time.Duration(serviceWeight * float64(gap-spd.prefillGap))
}

// newService returns a service whose routes have unknown gap targets.
func newService(name string) *service {
	svc := &service{hash: xxhash.Sum64String(name), peers: make(map[string][]Demand)}
	svc.speed = speed{prefillRate: defaultRate, prefillGap: defaultPrefillGap}
	svc.setGapTargets(nil)
	return svc
}

// setGapTargets defines the classes by the gap targets of the routes; zero means none. The classes keep their demand if the
// targets have not changed.
func (svc *service) setGapTargets(durs []time.Duration) {
	durs = slices.Clone(durs)
	for num, dur := range durs {
		if dur <= 0 {
			durs[num] = noGapTarget
		}
	}
	slices.Sort(durs)
	durs = mergeNearest(slices.Compact(durs), maxClasses)
	if len(durs) == 0 {
		durs = []time.Duration{noGapTarget}
	}
	if slices.Equal(durs, svc.gapTargets) {
		return
	}
	svc.gapTargets = durs
	svc.meters = [maxClasses]demandMeter{}
	clear(svc.peers)
	num := svc.numClasses()
	svc.bounds = initialBounds(num)
	svc.divided, svc.partition = time.Time{}, nil
}

// initialBounds returns the boundaries before any demand is known. The class with the highest gap target, which usually has
// the longest prompts, gets twice as many engines as each other class.
func initialBounds(classes int) (bounds []float64) {
	bounds = make([]float64, classes)
	for num := range classes {
		bounds[num] = float64(num+1) / float64(classes+1)
	}
	bounds[classes-1] = 1
	return bounds
}

// mergeNearest merges the ascending gap targets that have the lowest ratio until at most limit are left; the lower one of
// both stays.
func mergeNearest(durs []time.Duration, limit int) []time.Duration {
	for len(durs) > limit {
		best, ratio := 0, math.Inf(1)
		for num := range len(durs) - 1 {
			if val := float64(durs[num+1]) / float64(durs[num]); val < ratio {
				best, ratio = num, val
			}
		}
		durs = slices.Delete(durs, best+1, best+2)
	}
	return durs
}

// numClasses returns the number of classes.
func (svc *service) numClasses() int {
	return max(2, len(svc.gapTargets))
}

// classOf returns the class of a call: the last one whose gap target is not above the call's, or the first.
func (svc *service) classOf(req Request) class {
	if len(svc.gapTargets) == 1 {
		if rate, _ := svc.speed.get(); float64(req.PromptTokens) < rate*float64(longPrefillTime.Milliseconds()) {
			return 0
		}
		return 1
	}
	tgt := req.GapTarget
	if tgt <= 0 {
		tgt = noGapTarget
	}
	res := class(0)
	for num, one := range svc.gapTargets {
		if one <= tgt {
			res = class(num)
		}
	}
	return res
}

// demand returns the demand for a class at this node and its peers.
func (svc *service) demand(cls int, now time.Time) (dem Demand) {
	dem = svc.meters[cls].current(now)
	for _, dems := range svc.peers {
		if cls < len(dems) {
			dem.add(dems[cls])
		}
	}
	return dem
}

// adjust moves the division of a number of engines towards the demand and reports whether it changed.
func (svc *service) adjust(engines int, now time.Time) (changed bool) {
	if svc.divided.IsZero() {
		// Let demand be measured first.
		svc.divided = now
	}
	if now.Sub(svc.divided) < divisionInterval {
		return false
	}
	_, gap := svc.speed.get()
	lods, sum := make([]classLoad, svc.numClasses()), 0.0
	for cls := range lods {
		tgt := svc.gapTargets[min(cls, len(svc.gapTargets)-1)]
		lods[cls] = classLoad{Demand: svc.demand(cls, now), gapRisk: min(1, float64(gap)/float64(tgt))}
		sum += lods[cls].Calls
	}
	if sum < minCallRate {
		return false
	}
	svc.divided = now
	return moveBoundaries(svc.bounds, divide(lods, engines, svc.slots), max(maxDivisionStep, 1/float64(engines)))
}

// begin records a call of a class.
func (svc *service) begin(cls class, req Request, prefillTokens int, now time.Time) {
	svc.mut.Lock()
	defer svc.mut.Unlock()
	svc.meters[cls].begin(prefillTokens, now)
	svc.memory.prompt.add(float64(req.PromptTokens), serviceWeight)
	if req.Engine != nil && req.Engine.Slots > 0 {
		svc.slots = req.Engine.Slots
	}
}

// end records the end of a call of a class.
func (svc *service) end(cls class, now time.Time) {
	svc.mut.Lock()
	defer svc.mut.Unlock()
	if met := &svc.meters[cls]; met.running > 0 {
		met.end(now)
	}
}

// serviceWeight is the weight of the newest observation of an engine in the averages of its service.
const serviceWeight = 0.02

// serviceState returns the service of a call and the partition of a list of engines, and sets what the service knows in the
// request.
func (bal *Balancer) serviceState(req *Request, list []router.Instance) (svc *service, par *partition) {
	svc = bal.serviceOf(req.Service)
	svc.mut.Lock()
	defer svc.mut.Unlock()
	now := bal.options.Timers.Now()
	changed := svc.adjust(len(list), now)
	if svc.partition != nil {
		for _, chg := range svc.updateSlow(svc.partition, now) {
			changed = true
			if bal.options.OnSpeed != nil {
				bal.options.OnSpeed(chg)
			}
		}
	}
	if par = svc.partition; changed || par == nil || len(par.list) != len(list) || &par.list[0] != &list[0] {
		par = bal.newPartition(list, svc.bounds, svc)
		svc.partition = par
	}
	_, req.prefillGap = svc.speed.get()
	req.class = svc.classOf(*req)
	if svc.memory.scarce(req.Engine) {
		req.memory = &memoryView{spec: req.Engine, state: svc.memory}
	}
	return svc, par
}

// serviceOf returns the state of a service and creates it if necessary.
func (bal *Balancer) serviceOf(name string) *service {
	bal.mut.Lock()
	defer bal.mut.Unlock()
	svc := bal.services[name]
	if svc == nil {
		svc = newService(name)
		bal.services[name] = svc
	}
	return svc
}

// SetGapTargets defines the classes of a service's calls by the gap targets of its routes; zero means none.
func (bal *Balancer) SetGapTargets(name string, durs []time.Duration) {
	svc := bal.serviceOf(name)
	svc.mut.Lock()
	defer svc.mut.Unlock()
	svc.setGapTargets(durs)
}

// LocalDemand returns the demand for each class at this node, by the hash of the service's name.
func (bal *Balancer) LocalDemand() (dems map[uint64][]Demand) {
	now := bal.options.Timers.Now()
	dems = make(map[uint64][]Demand)
	for _, svc := range bal.allServices() {
		svc.mut.Lock()
		one, sum := make([]Demand, svc.numClasses()), 0.0
		for cls := range one {
			one[cls] = svc.meters[cls].current(now)
			sum += one[cls].Calls
		}
		svc.mut.Unlock()
		if sum > 0 {
			dems[svc.hash] = one
		}
	}
	return dems
}

// SetPeerDemand replaces the demand that a peer reported, by the hash of the service's name; nil removes the peer.
func (bal *Balancer) SetPeerDemand(name string, dems map[uint64][]Demand) {
	for _, svc := range bal.allServices() {
		svc.mut.Lock()
		if one := dems[svc.hash]; len(one) > 0 {
			svc.peers[name] = one
		} else {
			delete(svc.peers, name)
		}
		svc.mut.Unlock()
	}
}

func (bal *Balancer) allServices() (svcs []*service) {
	bal.mut.Lock()
	defer bal.mut.Unlock()
	for _, svc := range bal.services {
		svcs = append(svcs, svc)
	}
	return svcs
}
