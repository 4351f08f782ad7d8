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
	// answerTimeout is how long a client waits for the answer to an order before it repeats the order.
	answerTimeout = 4 * time.Second
)

// Response is what a client received for one attempt to send an order.
type Response struct {
	// Key is the idempotency key of the order.
	Key string
	// Node is the name of the node that the order was sent to.
	Node string
	// RequestID is the router's ID of this attempt; the services record it with each execution.
	RequestID string
	Status    int
	Outcome   router.Outcome
	Body      string
	// NoAnswer is set if no complete answer arrived; only Key and Node are set then.
	NoAnswer bool
}

// Client sends requests through the nodes of a fleet and records the responses to its orders. It is safe
// for concurrent use.
type Client struct {
	fleet      *fleet.Fleet
	httpClient *http.Client
	key        string
	path       string
	mut        sync.Mutex
	responses  []Response
}

// NewClient returns a client of the first workspace. Its orders go to the first operation of the second
// pool, which must be the one of the plain services.
func NewClient(flt *fleet.Fleet) *Client {
	pol := flt.Config.Pools[1]
	return &Client{
		fleet:      flt,
		httpClient: &http.Client{Timeout: answerTimeout},
		key:        fleet.KeyPrefix + flt.Config.Workspaces[0].Name,
		path:       "/services/" + pol.Name + pol.Operations[0].Path,
	}
}

// SendOrder sends an order through the node with the given index and records the response.
func (cli *Client) SendOrder(ctx context.Context, node int, key string) (rsp Response) {
	defer func() {
		cli.mut.Lock()
		defer cli.mut.Unlock()
		cli.responses = append(cli.responses, rsp)
	}()
	rsp = Response{Key: key, Node: cli.fleet.Nodes[node].Name, NoAnswer: true}
	bdy := fmt.Sprintf(`{"Order":%q}`, key)
	res, err := cli.send(ctx, http.MethodPost, node, cli.path, bdy, map[string]string{
		router.HeaderOrderKey: key,
		router.HeaderClass:    cli.fleet.Config.Classes[1].Name,
	})
	if err != nil {
		return rsp
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return rsp
	}
	rsp.NoAnswer = false
	rsp.Status = res.StatusCode
	rsp.Outcome = router.Outcome(res.Header.Get(router.HeaderOutcome))
	rsp.RequestID = res.Header.Get(router.HeaderRequest)
	rsp.Body = string(raw)
	return rsp
}

// Responses returns the responses to all orders so far.
func (cli *Client) Responses() []Response {
	cli.mut.Lock()
	defer cli.mut.Unlock()
	return append([]Response(nil), cli.responses...)
}

func (cli *Client) send(ctx context.Context, method string, node int, path, body string, hdr map[string]string) (res *http.Response, err error) {
	req, err := http.NewRequestWithContext(ctx, method, cli.fleet.Nodes[node].URL+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+cli.key)
	for nam, val := range hdr {
		req.Header.Set(nam, val)
	}
	return cli.httpClient.Do(req)
}
