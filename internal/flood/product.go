package flood

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/entry"
)

// The names in the configuration of a product node.
const (
	productKey   = "flood-key"
	productModel = "m"
)

// ProductOptions are the parameters of StartProduct.
type ProductOptions struct {
	// Binary is the path of the router's executable, and Dir the directory for its settings and log.
	Binary, Dir string
	// Engine and Service answer the requests of callers, Slots at a time each.
	Engine, Service http.Handler
	// List serves the list of VMs; nil means that there is none.
	List  http.Handler
	Slots int
	// AnswerBytes is the limit of answers of the service.
	AnswerBytes int
}

// StartProduct starts a node that serves the product's own interface. The caller calls Stop, also after an error.
func StartProduct(opt ProductOptions) (nod *Node, err error) {
	defer errs.Annotate(&err, "start node")
	nod = &Node{log: filepath.Join(opt.Dir, "node.log"), done: make(chan struct{}), sampled: make(chan struct{})}
	engine, err := nod.serve(opt.Engine)
	if err != nil {
		return nod, err
	}
	service, err := nod.serve(opt.Service)
	if err != nil {
		return nod, err
	}
	adrs, release, err := reserve(2)
	if err != nil {
		return nod, err
	}
	defer release()
	nod.Address = adrs[0]
	list := ""
	if opt.List != nil {
		adr, err := nod.serve(opt.List)
		if err != nil {
			return nod, err
		}
		list = "VMList: {URL: \"http://" + adr + "/vms\", Interval: 100ms}\n"
	}
	files := map[string]string{
		"node.yaml": fmt.Sprintf("Name: n-0\nFailureDomain: here\nListen: %s\nAdmin: %s\n%s", adrs[0], adrs[1], list),
		"base.yaml": fmt.Sprintf(`Deployment: flood
FailureDomains: [{Name: here, Region: home}]
Classes:
  - {Name: interactive, Tier: 0, FirstToken: 1s, BetweenTokens: 1s, Objective: 0.9, MinimumShare: 0.5}
Workspaces:
  - {Name: me, KeyDigests: [%s], RequestRate: 100000, Burst: 100000, InFlight: 10000, Classes: [interactive]}
Limits: {AnswerBytes: %d}
Pools:
  - Name: shop
    Kind: Service
    Operations:
      - {Name: order, Method: POST, Path: /endless, Idempotent: false}
      - {Name: lookup, Method: GET, Path: /endless, Idempotent: true}
      - {Name: stock, Method: GET, Path: /stock, Idempotent: true}
    Upstreams: [{Name: shop-1, FailureDomain: here, Address: "http://%s", Slots: %d}]
  - Name: model
    Kind: Engine
    Models: [%s]
    Extensions: true
    Upstreams: [{Name: engine-1, FailureDomain: here, Address: "http://%s", Slots: %d}]
`, entry.KeyDigest(productKey), opt.AnswerBytes, service, opt.Slots, productModel, engine, opt.Slots),
	}
	for nam, txt := range files {
		if err := os.WriteFile(filepath.Join(opt.Dir, nam), []byte(txt), 0o600); err != nil {
			return nod, err
		}
	}
	release()
	return nod, nod.launch(opt.Binary, "serve", "--node", filepath.Join(opt.Dir, "node.yaml"), "--base", filepath.Join(opt.Dir, "base.yaml"))
}
