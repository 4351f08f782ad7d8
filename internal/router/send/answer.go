package send

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/link"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
)

const (
	// answerBytes bounds a plain answer, which is held whole until its end is known.
	answerBytes = 8 << 20
	// rejectionBytes bounds what is read of a rejection to keep its connection.
	rejectionBytes = 4 << 10
	// eventBuffer is the first size of the buffer for events.
	eventBuffer = 1 << 10
	// eventBytes bounds one event.
	eventBytes = 1 << 20
)

// WriteRefusal tells a caller that its request is not answered by an upstream.
func WriteRefusal(wri http.ResponseWriter, ref *router.Refusal) {
	hdr := wri.Header()
	hdr.Set("Content-Type", "application/json")
	hdr.Set(router.HeaderOutcome, string(ref.Outcome))
	if ref.RetryAfter > 0 {
		hdr.Set("Retry-After", strconv.FormatFloat(ref.RetryAfter.Seconds(), 'f', 3, 64))
	}
	txt := `{"Code":` + strconv.Quote(ref.Code) + `,"Message":` + strconv.Quote(ref.Message) + "}\n"
	hdr.Set("Content-Length", strconv.Itoa(len(txt)))
	wri.WriteHeader(ref.Status)
	_, _ = io.WriteString(wri, txt)
}

// plain relays an answer that is held until it is complete.
func (cou *course) plain(ctx context.Context, ins router.Instance, con *link.Conn, rsp *http.Response) (state, place.Result) {
	txt, err := io.ReadAll(io.LimitReader(rsp.Body, answerBytes+1))
	if err == nil && len(txt) > answerBytes {
		err = errors.Errorf("answer above %d bytes", answerBytes)
	}
	if err != nil {
		con.Close()
		return cou.lost(ctx, "answer cut", ins, err)
	}
	con.Finish(rsp)
	res := place.Served
	if rsp.StatusCode >= http.StatusInternalServerError {
		res = place.Failed
		if cou.retryError(rsp.StatusCode) {
			cou.note("error of the upstream", ins, errors.Errorf("status %d", rsp.StatusCode))
			return unknown, res
		}
	}
	hdr := cou.writer.Header()
	cou.sender.options.Dialect.CopyHeader(hdr, rsp.Header)
	if cou.job.Call.Method != http.MethodHead {
		hdr.Set("Content-Length", strconv.Itoa(len(txt)))
	}
	cou.status = rsp.StatusCode
	cou.first = cou.sender.options.Timers.Now().Sub(cou.job.Call.Arrived)
	cou.writer.WriteHeader(rsp.StatusCode)
	_, _ = cou.writer.Write(txt)
	return answered, res
}

// retryError reports whether an upstream's own error is worth another sending.
func (cou *course) retryError(status int) bool {
	rou := cou.job.Route
	return status != http.StatusGatewayTimeout && rou.Repeat != router.AtMostOnce && cou.sends < rou.Attempts &&
		cou.sender.options.Budget.Of(cou.job.Service).Can()
}

// discard reads the rest of a rejection, so that its connection can be kept.
func (cou *course) discard(con *link.Conn, rsp *http.Response) {
	num, err := io.Copy(io.Discard, io.LimitReader(rsp.Body, rejectionBytes))
	if err != nil || num == rejectionBytes {
		con.Close()
		return
	}
	con.Finish(rsp)
}

// stream relays events as they come; only whole events are passed on.
func (cou *course) stream(ctx context.Context, ins router.Instance, con *link.Conn, rsp *http.Response, rsv *place.Reservation) (state, place.Result) {
	buf := make([]byte, 0, eventBuffer)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		num, err := rsp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+num]
		if end := lastEnd(buf); end > 0 {
			rsv.ObserveEvent()
			if werr := cou.relay(buf[:end], rsp); werr != nil {
				con.Close()
				return cou.lost(ctx, "caller does not read", ins, werr)
			}
			buf = buf[:copy(buf, buf[end:])]
		}
		switch {
		case err == nil && len(buf) < eventBytes:
			continue
		case errors.Is(err, io.EOF) && len(buf) == 0 && cou.events > 0:
			con.Finish(rsp)
			cou.status = rsp.StatusCode
			return answered, place.Served
		case errors.Is(err, io.EOF):
			err = io.ErrUnexpectedEOF
		case err == nil:
			err = errors.Errorf("event above %d bytes", eventBytes)
		}
		con.Close()
		return cou.lost(ctx, "stream cut", ins, err)
	}
}

// relay passes whole events to the caller.
func (cou *course) relay(txt []byte, rsp *http.Response) (err error) {
	now := cou.sender.options.Timers.Now()
	if cou.begun {
		cou.pause = max(cou.pause, now.Sub(cou.last))
	}
	cou.last = now
	if !cou.begun {
		cou.begun = true
		cou.first = now.Sub(cou.job.Call.Arrived)
		cou.sender.options.Dialect.CopyHeader(cou.writer.Header(), rsp.Header)
		cou.writer.WriteHeader(rsp.StatusCode)
	}
	cou.events += bytes.Count(txt, []byte("\nid:"))
	if bytes.HasPrefix(txt, []byte("id:")) {
		cou.events++
	}
	if last := lastID(txt); last != "" {
		cou.lastEvent = last
	}
	if _, err := cou.writer.Write(txt); err != nil {
		return err
	}
	ctl := http.NewResponseController(cou.writer)
	return ctl.Flush()
}

// lastEnd returns where the last whole event ends, or 0 when there is none.
func lastEnd(txt []byte) int {
	if pos := bytes.LastIndex(txt, []byte("\n\n")); pos >= 0 {
		return pos + 2
	}
	if pos := bytes.LastIndex(txt, []byte("\n\r\n")); pos >= 0 {
		return pos + 3
	}
	return 0
}

// lastID returns the id of the last event that has one.
func lastID(txt []byte) string {
	pos := bytes.LastIndex(txt, []byte("\nid:"))
	switch {
	case pos >= 0:
		txt = txt[pos+len("\nid:"):]
	case bytes.HasPrefix(txt, []byte("id:")):
		txt = txt[len("id:"):]
	default:
		return ""
	}
	lin, _, _ := bytes.Cut(txt, []byte("\n"))
	return string(bytes.TrimSpace(lin))
}
