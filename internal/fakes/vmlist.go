package fakes

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/vmlist"
)

// VMList is a fake of the platform's VM list. A GET of /vms returns the list; a PUT replaces it after
// Faults.LagMs.
type VMList struct {
	faults *Injector
	mut    sync.Mutex
	groups []vmlist.Group
}

// NewVMList returns a VM list with the given groups.
func NewVMList(gps []vmlist.Group, inj *Injector) *VMList {
	return &VMList{groups: gps, faults: inj}
}

// Handler serves the list at /vms.
func (lst *VMList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(wri http.ResponseWriter, _ *http.Request) {
		lst.mut.Lock()
		defer lst.mut.Unlock()
		writeJSON(wri, lst.groups)
	})
	mux.HandleFunc("PUT /vms", func(wri http.ResponseWriter, req *http.Request) {
		var gps []vmlist.Group
		if err := json.NewDecoder(req.Body).Decode(&gps); err != nil {
			http.Error(wri, err.Error(), http.StatusBadRequest)
			return
		}
		time.AfterFunc(time.Duration(lst.faults.Faults().LagMs)*time.Millisecond, func() { lst.set(gps) })
	})
	return lst.faults.Wrap(mux)
}

func writeJSON(wri http.ResponseWriter, val any) {
	if err := json.NewEncoder(wri).Encode(val); err != nil {
		return
	}
}

func (lst *VMList) set(gps []vmlist.Group) {
	lst.mut.Lock()
	defer lst.mut.Unlock()
	lst.groups = gps
}
