package chaos

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// patience is how long a caller waits for an order's answer before it sends it again.
	patience = 4 * time.Second
)

// Told is what a caller was told of one sending of an order.
type Told struct {
	Key     string
	Node    string
	Request string
	Status  int
	Outcome router.Outcome
	Body    string
	// Cut is set when the caller got no answer at all.
	Cut bool
}

// Callers sends orders and remembers what it was told.
type Callers struct {
	fleet  *fleet.Fleet
	client *http.Client
	key    string
	path   string
	mut    sync.Mutex
	told   []Told
}

// NewCallers returns callers of the first workspace for the first operation of the plain services.
func NewCallers(flt *fleet.Fleet) *Callers {
	pol := flt.Config.Pools[1]
	return &Callers{
		fleet:  flt,
		client: &http.Client{Timeout: patience},
		key:    fleet.KeyPrefix + flt.Config.Workspaces[0].Name,
		path:   "/services/" + pol.Name + pol.Operations[0].Path,
	}
}

// Order sends an order through a node and remembers the answer.
func (cls *Callers) Order(ctx context.Context, node int, key string) (tld Told) {
	defer func() {
		cls.mut.Lock()
		defer cls.mut.Unlock()
		cls.told = append(cls.told, tld)
	}()
	tld = Told{Key: key, Node: cls.fleet.Nodes[node].Name, Cut: true}
	bdy := fmt.Sprintf(`{"Order":%q}`, key)
	res, err := cls.send(ctx, http.MethodPost, node, cls.path, bdy, map[string]string{
		router.HeaderOrderKey: key,
		router.HeaderClass:    cls.fleet.Config.Classes[1].Name,
	})
	if err != nil {
		return tld
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return tld
	}
	tld.Cut = false
	tld.Status = res.StatusCode
	tld.Outcome = router.Outcome(res.Header.Get(router.HeaderOutcome))
	tld.Request = res.Header.Get(router.HeaderRequest)
	tld.Body = string(raw)
	return tld
}

// Told returns everything that callers were told.
func (cls *Callers) Told() []Told {
	cls.mut.Lock()
	defer cls.mut.Unlock()
	return append([]Told(nil), cls.told...)
}

func (cls *Callers) send(ctx context.Context, method string, node int, path, body string, hdr map[string]string) (res *http.Response, err error) {
	req, err := http.NewRequestWithContext(ctx, method, cls.fleet.Nodes[node].URL+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+cls.key)
	for nam, val := range hdr {
		req.Header.Set(nam, val)
	}
	return cls.client.Do(req)
}
