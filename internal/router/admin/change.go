package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/revise"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// Change is a whole configuration that an operator wants in force.
type Change struct {
	// ID is chosen by the client; a change that is sent again carries the same.
	ID string
	// Against is the revision that the change was made against; 0 when there is none.
	Against  uint64
	Comment  string
	Base     conf.Source
	Overlays []conf.Source
}

// Accepted tells which revision a change became.
type Accepted struct {
	Number uint64
	Change string
}

// Revision describes an accepted configuration.
type Revision struct {
	Number   uint64
	Change   string
	Author   string
	Accepted time.Time
	Comment  string
	Base     conf.Source
	Overlays []conf.Source
}

const (
	codeInvalid     = "InvalidRequest"
	codeSettings    = "InvalidSettings"
	codeConflict    = "Conflict"
	codeUncertain   = "Uncertain"
	codeUnavailable = "TableUnavailable"
	codeNotFound    = "NotFound"

	maxChangeBytes = 8 << 20
	// headerChange and headerAgainst carry a change's identifier and its base for single workspaces.
	headerChange  = "Hornbeamdyke-Change"
	headerAgainst = "Hornbeamdyke-Against"
)

// configure accepts a whole configuration.
func (api *API) configure(wri http.ResponseWriter, req *http.Request, opr conf.Operator) {
	var chg Change
	if !decode(wri, req, &chg) {
		return
	}
	api.accept(wri, req, opr, chg)
}

// accept makes a change the next revision and answers with its number or with why not.
func (api *API) accept(wri http.ResponseWriter, req *http.Request, opr conf.Operator, chg Change) {
	if chg.ID == "" {
		Reply(wri, http.StatusBadRequest, Failure{Code: codeInvalid, Message: "the change needs an ID"})
		return
	}
	rev := &wire.Revision{
		Change:         chg.ID,
		Author:         opr.Name,
		AcceptedUnixMs: time.Now().UnixMilli(),
		Comment:        chg.Comment,
		Base:           &wire.Source{File: chg.Base.File, Text: chg.Base.Text},
	}
	for _, src := range chg.Overlays {
		rev.Overlays = append(rev.Overlays, &wire.Source{File: src.File, Text: src.Text})
	}
	num, err := api.options.Node.Accept(req.Context(), rev, chg.Against)
	if err != nil {
		replyError(wri, err)
		return
	}
	api.options.Log.Info("change accepted", "Revision", num, "Change", chg.ID, "Author", opr.Name)
	Reply(wri, http.StatusOK, Accepted{Number: num, Change: chg.ID})
}

// setWorkspace adds or replaces one workspace.
func (api *API) setWorkspace(wri http.ResponseWriter, req *http.Request, opr conf.Operator) {
	var wsp router.Workspace
	if !decode(wri, req, &wsp) {
		return
	}
	wsp.Name = req.PathValue("name")
	api.edit(wri, req, opr, "set workspace "+wsp.Name, func(txt string) (string, error) {
		return conf.SetWorkspace(txt, wsp)
	})
}

// deleteWorkspace removes one workspace.
func (api *API) deleteWorkspace(wri http.ResponseWriter, req *http.Request, opr conf.Operator) {
	nam := req.PathValue("name")
	api.edit(wri, req, opr, "delete workspace "+nam, func(txt string) (string, error) {
		return conf.DeleteWorkspace(txt, nam)
	})
}

// edit changes the base file in force, against the revision that the request names.
func (api *API) edit(wri http.ResponseWriter, req *http.Request, opr conf.Operator, what string, change func(txt string) (string, error)) {
	cur := api.options.Node.Configuration()
	if cur == nil {
		Reply(wri, http.StatusConflict, Failure{Code: codeConflict, Message: "no revision is in force yet; apply a whole configuration first"})
		return
	}
	agn, err := parseNumber(req.Header.Get(headerAgainst))
	if err != nil {
		Reply(wri, http.StatusBadRequest, Failure{Code: codeInvalid, Message: headerAgainst + " must name the revision that the change is made against"})
		return
	}
	txt, err := change(cur.GetBase().GetText())
	if errors.Is(err, conf.ErrNoWorkspace) {
		Reply(wri, http.StatusNotFound, Failure{Code: codeNotFound, Message: err.Error()})
		return
	}
	if err != nil {
		Reply(wri, http.StatusBadRequest, Failure{Code: codeInvalid, Message: err.Error()})
		return
	}
	chg := describe(cur)
	chg.Base.Text = txt
	api.accept(wri, req, opr, Change{
		ID:       req.Header.Get(headerChange),
		Against:  agn,
		Comment:  what,
		Base:     chg.Base,
		Overlays: chg.Overlays,
	})
}

func decode(wri http.ResponseWriter, req *http.Request, out any) bool {
	dec := json.NewDecoder(io.LimitReader(req.Body, maxChangeBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		Reply(wri, http.StatusBadRequest, Failure{Code: codeInvalid, Message: err.Error()})
		return false
	}
	return true
}

// replyError answers with why a change was not accepted.
func replyError(wri http.ResponseWriter, err error) {
	var ers conf.Errors
	var cfl *revise.Conflict
	switch {
	case errors.As(err, &ers):
		fai := Failure{Code: codeSettings, Message: "the configuration is rejected as a whole"}
		for _, one := range ers {
			fai.Errors = append(fai.Errors, one.Error())
		}
		Reply(wri, http.StatusUnprocessableEntity, fai)
	case errors.As(err, &cfl):
		Reply(wri, http.StatusConflict, Failure{Code: codeConflict, Message: cfl.Error(), Head: cfl.Head, Base: cfl.Base})
	case errors.Is(err, revise.ErrUncertain):
		Reply(wri, http.StatusServiceUnavailable, Failure{Code: codeUncertain, Message: revise.ErrUncertain.Error()})
	default:
		Reply(wri, http.StatusServiceUnavailable, Failure{Code: codeUnavailable, Message: err.Error()})
	}
}

// describe returns a revision as the API shows it.
func describe(rev *wire.Revision) (res Revision) {
	res = Revision{
		Number:   rev.GetNumber(),
		Change:   rev.GetChange(),
		Author:   rev.GetAuthor(),
		Accepted: time.UnixMilli(rev.GetAcceptedUnixMs()).UTC(),
		Comment:  rev.GetComment(),
		Base:     conf.Source{File: rev.GetBase().GetFile(), Text: rev.GetBase().GetText()},
	}
	for _, src := range rev.GetOverlays() {
		res.Overlays = append(res.Overlays, conf.Source{File: src.GetFile(), Text: src.GetText()})
	}
	return res
}
