package admin

import (
	"net/http"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
)

// addCommands registers the requests that change something.
func (api *API) addCommands(mux *http.ServeMux) {
	mux.HandleFunc("POST "+Prefix+"/configuration", api.requireRole(api.setConfiguration, conf.Editor))
	mux.HandleFunc("PUT "+Prefix+"/workspaces/{name}", api.requireRole(api.setWorkspace, conf.Editor))
	mux.HandleFunc("DELETE "+Prefix+"/workspaces/{name}", api.requireRole(api.deleteWorkspace, conf.Editor))
	mux.HandleFunc("POST "+Prefix+"/drain", api.requireRole(api.drain, conf.Editor))
}

// drain begins a graceful stop and replies without waiting for it.
func (api *API) drain(wri http.ResponseWriter, _ *http.Request, opr conf.Operator) {
	api.options.Log.Info("drain requested", "Operator", opr.Name)
	api.options.Node.Drain()
	writeJSON(wri, http.StatusAccepted, struct{}{})
}
