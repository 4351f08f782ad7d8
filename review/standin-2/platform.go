package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// dutyRules are the bounds of the rule ONE.
type dutyRules struct {
	Lease, Thaw time.Duration
	PerSecond   int
}

type dutyCall struct {
	at      time.Time
	machine string
	token   int64
}

// Platform is a stand-in of the address for duty calls, which judges the rule ONE.
type Platform struct {
	rec   *Recorder
	rules dutyRules

	mut      sync.Mutex
	owners   map[string]string
	highest  map[string]int64
	calls    map[string][]dutyCall
	excused  map[string]time.Time
	reports  map[int64]map[string]int64
	second   int64
	accepted int
	last     string
	mode     StoreMode
	lose     func(machine string) bool
}

// NewPlatform returns a Platform that has got no call.
func NewPlatform(rec *Recorder, rules dutyRules) *Platform {
	return &Platform{
		rec: rec, rules: rules, owners: make(map[string]string), highest: make(map[string]int64), calls: make(map[string][]dutyCall),
		excused: make(map[string]time.Time), reports: make(map[int64]map[string]int64),
	}
}

// Excuse notes that a machine was thawed or its link healed.
func (pla *Platform) Excuse(machine string) {
	pla.mut.Lock()
	defer pla.mut.Unlock()
	pla.excused[machine] = time.Now()
}

// Last returns the machine of the last call.
func (pla *Platform) Last() string {
	pla.mut.Lock()
	defer pla.mut.Unlock()
	return pla.last
}

// Reports returns the number of windows reported.
func (pla *Platform) Reports() int {
	pla.mut.Lock()
	defer pla.mut.Unlock()
	return len(pla.reports)
}

// Handler returns the API for one machine.
func (pla *Platform) Handler(machine string) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		var body struct {
			Window  *int64           `json:"windowId"`
			Counts  map[string]int64 `json:"counts"`
			Service string           `json:"service"`
			Zone    string           `json:"zone"`
			Count   int              `json:"desiredCount"`
		}
		if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
			wri.WriteHeader(http.StatusBadRequest)
			return
		}
		token, _ := strconv.ParseInt(req.Header.Get("Fencing-Token"), 10, 64)
		pla.mut.Lock()
		defer pla.mut.Unlock()
		now := time.Now()
		if now.Unix() != pla.second {
			pla.second, pla.accepted = now.Unix(), 0
		}
		if pla.accepted++; pla.accepted > pla.rules.PerSecond {
			wri.WriteHeader(http.StatusTooManyRequests)
			return
		}
		pla.last = machine
		subject := "usage"
		if req.URL.Path == "/scaling" {
			subject = "scaling " + body.Service + " " + body.Zone
		}
		pla.rec.Line("duty %s of %s (%s) fence %d window %d counts %v count %d", subject, machine, req.Header.Get("Duty-Holder"), token, deref(body.Window), body.Counts, body.Count)
		pla.judge(subject, dutyCall{at: now, machine: machine, token: token})
		if req.URL.Path == "/usage" && body.Window != nil {
			if old, fnd := pla.reports[*body.Window]; fnd && !maps.Equal(old, body.Counts) {
				pla.rec.Break("ONE: window %d reported as %v and as %v", *body.Window, old, body.Counts)
			}
			pla.reports[*body.Window] = body.Counts
		}
		if pla.lose != nil && pla.lose(machine) {
			panic(http.ErrAbortHandler)
		}
		wri.WriteHeader(http.StatusOK)
	})
}

func deref(num *int64) int64 {
	if num == nil {
		return -1
	}
	return *num
}

// judge judges the fence and the order of holders; the lock is held.
func (pla *Platform) judge(subject string, cal dutyCall) {
	key := fmt.Sprintf("%s/%d", subject, cal.token)
	if own, fnd := pla.owners[key]; fnd && own != cal.machine {
		pla.rec.Break("ONE: fence %d of %s and %s for %s", cal.token, own, cal.machine, subject)
	}
	pla.owners[key] = cal.machine
	if at, fnd := pla.excused[cal.machine]; fnd && cal.at.Sub(at) <= pla.rules.Thaw {
		return
	}
	if cal.token < pla.highest[subject] {
		pla.rec.Break("ONE: fence %d of %s after %d for %s", cal.token, cal.machine, pla.highest[subject], subject)
	}
	pla.highest[subject] = max(pla.highest[subject], cal.token)
	between := false
	for idx := len(pla.calls[subject]) - 1; idx >= 0; idx-- {
		old := pla.calls[subject][idx]
		if cal.at.Sub(old.at) > pla.rules.Lease {
			break
		}
		if old.machine != cal.machine {
			between = true
		} else if between {
			pla.rec.Break("ONE: holders act in the order %s, another, %s within %s for %s", cal.machine, cal.machine, pla.rules.Lease, subject)
			break
		}
	}
	pla.calls[subject] = append(pla.calls[subject], cal)
}
