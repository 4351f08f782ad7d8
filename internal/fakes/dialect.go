package fakes

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// The header names of Dialect.
const (
	// HeaderID carries the ID of a request, in the request and in its answer.
	HeaderID = "Stand-Id"
	// HeaderTimeLimit carries the milliseconds until the deadline of a request.
	HeaderTimeLimit = "Stand-Left"
	// HeaderInstance carries the ID of the instance that an attempt is for.
	HeaderInstance = "Stand-Target"
	// HeaderLastEventID carries the ID of the last event received when a stream is resumed.
	HeaderLastEventID = "Stand-After"
	// HeaderNotRun marks an answer of an upstream that did not execute the request.
	HeaderNotRun = "Stand-Not-Run"
	// HeaderSigned marks an answer that may be forwarded to the caller.
	HeaderSigned = "Stand-Signed"
	// HeaderRateLimit carries the requests per second that an upstream accepts from all nodes together.
	HeaderRateLimit = "Stand-Rate-Limit"
	// HeaderLeaving marks the answers of an upstream that is about to stop.
	HeaderLeaving = "Stand-Leaving"
	// HeaderKey carries the caller's API key.
	HeaderKey = "Stand-Key"
)

// Dialect is a minimal set of header conventions for tests of the router. It implements
// router.Dialect.
type Dialect struct{}

// Decode converts a caller's request, without its body, and refuses one without an ID.
func (Dialect) Decode(req *http.Request, now time.Time) (cal *router.Call, ref *router.Refusal) {
	cal = &router.Call{
		ID: req.Header.Get(HeaderID), Method: req.Method, Host: req.Host, Path: req.URL.Path, Target: req.RequestURI,
		Header: http.Header{HeaderID: req.Header[HeaderID]}, Key: req.Header.Get(HeaderKey), Arrived: now,
	}
	if cal.ID == "" {
		return nil, router.Refuse(http.StatusBadRequest, router.CodeInvalid, "no id")
	}
	if num, err := strconv.Atoi(req.Header.Get(HeaderTimeLimit)); err == nil {
		cal.Deadline = now.Add(time.Duration(num) * time.Millisecond)
	}
	return cal, nil
}

// Encode returns the HTTP header to send with an attempt.
func (Dialect) Encode(cal *router.Call, att router.Attempt) (hdr http.Header) {
	hdr = cal.Header.Clone()
	hdr.Set(HeaderInstance, att.Instance.ID)
	hdr.Set(HeaderTimeLimit, strconv.FormatInt(att.TimeLimit.Milliseconds(), 10))
	if att.LastEventID != "" {
		hdr.Set(HeaderLastEventID, att.LastEventID)
	}
	return hdr
}

// CheckAnswer checks the header of an upstream's answer.
func (Dialect) CheckAnswer(cal *router.Call, rsp *http.Response) (chk router.AnswerCheck) {
	chk = router.AnswerCheck{
		Unidentified: rsp.Header.Get(HeaderID) == "",
		NotRun:       rsp.Header.Get(HeaderNotRun) != "",
		Replaced:     rsp.StatusCode == http.StatusMisdirectedRequest,
		Relayable:    rsp.Header.Get(HeaderSigned) != "",
	}
	chk.Mismatched = rsp.Header.Get(HeaderID) != cal.ID && (!chk.Unidentified || !chk.NotRun)
	chk.Terms.RateLimit, _ = strconv.ParseFloat(rsp.Header.Get(HeaderRateLimit), 64)
	if sec, err := strconv.ParseFloat(rsp.Header.Get("Retry-After"), 64); err == nil {
		chk.Terms.RetryAfter = time.Duration(sec * float64(time.Second))
	}
	chk.Terms.Leaving = rsp.Header.Get(HeaderLeaving) != ""
	return chk
}

// CopyHeader copies to dst the header fields of an upstream's answer that the caller may receive.
func (Dialect) CopyHeader(dst, src http.Header) {
	for _, key := range []string{HeaderID, HeaderSigned, "Content-Type"} {
		dst[key] = src[key]
	}
}
