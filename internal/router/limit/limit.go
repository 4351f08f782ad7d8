package limit

import (
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Limiter limits the requests of all workspaces on one node. It is safe for concurrent use.
type Limiter struct {
	mut        sync.RWMutex
	nodes      int
	workspaces map[string]*workspace
}

// workspace holds this node's part of the limits of one workspace.
type workspace struct {
	mut      sync.Mutex
	spec     router.Workspace
	bucket   *rate.Limiter
	inFlight int
	// limit is the upper bound of inFlight on this node.
	limit int
}

// NewLimiter returns a Limiter without workspaces, for a single node.
func NewLimiter() *Limiter {
	return &Limiter{nodes: 1, workspaces: make(map[string]*workspace)}
}

// Configure replaces the workspaces. Those that remain keep their requests in flight and their rate state.
func (lim *Limiter) Configure(wss []router.Workspace) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	nxt := make(map[string]*workspace, len(wss))
	for _, spc := range wss {
		wsp := lim.workspaces[spc.Name]
		if wsp == nil {
			wsp = &workspace{}
		}
		wsp.configure(spc, lim.nodes)
		nxt[spc.Name] = wsp
	}
	lim.workspaces = nxt
}

// SetNodes sets the number of live nodes among which each limit is divided; values below 1 are ignored.
func (lim *Limiter) SetNodes(nodes int) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	if nodes == lim.nodes || nodes < 1 {
		return
	}
	lim.nodes = nodes
	for _, wsp := range lim.workspaces {
		wsp.configure(wsp.spec, nodes)
	}
}

// Admit admits a request, which is in flight until done is called, or returns a *router.Refusal.
func (lim *Limiter) Admit(name string, now time.Time) (done func(), err error) {
	lim.mut.RLock()
	wsp := lim.workspaces[name]
	lim.mut.RUnlock()
	if wsp == nil {
		return nil, router.Refuse(http.StatusUnauthorized, router.CodeKey, "workspace %s is not configured", name)
	}
	return wsp.admit(now)
}

func (wsp *workspace) configure(spc router.Workspace, nodes int) {
	wsp.mut.Lock()
	defer wsp.mut.Unlock()
	wsp.spec = spc
	rps := rate.Limit(spc.RequestRate / float64(nodes))
	bst := perNode(spc.Burst, nodes)
	if wsp.bucket == nil {
		wsp.bucket = rate.NewLimiter(rps, bst)
	}
	wsp.bucket.SetLimit(rps)
	wsp.bucket.SetBurst(bst)
	wsp.limit = perNode(spc.InFlight, nodes)
}

func (wsp *workspace) admit(now time.Time) (done func(), err error) {
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
	return sync.OnceFunc(wsp.release), nil
}

func (wsp *workspace) release() {
	wsp.mut.Lock()
	defer wsp.mut.Unlock()
	wsp.inFlight--
}

// perNode returns a node's part of a limit, rounded up and at least 1.
func perNode(total, nodes int) int {
	return max(1, int(math.Ceil(float64(total)/float64(nodes))))
}
