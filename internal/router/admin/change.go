package admin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/revise"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// Change is a complete configuration that is to replace the current one.
type Change struct {
	// ID identifies the change. The client chooses it, and reuses it if it sends the change again.
	ID string
	// Against is the number of the revision that the change is based on; 0 if there is none.
	Against uint64
	Comment string
	// Base and Overlays are the configuration files, see conf.Document.
	Base     conf.Source
	Overlays []conf.Source
}

// Accepted is the answer to an accepted change: the number of its revision and its ID.
type Accepted struct {
	Number uint64
	Change string
}

// Revision is a configuration that was accepted, with the change that it came from.
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
	codeInvalidRequest   = "InvalidRequest"
	codeInvalidSettings  = "InvalidSettings"
	codeConflict         = "Conflict"
	codeUncertain        = "Uncertain"
	codeTableUnavailable = "TableUnavailable"
	codeNotFound         = "NotFound"

	maxChangeBytes = 8 << 20
	// headerChange and headerAgainst carry Change.ID and Change.Against in requests that change one workspace.
	headerChange  = "Hornbeamdyke-Change"
	headerAgainst = "Hornbeamdyke-Against"
)

// setConfiguration replaces the complete configuration.
func (api *API) setConfiguration(wri http.ResponseWriter, req *http.Request, opr conf.Operator) {
	var chg Change
	if !decodeBody(wri, req, &chg) {
		return
	}
	api.accept(wri, req, opr, chg)
}

// accept stores a change as the next revision and replies with its number or the error.
func (api *API) accept(wri http.ResponseWriter, req *http.Request, opr conf.Operator, chg Change) {
	if chg.ID == "" {
		writeJSON(wri, http.StatusBadRequest, Failure{Code: codeInvalidRequest, Message: "the change needs an ID"})
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
	writeJSON(wri, http.StatusOK, Accepted{Number: num, Change: chg.ID})
}

// setWorkspace adds or replaces one workspace.
func (api *API) setWorkspace(wri http.ResponseWriter, req *http.Request, opr conf.Operator) {
	var wsp router.Workspace
	if !decodeBody(wri, req, &wsp) {
		return
	}
	wsp.Name = req.PathValue("name")
	api.editBase(wri, req, opr, "set workspace "+wsp.Name, func(txt string) (string, error) {
		return conf.SetWorkspace(txt, wsp)
	})
}

// deleteWorkspace removes one workspace.
func (api *API) deleteWorkspace(wri http.ResponseWriter, req *http.Request, opr conf.Operator) {
	nam := req.PathValue("name")
	api.editBase(wri, req, opr, "delete workspace "+nam, func(txt string) (string, error) {
		return conf.DeleteWorkspace(txt, nam)
	})
}

// editBase accepts a change that applies edit to the text of the installed base file. The request's headers carry
// the ID of the change and the revision that it is based on.
func (api *API) editBase(wri http.ResponseWriter, req *http.Request, opr conf.Operator, comment string, edit func(txt string) (string, error)) {
	cur := api.options.Node.Configuration()
	if cur == nil {
		writeJSON(wri, http.StatusConflict, Failure{Code: codeConflict, Message: "no revision is in force yet; apply a whole configuration first"})
		return
	}
	against, err := parseNumber(req.Header.Get(headerAgainst))
	if err != nil {
		writeJSON(wri, http.StatusBadRequest, Failure{Code: codeInvalidRequest, Message: headerAgainst + " must name the revision that the change is made against"})
		return
	}
	if against > cur.GetNumber() {
		// The edit of an older text, accepted on top of a newer revision, would undo what came in between.
		writeJSON(wri, http.StatusConflict, Failure{
			Code:    codeConflict,
			Message: fmt.Sprintf("this node has revision %d in force and not yet %d; send the change again later", cur.GetNumber(), against),
		})
		return
	}
	txt, err := edit(cur.GetBase().GetText())
	if errors.Is(err, conf.ErrNoWorkspace) {
		writeJSON(wri, http.StatusNotFound, Failure{Code: codeNotFound, Message: err.Error()})
		return
	}
	if err != nil {
		writeJSON(wri, http.StatusBadRequest, Failure{Code: codeInvalidRequest, Message: err.Error()})
		return
	}
	rev := newRevision(cur)
	rev.Base.Text = txt
	api.accept(wri, req, opr, Change{
		ID:       req.Header.Get(headerChange),
		Against:  against,
		Comment:  comment,
		Base:     rev.Base,
		Overlays: rev.Overlays,
	})
}

// decodeBody parses a JSON body into out. On failure, it replies with the error and returns false.
func decodeBody(wri http.ResponseWriter, req *http.Request, out any) bool {
	dec := json.NewDecoder(io.LimitReader(req.Body, maxChangeBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		writeJSON(wri, http.StatusBadRequest, Failure{Code: codeInvalidRequest, Message: err.Error()})
		return false
	}
	return true
}

// replyError replies with the status and the code of an error of Node.
func replyError(wri http.ResponseWriter, err error) {
	var ers conf.Errors
	var cfl *revise.Conflict
	switch {
	case errors.As(err, &ers):
		fai := Failure{Code: codeInvalidSettings, Message: "the configuration is rejected as a whole"}
		for _, one := range ers {
			fai.Errors = append(fai.Errors, one.Error())
		}
		writeJSON(wri, http.StatusUnprocessableEntity, fai)
	case errors.As(err, &cfl):
		writeJSON(wri, http.StatusConflict, Failure{Code: codeConflict, Message: cfl.Error(), Head: cfl.Head, Base: cfl.Base})
	case errors.Is(err, revise.ErrUncertain):
		writeJSON(wri, http.StatusServiceUnavailable, Failure{Code: codeUncertain, Message: revise.ErrUncertain.Error()})
	default:
		writeJSON(wri, http.StatusServiceUnavailable, Failure{Code: codeTableUnavailable, Message: err.Error()})
	}
}

// newRevision converts a stored revision to the API's form.
func newRevision(rev *wire.Revision) (res Revision) {
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
