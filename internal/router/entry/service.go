package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/relay"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/runner"
)

// maxKeyLength is the longest idempotency key in bytes.
const maxKeyLength = 255

// service serves a call of a plain service.
func (ent *Entry) service(vis *visit) (err error) {
	pth := "/" + vis.request.PathValue("path")
	pol, opn, err := vis.state.operation(vis.request.PathValue("pool"), vis.request.Method, pth)
	if err != nil {
		return err
	}
	vis.pool = pol
	bdy, err := vis.readBody()
	if err != nil {
		return err
	}
	vst := runner.Visit{
		ID:        vis.id,
		Workspace: vis.workspace.Name,
		Class:     vis.class,
		Pool:      pol,
		Call:      vis.call(pth, bdy),
		Arrived:   vis.arrived,
	}
	ans, err := ent.run(vis, vst, opn)
	if err != nil {
		return err
	}
	ent.writeAnswer(vis, ans)
	return nil
}

// run chooses between a call that may be repeated and an order that may not.
func (ent *Entry) run(vis *visit, vst runner.Visit, opn router.Operation) (ans *router.Answer, err error) {
	if opn.Idempotent {
		return ent.options.Runner.Lookup(vis.request.Context(), vst)
	}
	key := vis.request.Header.Get(router.HeaderOrderKey)
	if key == "" || len(key) > maxKeyLength {
		return nil, router.Refuse(http.StatusBadRequest, router.CodeOrderKey,
			"operation %s needs an Idempotency-Key of 1 to %d bytes", opn.Name, maxKeyLength)
	}
	ord := router.Order{Workspace: vis.workspace.Name, Key: key, Digest: orderDigest(vis.pool.Name, vst.Call)}
	return ent.options.Runner.Order(vis.request.Context(), vst, ord)
}

// call returns the request for the upstream, without the caller's credentials.
func (vis *visit) call(path string, bdy []byte) relay.Call {
	hdr := make(http.Header)
	for _, nam := range []string{"Content-Type", "Accept", "Accept-Language", router.HeaderOrderKey} {
		if val := vis.request.Header.Get(nam); val != "" {
			hdr.Set(nam, val)
		}
	}
	hdr.Set(router.HeaderRequest, vis.id)
	if qry := vis.request.URL.RawQuery; qry != "" {
		path += "?" + qry
	}
	return relay.Call{Method: vis.request.Method, Path: path, Header: hdr, Body: bdy}
}

// orderDigest identifies an order's content, so that a key used for another request is noticed.
func orderDigest(pool string, cal relay.Call) string {
	sum := sha256.New()
	for _, prt := range []string{pool, cal.Method, cal.Path} {
		sum.Write([]byte(prt))
		sum.Write([]byte{0})
	}
	sum.Write(cal.Body)
	return hex.EncodeToString(sum.Sum(nil))
}
