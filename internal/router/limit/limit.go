package limit

import (
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Gate admits the requests of all workspaces on one node.
type Gate struct {
	mut        sync.RWMutex
	nodes      int
	workspaces map[string]*workspace
}

type workspace struct {
	mut      sync.Mutex
	spec     router.Workspace
	bucket   *rate.Limiter
	inFlight int
	limit    int
}

// NewGate returns a gate that knows no workspace.
func NewGate() *Gate {
	return &Gate{nodes: 1, workspaces: make(map[string]*workspace)}
}

// Configure replaces the workspaces; requests in flight stay counted.
func (gat *Gate) Configure(wss []router.Workspace) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	nxt := make(map[string]*workspace, len(wss))
	for _, spc := range wss {
		wsp := gat.workspaces[spc.Name]
		if wsp == nil {
			wsp = &workspace{}
		}
		wsp.set(spc, gat.nodes)
		nxt[spc.Name] = wsp
	}
	gat.workspaces = nxt
}

// SetNodes sets the number of live nodes that share each limit.
func (gat *Gate) SetNodes(nodes int) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	if nodes == gat.nodes || nodes < 1 {
		return
	}
	gat.nodes = nodes
	for _, wsp := range gat.workspaces {
		wsp.set(wsp.spec, nodes)
	}
}

// Enter admits one request until done is called, or returns a *router.Refusal.
func (gat *Gate) Enter(name string, now time.Time) (done func(), err error) {
	gat.mut.RLock()
	wsp := gat.workspaces[name]
	gat.mut.RUnlock()
	if wsp == nil {
		return nil, router.Refuse(http.StatusUnauthorized, router.CodeKey, "workspace %s is not configured", name)
	}
	return wsp.enter(now)
}

func (wsp *workspace) set(spc router.Workspace, nodes int) {
	wsp.mut.Lock()
	defer wsp.mut.Unlock()
	wsp.spec = spc
	lim := rate.Limit(spc.RequestRate / float64(nodes))
	bst := share(spc.Burst, nodes)
	if wsp.bucket == nil {
		wsp.bucket = rate.NewLimiter(lim, bst)
	}
	wsp.bucket.SetLimit(lim)
	wsp.bucket.SetBurst(bst)
	wsp.limit = share(spc.InFlight, nodes)
}

func (wsp *workspace) enter(now time.Time) (done func(), err error) {
	wsp.mut.Lock()
	defer wsp.mut.Unlock()
	if wsp.inFlight >= wsp.limit {
		return nil, router.Refuse(http.StatusTooManyRequests, router.CodeRate,
			"workspace %s has %d requests in flight, the limit of this node", wsp.spec.Name, wsp.inFlight)
	}
	if !wsp.bucket.AllowN(now, 1) {
		return nil, router.Refuse(http.StatusTooManyRequests, router.CodeRate,
			"workspace %s is above %g requests a second", wsp.spec.Name, wsp.spec.RequestRate)
	}
	wsp.inFlight++
	return sync.OnceFunc(wsp.leave), nil
}

func (wsp *workspace) leave() {
	wsp.mut.Lock()
	defer wsp.mut.Unlock()
	wsp.inFlight--
}

func share(whole, nodes int) int {
	return max(1, int(math.Ceil(float64(whole)/float64(nodes))))
}
