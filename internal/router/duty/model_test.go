package duty

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// The model runs the state of three machines against a store and a platform in simulated time. Times are chosen by a seeded
// generator, so that a run can be repeated.
const (
	modelLease  = 3 * time.Second
	modelLimit  = time.Second
	modelThaw   = 300 * time.Millisecond
	modelWindow = 5 * time.Second
	modelLength = 50 * time.Second
	// modelLate is how long after its time limit a call may still arrive, because its bytes had left the machine before the reset.
	modelLate = 700 * time.Millisecond
)

type event struct {
	at  time.Duration
	num int
	run func()
}

type events []event

func (evs events) Len() int { return len(evs) }
func (evs events) Less(one, two int) bool {
	return evs[one].at < evs[two].at || evs[one].at == evs[two].at && evs[one].num < evs[two].num
}
func (evs events) Swap(one, two int) { evs[one], evs[two] = evs[two], evs[one] }
func (evs *events) Push(val any)     { *evs = append(*evs, val.(event)) }
func (evs *events) Pop() any {
	last := (*evs)[len(*evs)-1]
	*evs = (*evs)[:len(*evs)-1]
	return last
}

// content is what the store holds: the lease row and the stored reports, with their versions.
type content struct {
	version int64
	lease   row
	leaseAt int64
	reports map[int64]int64
}

func (con content) clone() content {
	cop := con
	cop.reports = make(map[int64]int64, len(con.reports))
	for win, num := range con.reports {
		cop.reports[win] = num
	}
	return cop
}

// arrival is a call that the platform accepted under the rules on order.
type arrival struct {
	at      time.Duration
	machine int
}

type world struct {
	rnd    *rand.Rand
	now    time.Duration
	events events
	num    int
	guards safeguards

	era    int64
	store  content
	backup content

	machines []*machine
	// unstored is set if reports are sent without being stored first.
	unstored bool
	// What the platform has seen: the owner of each token, the highest one, the report of each window and the calls of the last lease.
	owners   map[int64]int
	highest  int64
	reports  map[int64]int64
	arrivals []arrival
	accepted int
	broken   map[string]bool
}

type machine struct {
	world   *world
	index   int
	process int64
	state   *state
	dead    bool
	busy    bool
	frozen  time.Duration
	cut     time.Duration
	thawed  time.Duration
	stopped bool
	// final holds the reports that were stored, and composed those that this process wants to store. Windows before first were
	// over when the process first saw the era.
	final, composed map[int64]int64
	first           int64
}

func newWorld(seed uint64, grs safeguards) *world {
	wld := &world{
		rnd: rand.New(rand.NewPCG(seed, 1)), guards: grs, era: 1, store: content{reports: map[int64]int64{}},
		owners: map[int64]int{}, reports: map[int64]int64{}, broken: map[string]bool{},
	}
	wld.backup = wld.store.clone()
	for idx := range 3 {
		mac := &machine{world: wld, index: idx}
		mac.boot()
		wld.machines = append(wld.machines, mac)
	}
	wld.after(wld.between(time.Second, 5*time.Second), wld.fault)
	return wld
}

func (wld *world) after(delay time.Duration, run func()) {
	wld.num++
	heap.Push(&wld.events, event{at: wld.now + delay, num: wld.num, run: run})
}

func (wld *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(wld.rnd.Int64N(int64(high-low)))
}

func (wld *world) chance(share float64) bool { return wld.rnd.Float64() < share }

func (wld *world) run() {
	for wld.now < modelLength && len(wld.broken) == 0 {
		evt := heap.Pop(&wld.events).(event)
		wld.now = evt.at
		evt.run()
	}
}

// fault injects one fault and schedules the next one.
func (wld *world) fault() {
	mac := wld.machines[wld.rnd.IntN(len(wld.machines))]
	for _, one := range wld.machines {
		// Most faults concern the holder.
		if one.state.held && wld.chance(0.7) {
			mac = one
		}
	}
	switch wld.rnd.IntN(6) {
	case 0:
		mac.kill()
	case 1:
		mac.frozen = max(mac.frozen, wld.now+wld.between(100*time.Millisecond, 6*time.Second))
		mac.thawed = mac.frozen
	case 2:
		mac.cut = max(mac.cut, wld.now+wld.between(500*time.Millisecond, 8*time.Second))
	case 3:
		mac.stop()
	case 4:
		wld.backup = wld.store.clone()
	case 5:
		if wld.chance(0.5) {
			wld.store = wld.backup.clone()
			wld.era++
		}
	}
	wld.after(wld.between(500*time.Millisecond, 5*time.Second), wld.fault)
}

// boot starts a process on the machine.
func (mac *machine) boot() {
	wld := mac.world
	mac.process++
	mac.state = newState(string(rune('A'+mac.index)), mac.process, modelLease, wld.guards)
	mac.dead, mac.busy, mac.stopped = false, false, false
	mac.final, mac.composed = map[int64]int64{}, map[int64]int64{}
	mac.first = int64(wld.now/modelWindow) + 1
	mac.do(wld.between(0, 100*time.Millisecond), mac.tick)
}

func (mac *machine) kill() {
	mac.dead = true
	mac.world.after(mac.world.between(100*time.Millisecond, 5*time.Second), func() {
		if mac.dead {
			mac.boot()
		}
	})
}

// stop releases the lease, and then ends the process.
func (mac *machine) stop() {
	mac.stopped = true
	if att, ok := mac.state.beginRelease(mac.world.now); ok {
		mac.transact(att, 0, 0, func(int64, error) {})
	}
	mac.do(500*time.Millisecond, mac.kill)
}

// do runs a step of the current process after a delay, or when the machine is thawed.
func (mac *machine) do(delay time.Duration, run func()) {
	process := mac.process
	mac.world.after(delay, func() {
		switch {
		case mac.dead || mac.process != process:
		case mac.world.now < mac.frozen:
			mac.do(mac.frozen-mac.world.now, run)
		default:
			run()
		}
	})
}

// tick makes the calls to the store and to the platform that are due.
func (mac *machine) tick() {
	wld := mac.world
	mac.do(wld.between(40*time.Millisecond, 100*time.Millisecond), mac.tick)
	if mac.stopped {
		return
	}
	if !mac.busy {
		act, _ := mac.state.next(wld.now, mac.index)
		switch act {
		case actRead:
			mac.read()
		case actWrite:
			if att, ok := mac.state.beginWrite(wld.now); ok {
				mac.transact(att, 0, 0, func(int64, error) {})
			}
		}
	}
	if !mac.state.mayCall(wld.now, modelLimit) {
		return
	}
	win := int64(wld.now/modelWindow) - 1
	num, fnd := mac.final[win]
	switch {
	case fnd:
		mac.send(mac.state.seen.row.Token, win, num)
	case !mac.busy && win >= mac.first && mac.state.valid(wld.now, 0):
		mac.compose(win)
	default:
		mac.send(mac.state.seen.row.Token, 0, 0)
	}
}

// compose stores a report, or takes over the one that is stored.
func (mac *machine) compose(win int64) {
	if mac.composed[win] == 0 {
		mac.composed[win] = 1 + mac.world.rnd.Int64N(1<<40)
	}
	if mac.world.unstored {
		mac.final[win] = mac.composed[win]
		return
	}
	att, _ := mac.state.beginWrite(mac.world.now)
	mac.transact(att, win, mac.composed[win], func(stored int64, err error) {
		if err == nil {
			mac.final[win] = stored
		}
	})
}
