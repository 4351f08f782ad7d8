package admin

import (
	"net/http"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
)

func (api *API) queries(mux *http.ServeMux) {
	mux.HandleFunc("GET "+Prefix+"/status", api.allow(api.status, conf.Viewer, conf.Editor))
}

func (api *API) status(wri http.ResponseWriter, _ *http.Request, _ conf.Operator) {
	Reply(wri, http.StatusOK, api.options.Node.Status())
}
