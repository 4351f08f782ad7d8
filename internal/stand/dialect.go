package stand

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// The header names of Dialect.
const (
	HeaderID     = "Stand-Id"
	HeaderLeft   = "Stand-Left"
	HeaderTarget = "Stand-Target"
	HeaderAfter  = "Stand-After"
	HeaderNotRun = "Stand-Not-Run"
	HeaderSigned = "Stand-Signed"
	HeaderKey    = "Stand-Key"
)

// Dialect is a plain protocol for tests of the router; it implements router.Dialect.
type Dialect struct{}

// Decode reads a caller's request without its body.
func (Dialect) Decode(req *http.Request, now time.Time) (cal *router.Call, ref *router.Refusal) {
	cal = &router.Call{
		ID: req.Header.Get(HeaderID), Method: req.Method, Host: req.Host, Path: req.URL.Path, Target: req.RequestURI,
		Header: http.Header{HeaderID: req.Header[HeaderID]}, Key: req.Header.Get(HeaderKey), Arrived: now,
	}
	if cal.ID == "" {
		return nil, router.Refuse(http.StatusBadRequest, router.CodeInvalid, "no id")
	}
	if num, err := strconv.Atoi(req.Header.Get(HeaderLeft)); err == nil {
		cal.Deadline = now.Add(time.Duration(num) * time.Millisecond)
	}
	return cal, nil
}

// Encode returns the header of one attempt.
func (Dialect) Encode(cal *router.Call, att router.Attempt) (hdr http.Header) {
	hdr = cal.Header.Clone()
	hdr.Set(HeaderTarget, att.Instance.ID)
	hdr.Set(HeaderLeft, strconv.FormatInt(att.TimeLimit.Milliseconds(), 10))
	if att.LastEventID != "" {
		hdr.Set(HeaderAfter, att.LastEventID)
	}
	return hdr
}

// CheckAnswer classifies an upstream's answer.
func (Dialect) CheckAnswer(cal *router.Call, rsp *http.Response) (chk router.AnswerCheck) {
	return router.AnswerCheck{
		Mismatched: rsp.Header.Get(HeaderID) != cal.ID,
		NotRun:     rsp.Header.Get(HeaderNotRun) != "",
		Relayable:  rsp.Header.Get(HeaderSigned) != "",
	}
}

// CopyHeader copies to dst what a caller may see of an upstream's answer.
func (Dialect) CopyHeader(dst, src http.Header) {
	for _, key := range []string{HeaderID, HeaderSigned, "Content-Type"} {
		dst[key] = src[key]
	}
}
