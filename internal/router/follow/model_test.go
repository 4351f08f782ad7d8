package follow

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// modelStore is a store of one kind of record that keeps all of its states.
type modelStore struct {
	era    int64
	states []map[string]router.Record
	log    []router.Record
}

func (mod *modelStore) version() int64 { return int64(len(mod.states) - 1) }

func (mod *modelStore) write(rec router.Record) {
	sta := maps.Clone(mod.states[mod.version()])
	rec.Version = mod.version() + 1
	if rec.Key != "" {
		sta[rec.Key] = rec
	}
	if rec.Deleted {
		delete(sta, rec.Key)
	}
	mod.states, mod.log = append(mod.states, sta), append(mod.log, rec)
}

// restore returns to the state at a version and begins an era if the store states eras.
func (mod *modelStore) restore(version int64) {
	mod.era++
	mod.states, mod.log = mod.states[:version+1], mod.log[:version]
}

func (mod *modelStore) read() (chs router.Changes) {
	chs = router.Changes{Era: mod.era, Version: mod.version(), Snapshot: true, StoreMs: mod.version() + 1}
	for _, rec := range mod.states[mod.version()] {
		chs.Records = append(chs.Records, rec)
	}
	return chs
}

// readPages returns a listing in two pages. The version is that of the first one; between is called before the second.
func (mod *modelStore) readPages(between func()) (chs router.Changes) {
	chs = mod.read()
	onFirst := func(rec router.Record) bool { return rec.Key == "record-0" }
	chs.Records = slices.DeleteFunc(chs.Records, func(rec router.Record) bool { return !onFirst(rec) })
	between()
	chs.Records = append(chs.Records, slices.DeleteFunc(mod.read().Records, onFirst)...)
	return chs
}

func (mod *modelStore) watch(after int64) (chs router.Changes) {
	chs = router.Changes{Era: mod.era, Version: mod.version(), StoreMs: mod.version() + 1}
	newest := make(map[string]router.Record)
	for _, rec := range mod.log[after:] {
		newest[rec.Key] = rec
	}
	delete(newest, "")
	for _, rec := range newest {
		chs.Records = append(chs.Records, rec)
	}
	return chs
}

// modelCase is a kind of history.
type modelCase struct {
	// restores has the store restored from a copy at times.
	restores bool
	// between is the largest number of changes between two pages of a listing.
	between int
}

// pending is a message that is under way to a node. An answer is lost when the node that asked for it restarts.
type pending struct {
	node    int
	digest  bool
	deliver func(fol *Follower)
}

// modelFleet is a store with nodes that hold copies of its records.
type modelFleet struct {
	random  *rand.Rand
	store   *modelStore
	nodes   []*Follower
	pending []pending
	steps   []string
}

// send puts a message on its way to a node. Most are delivered at once.
func (fle *modelFleet) send(what string, msg pending) {
	fle.steps = append(fle.steps, fmt.Sprintf("%s to %d", what, msg.node))
	fle.pending = append(fle.pending, msg)
	if fle.random.IntN(4) > 0 {
		fle.receive(len(fle.pending) - 1)
	}
}

func (fle *modelFleet) receive(pos int) {
	msg := fle.pending[pos]
	fle.pending = append(fle.pending[:pos:pos], fle.pending[pos+1:]...)
	fle.steps = append(fle.steps, fmt.Sprintf("delivered to %d", msg.node))
	msg.deliver(fle.nodes[msg.node])
}

func newModelNode() *Follower {
	return New(Options{Log: slog.New(slog.DiscardHandler), Apply: func(Update) {}})
}

// write makes a random change.
func (fle *modelFleet) write() {
	key := fmt.Sprint("record-", fle.random.IntN(3))
	switch act := fle.random.IntN(7); {
	case act < 3:
		fle.store.write(router.Record{Key: key, Value: []byte(fmt.Sprint(fle.store.era, " ", fle.store.version()))})
	case act < 6:
		fle.store.write(router.Record{Key: key, Deleted: true})
	default:
		// A record of another kind.
		fle.store.write(router.Record{})
	}
}

// step makes one random step.
func (fle *modelFleet) step(cas modelCase) {
	num := fle.random.IntN(len(fle.nodes))
	fol := fle.nodes[num]
	oth := fle.nodes[fle.random.IntN(len(fle.nodes))]
	switch act := fle.random.IntN(20); {
	case act < 7:
		fle.write()
	case act < 8:
		fle.steps = append(fle.steps, fmt.Sprint("restart of ", num))
		fle.nodes[num] = newModelNode()
		fle.pending = slices.DeleteFunc(fle.pending, func(msg pending) bool { return msg.node == num && !msg.digest })
	case act < 9:
		chs := fle.store.readPages(func() {
			for range fle.random.IntN(cas.between + 1) {
				fle.write()
			}
		})
		fle.send(fmt.Sprint("snapshot ", chs.Version), pending{node: num, deliver: func(fol *Follower) { fromStore(fol, chs) }})
	case act < 12:
		if pos := fol.Position(); pos.Complete > 0 && pos.Era == fle.store.era {
			chs := fle.store.watch(pos.Complete)
			fle.send(fmt.Sprintf("changes %d to %d", pos.Complete, chs.Version), pending{node: num, deliver: func(fol *Follower) { fromStore(fol, chs) }})
		}
	case act < 15:
		chs := oth.ChangesFor(fol.Position())
		fle.send(fmt.Sprintf("copy %d of a peer", chs.Version), pending{node: num, deliver: func(fol *Follower) { fol.MergePeer(chs) }})
	case act < 18:
		pos, storeMs, age := oth.Confirmed()
		fle.send(fmt.Sprintf("digest %+v", pos), pending{node: num, digest: true, deliver: func(fol *Follower) { fol.Confirm(pos, storeMs, age) }})
	case act < 19 && len(fle.pending) > 0:
		fle.receive(fle.random.IntN(len(fle.pending)))
	case cas.restores && fle.random.IntN(10) == 0:
		fle.steps = append(fle.steps, "restoration")
		fle.store.restore(fle.random.Int64N(fle.store.version()) + 1)
	}
}

// fromStore delivers an answer of the store, as Run does.
func fromStore(fol *Follower, chs router.Changes) {
	if fol.checkEra(chs) == nil && (chs.Snapshot || fol.Version() > 0) {
		fol.apply(chs, time.Now())
	}
}

// TestCopiesMatchStore guards against a copy that claims to be complete up to a version of the store, or is confirmed for a time,
// but holds a record that was deleted before, or lacks one that was written. Nodes are restarted, read snapshots, watch the
// store and exchange copies and digests; messages are held up and come out of order.
func TestCopiesMatchStore(t *testing.T) {
	const seeds, steps = 400, 300
	cases := map[string]modelCase{
		"store without an era":            {},
		"store that is restored at times": {restores: true},
		"changes between two pages":       {restores: true, between: 3},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				fle := &modelFleet{random: rand.New(rand.NewPCG(seed, 1)), store: &modelStore{states: []map[string]router.Record{{}}}}
				fle.store.write(router.Record{Key: "record-0"})
				for range 4 {
					fle.nodes = append(fle.nodes, newModelNode())
				}
				for range steps {
					fle.step(cas)
					if err := fle.check(); err != nil {
						t.Fatalf("seed %d: %v, after %q", seed, err, fle.steps[max(0, len(fle.steps)-20):])
					}
				}
			}
		})
	}
}

// check compares each copy with the store's state at the version up to which it is complete. Records may be newer, after a
// listing in pages. Times of the store are its versions plus one here.
func (fle *modelFleet) check() (err error) {
	for num, fol := range fle.nodes {
		pos, storeMs, _ := fol.Confirmed()
		if pos.Complete == 0 || pos.Era != fle.store.era {
			continue
		}
		if storeMs > pos.Complete+1 {
			return fmt.Errorf("node %d is complete up to %d and confirmed up to %d", num, pos.Complete, storeMs-1)
		}
		sta := fle.store.states[pos.Complete]
		for key, rec := range fol.records {
			if want := sta[key]; rec.Version <= pos.Complete && rec.Version != want.Version || string(rec.Value) != string(fle.store.log[rec.Version-1].Value) {
				return fmt.Errorf("node %d at %+v holds %v, the store held %v", num, pos, fol.records, sta)
			}
		}
		for key, rec := range sta {
			if own, fnd := fol.records[key]; own.Version < rec.Version && (fnd || !fle.store.changedAfter(key, pos.Complete)) {
				return fmt.Errorf("node %d at %+v holds %v, the store held %v", num, pos, fol.records, sta)
			}
		}
	}
	return nil
}

// changedAfter reports whether a record was written or deleted after a version.
func (mod *modelStore) changedAfter(key string, version int64) (ok bool) {
	return slices.ContainsFunc(mod.log[version:], func(rec router.Record) bool { return rec.Key == key })
}
