package vmlist

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/strict"
)

// Names and values of the labels of a Group.
const (
	LabelRole    = "role"
	LabelName    = "name"
	LabelState   = "state"
	StateLive    = "live"
	StateLeaving = "leaving"
	RoleNode     = "node"
	RoleUpstream = "upstream"
)

const (
	fetchTimeout = 2 * time.Second
	idleTimeout  = 90 * time.Second
	// maxListBytes bounds a list, of some thousand VMs.
	maxListBytes = 4 << 20
	// maxListValues bounds the values in it, which take many times their bytes when they are decoded.
	maxListValues = 100_000
)

// Group is a target group of the list: addresses that share their labels.
type Group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Client implements router.VMLister over HTTP.
type Client struct {
	url    string
	client *http.Client
}

// New returns a Client that reads the list at url.
func New(url string) *Client {
	return &Client{url: url, client: &http.Client{
		Timeout:   fetchTimeout,
		Transport: strict.Transport(&http.Transport{Proxy: http.ProxyFromEnvironment, IdleConnTimeout: idleTimeout}),
	}}
}

// List returns the VMs, or router.ErrUnavailable when the list cannot be fetched or decoded.
func (cli *Client) List(ctx context.Context) (vms []router.VM, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, cli.url, nil)
	if err != nil {
		return nil, err
	}
	res, err := cli.client.Do(req)
	if err != nil {
		return nil, errors.Join(router.ErrUnavailable, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(router.ErrUnavailable, "VM list answered %d", res.StatusCode)
	}
	txt, err := strict.ReadAll(res.Body, maxListBytes)
	if err != nil {
		return nil, errors.Join(router.ErrUnavailable, err)
	}
	if num := bytes.Count(txt, []byte{','}); num > maxListValues {
		return nil, errors.Wrapf(router.ErrUnavailable, "VM list with %d values", num)
	}
	var gps []Group
	if err := json.Unmarshal(txt, &gps); err != nil {
		return nil, errors.Join(router.ErrUnavailable, err)
	}
	return convert(gps), nil
}

func convert(gps []Group) (vms []router.VM) {
	for _, grp := range gps {
		for _, tgt := range grp.Targets {
			vms = append(vms, router.VM{
				Address: tgt,
				Role:    grp.Labels[LabelRole],
				Name:    grp.Labels[LabelName],
				Leaving: grp.Labels[LabelState] == StateLeaving,
			})
		}
	}
	return vms
}
