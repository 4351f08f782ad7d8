package stand

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/vmlist"
)

// VMs is a stand-in for the platform's VM list; a PUT replaces it, and a GET shows it with the lag in force.
type VMs struct {
	faults *Switch
	mut    sync.Mutex
	groups []vmlist.Group
}

// NewVMs returns a list with the given entries.
func NewVMs(gps []vmlist.Group, swt *Switch) *VMs {
	return &VMs{groups: gps, faults: swt}
}

// Handler serves the list at /vms.
func (vms *VMs) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(wri http.ResponseWriter, _ *http.Request) {
		vms.mut.Lock()
		defer vms.mut.Unlock()
		reply(wri, vms.groups)
	})
	mux.HandleFunc("PUT /vms", func(wri http.ResponseWriter, req *http.Request) {
		var gps []vmlist.Group
		if err := json.NewDecoder(req.Body).Decode(&gps); err != nil {
			http.Error(wri, err.Error(), http.StatusBadRequest)
			return
		}
		time.AfterFunc(time.Duration(vms.faults.Faults().LagMs)*time.Millisecond, func() { vms.set(gps) })
	})
	return vms.faults.Wrap(mux)
}

func reply(wri http.ResponseWriter, val any) {
	if err := json.NewEncoder(wri).Encode(val); err != nil {
		return
	}
}

func (vms *VMs) set(gps []vmlist.Group) {
	vms.mut.Lock()
	defer vms.mut.Unlock()
	vms.groups = gps
}
