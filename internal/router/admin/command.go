package admin

import (
	"net/http"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
)

func (api *API) commands(mux *http.ServeMux) {
	mux.HandleFunc("POST "+Prefix+"/configuration", api.allow(api.configure, conf.Editor))
	mux.HandleFunc("PUT "+Prefix+"/workspaces/{name}", api.allow(api.setWorkspace, conf.Editor))
	mux.HandleFunc("DELETE "+Prefix+"/workspaces/{name}", api.allow(api.deleteWorkspace, conf.Editor))
	mux.HandleFunc("POST "+Prefix+"/drain", api.allow(api.drain, conf.Editor))
}

// drain begins a graceful stop and answers at once.
func (api *API) drain(wri http.ResponseWriter, _ *http.Request, opr conf.Operator) {
	api.options.Log.Info("drain ordered", "Operator", opr.Name)
	api.options.Node.Drain()
	Reply(wri, http.StatusAccepted, struct{}{})
}
