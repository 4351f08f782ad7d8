package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/relay"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/runner"
)

// maxOrderKeyBytes is the maximum length of an idempotency key.
const maxOrderKeyBytes = 255

// serveService serves an operation of a plain HTTP service.
func (api *API) serveService(exc *exchange) (err error) {
	pth := "/" + exc.request.PathValue("path")
	pol, opn, err := exc.index.operation(exc.request.PathValue("pool"), exc.request.Method, pth)
	if err != nil {
		return err
	}
	exc.pool = pol
	bdy, err := exc.readBody()
	if err != nil {
		return err
	}
	svc := runner.ServiceCall{
		ID:        exc.id,
		Workspace: exc.workspace.Name,
		Class:     exc.class,
		Pool:      pol,
		Call:      exc.upstreamCall(pth, bdy),
		Arrived:   exc.arrived,
	}
	ans, err := api.execute(exc, svc, opn)
	if err != nil {
		return err
	}
	api.writeAnswer(exc, ans)
	return nil
}

// execute runs an idempotent operation with retries, and any other as an order, which is executed at
// most once per idempotency key.
func (api *API) execute(exc *exchange, svc runner.ServiceCall, opn router.Operation) (ans *router.Answer, err error) {
	if opn.Idempotent {
		return api.options.Runner.RunIdempotent(exc.request.Context(), svc)
	}
	key := exc.request.Header.Get(router.HeaderOrderKey)
	if key == "" || len(key) > maxOrderKeyBytes {
		return nil, router.Refuse(http.StatusBadRequest, router.CodeOrderKey,
			"operation %s needs an Idempotency-Key of 1 to %d bytes", opn.Name, maxOrderKeyBytes)
	}
	ord := router.Order{Workspace: exc.workspace.Name, Key: key, Digest: orderDigest(exc.pool.Name, svc.Call)}
	return api.options.Runner.RunOrder(exc.request.Context(), svc, ord)
}

// upstreamCall returns the request to send to the upstream. Only the caller's headers on an allowlist
// are forwarded; credentials are not among them.
func (exc *exchange) upstreamCall(path string, bdy []byte) relay.Call {
	hdr := make(http.Header)
	for _, nam := range []string{"Content-Type", "Accept", "Accept-Language", router.HeaderOrderKey} {
		if val := exc.request.Header.Get(nam); val != "" {
			hdr.Set(nam, val)
		}
	}
	hdr.Set(router.HeaderRequest, exc.id)
	if qry := exc.request.URL.RawQuery; qry != "" {
		path += "?" + qry
	}
	return relay.Call{Method: exc.request.Method, Path: path, Header: hdr, Body: bdy}
}

// orderDigest identifies the content of an order, so that reuse of its key for another request is
// detected.
func orderDigest(pool string, cal relay.Call) string {
	sum := sha256.New()
	for _, prt := range []string{pool, cal.Method, cal.Path} {
		sum.Write([]byte(prt))
		sum.Write([]byte{0})
	}
	sum.Write(cal.Body)
	return hex.EncodeToString(sum.Sum(nil))
}
