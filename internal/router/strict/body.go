package strict

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// Body returns the body of a response whose trailers are checked: it ends with a *MalformedError in place of io.EOF if the name of a
// field after the last chunk is none. Package net/http checks the rest of these fields.
func Body(rsp *http.Response) io.ReadCloser {
	if len(rsp.TransferEncoding) == 0 {
		return rsp.Body
	}
	return &body{ReadCloser: rsp.Body, response: rsp}
}

// body is the body of a response in chunks.
type body struct {
	io.ReadCloser

	response *http.Response
}

// Read implements io.Reader.
func (bdy *body) Read(buf []byte) (num int, err error) {
	num, err = bdy.ReadCloser.Read(buf)
	if !errors.Is(err, io.EOF) {
		return num, err
	}
	for nam, vals := range bdy.response.Trailer {
		// Fields that were announced and did not come have no value.
		if len(vals) > 0 && !isName(nam) {
			return num, malformed("the name of a trailer is %q", nam)
		}
	}
	return num, err
}

// isName reports whether a text is the name of a field.
func isName(txt string) bool {
	for idx := range len(txt) {
		if !isToken(txt[idx]) {
			return false
		}
	}
	return txt != ""
}
