package admin

import (
	"net/http"
	"strconv"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
)

// historyLength is the maximum number of revisions in a reply.
const historyLength = 20

// addQueries registers the requests that only read.
func (api *API) addQueries(mux *http.ServeMux) {
	for pth, han := range map[string]operatorHandler{
		"/status":                api.status,
		"/burn":                  api.burn,
		"/configuration":         api.configuration,
		"/configuration/history": api.history,
		"/workspaces":            api.listWorkspaces,
		"/workspaces/{name}":     api.getWorkspace,
	} {
		mux.HandleFunc("GET "+Prefix+pth, api.requireRole(han, conf.Viewer, conf.Editor))
	}
}

func (api *API) status(wri http.ResponseWriter, _ *http.Request, _ conf.Operator) {
	writeJSON(wri, http.StatusOK, api.options.Node.Status())
}

func (api *API) burn(wri http.ResponseWriter, _ *http.Request, _ conf.Operator) {
	writeJSON(wri, http.StatusOK, api.options.Node.Burn())
}

func (api *API) configuration(wri http.ResponseWriter, _ *http.Request, _ conf.Operator) {
	cur := api.options.Node.Configuration()
	if cur == nil {
		writeJSON(wri, http.StatusNotFound, Failure{Code: codeNotFound, Message: "no revision is in force; the node runs by its files"})
		return
	}
	writeJSON(wri, http.StatusOK, newRevision(cur))
}

func (api *API) history(wri http.ResponseWriter, req *http.Request, _ conf.Operator) {
	rvs, err := api.options.Node.History(req.Context(), historyLength)
	if err != nil {
		replyError(wri, err)
		return
	}
	res := make([]Revision, 0, len(rvs))
	for _, rev := range rvs {
		res = append(res, newRevision(rev))
	}
	writeJSON(wri, http.StatusOK, res)
}

// listWorkspaces replies with the names of all workspaces.
func (api *API) listWorkspaces(wri http.ResponseWriter, _ *http.Request, _ conf.Operator) {
	wss := api.options.Live.Get().Workspaces
	nms := make([]string, 0, len(wss))
	for _, wsp := range wss {
		nms = append(nms, wsp.Name)
	}
	writeJSON(wri, http.StatusOK, nms)
}

// getWorkspace replies with a workspace, without the digests of its keys.
func (api *API) getWorkspace(wri http.ResponseWriter, req *http.Request, _ conf.Operator) {
	for _, wsp := range api.options.Live.Get().Workspaces {
		if wsp.Name == req.PathValue("name") {
			wsp.KeyDigests = nil
			writeJSON(wri, http.StatusOK, wsp)
			return
		}
	}
	writeJSON(wri, http.StatusNotFound, Failure{Code: codeNotFound, Message: conf.ErrNoWorkspace.Error()})
}

func parseNumber(txt string) (num uint64, err error) {
	return strconv.ParseUint(txt, 10, 64)
}
