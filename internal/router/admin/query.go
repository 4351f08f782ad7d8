package admin

import (
	"net/http"
	"strconv"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
)

// historyLength is how many revisions the history shows.
const historyLength = 20

func (api *API) queries(mux *http.ServeMux) {
	for pth, han := range map[string]handler{
		"/status":                api.status,
		"/burn":                  api.burn,
		"/configuration":         api.configuration,
		"/configuration/history": api.history,
		"/workspaces":            api.workspaces,
		"/workspaces/{name}":     api.workspace,
	} {
		mux.HandleFunc("GET "+Prefix+pth, api.allow(han, conf.Viewer, conf.Editor))
	}
}

func (api *API) status(wri http.ResponseWriter, _ *http.Request, _ conf.Operator) {
	Reply(wri, http.StatusOK, api.options.Node.Status())
}

func (api *API) burn(wri http.ResponseWriter, _ *http.Request, _ conf.Operator) {
	Reply(wri, http.StatusOK, api.options.Node.Burn())
}

func (api *API) configuration(wri http.ResponseWriter, _ *http.Request, _ conf.Operator) {
	cur := api.options.Node.Configuration()
	if cur == nil {
		Reply(wri, http.StatusNotFound, Failure{Code: codeNotFound, Message: "no revision is in force; the node runs by its files"})
		return
	}
	Reply(wri, http.StatusOK, describe(cur))
}

func (api *API) history(wri http.ResponseWriter, req *http.Request, _ conf.Operator) {
	rvs, err := api.options.Node.History(req.Context(), historyLength)
	if err != nil {
		replyError(wri, err)
		return
	}
	res := make([]Revision, 0, len(rvs))
	for _, rev := range rvs {
		res = append(res, describe(rev))
	}
	Reply(wri, http.StatusOK, res)
}

func (api *API) workspaces(wri http.ResponseWriter, _ *http.Request, _ conf.Operator) {
	wss := api.options.Live.Get().Workspaces
	nms := make([]string, 0, len(wss))
	for _, wsp := range wss {
		nms = append(nms, wsp.Name)
	}
	Reply(wri, http.StatusOK, nms)
}

func (api *API) workspace(wri http.ResponseWriter, req *http.Request, _ conf.Operator) {
	for _, wsp := range api.options.Live.Get().Workspaces {
		if wsp.Name == req.PathValue("name") {
			wsp.KeyDigests = nil
			Reply(wri, http.StatusOK, wsp)
			return
		}
	}
	Reply(wri, http.StatusNotFound, Failure{Code: codeNotFound, Message: conf.ErrNoWorkspace.Error()})
}

func parseNumber(txt string) (num uint64, err error) {
	return strconv.ParseUint(txt, 10, 64)
}
