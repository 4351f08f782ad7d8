package place

import (
	"math"
	"time"
)

const (
	// readingUnread is the unread work from which an engine reads in every step between two events, in tokens; engines read about 2,000 in a step.
	readingUnread = 6000
	// readingPause is about the time between two events of a stream while its engine reads a prompt, until events show it.
	readingPause = 140 * time.Millisecond
	// paceHalfLife is the time in which the memory of past slowness halves while events show the present; two or three events of a stream.
	paceHalfLife = 60 * time.Millisecond
	// spellHalfLife is the time in which half of the slow spells end that no event shows any more; spells last about 600 ms.
	spellHalfLife = 300 * time.Millisecond
	// freshWithin is how old an event may be to show an engine's present pace; a few events of a stream.
	freshWithin = 150 * time.Millisecond
	// slowMost bounds what a single pause can make of an engine's slowness.
	slowMost = 4.0
	// usualWeight is the weight of a pause above the usual ones in these, and usualFall that of one below, which correct an estimate from a slow spell.
	usualWeight = 0.03
	usualFall   = 0.1
	// usualClip is how far above the usual a pause counts towards the usual, so that slow spells hardly change it.
	usualClip = 1.3
	// bunchedShare is the share of the usual pause below which the network delivered events together.
	bunchedShare = 0.3
)

// pace is how fast an engine generates, by the pauses between the events of its streams.
type pace struct {
	// calm and reading are the usual pauses while the engine reads no prompts and while it reads all the time; zero means unknown.
	calm, reading time.Duration
	// slow is how many times longer than usual the pauses were lately, as of seen.
	slow float64
	seen time.Time
	// told is set when a peer saw the slowness and not this node.
	told bool
}

// observe takes a pause between two events of a stream; unread is the work that waited meanwhile, in tokens.
func (pac *pace) observe(gap time.Duration, unread int, now time.Time) {
	if gap <= 0 {
		return
	}
	if pac.calm == 0 {
		pac.calm, pac.reading, pac.slow, pac.seen = gap, max(readingPause, gap), 1, now
		return
	}
	share := min(1, float64(unread)/readingUnread)
	usual := float64(pac.calm) + share*float64(pac.reading-pac.calm)
	ratio := float64(gap) / usual
	// Streams of one engine have their events at the same moments; only the first of them says something new.
	keep := math.Exp2(-min(now.Sub(pac.seen), gap).Seconds() / paceHalfLife.Seconds())
	pac.slow = keep*pac.at(now) + (1-keep)*min(ratio, slowMost)
	pac.seen, pac.told = now, false
	if ratio < bunchedShare {
		return
	}
	weight := usualWeight
	if ratio < 1 {
		weight = usualFall
	}
	change := weight * (min(ratio, usualClip) - 1)
	switch {
	case unread == 0:
		pac.calm += time.Duration(change * float64(pac.calm))
	case share == 1:
		pac.reading += time.Duration(change * float64(pac.reading))
	}
}

// fresh returns the slowness that own streams show now; zero when none had an event just now.
func (pac *pace) fresh(now time.Time) (slow float64) {
	if pac.told || now.Sub(pac.seen) > freshWithin {
		return 0
	}
	return pac.slow
}

// learn takes the slowness that a peer's streams show, unless own ones show it.
func (pac *pace) learn(slow float64, now time.Time) {
	if pac.fresh(now) == 0 {
		pac.slow, pac.seen, pac.told = min(slow, slowMost), now, true
	}
}

// at returns how many times longer than usual an engine's steps are expected to take now.
func (pac *pace) at(now time.Time) float64 {
	if pac.seen.IsZero() {
		return 1
	}
	return 1 + (pac.slow-1)*math.Exp2(-now.Sub(pac.seen).Seconds()/spellHalfLife.Seconds())
}
