package send

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/conns"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
)

const (
	// maxResponseBytes bounds a response that is not a stream; it is buffered whole before any of it is relayed.
	maxResponseBytes = 8 << 20
	// freeResponseBytes is how much of a response is buffered in any case, and maxBufferedBytes bounds what all responses
	// together buffer beyond that. The smallest nodes have about 100 MiB.
	freeResponseBytes = 64 << 10
	maxBufferedBytes  = 24 << 20
	// initialEventBuffer is the initial capacity of the buffer for events, in bytes.
	initialEventBuffer = 1 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
)

// refusalBody is the body of a refusal.
type refusalBody struct{ Code, Message string }

// WriteRefusal writes a refusal to the caller as an HTTP error with a JSON body.
func WriteRefusal(wri http.ResponseWriter, ref *router.Refusal) {
	hdr := wri.Header()
	hdr.Set("Content-Type", "application/json")
	hdr.Set(router.HeaderOutcome, string(ref.Outcome))
	if ref.RetryAfter > 0 {
		hdr.Set("Retry-After", strconv.FormatFloat(ref.RetryAfter.Seconds(), 'f', 3, 64))
	}
	// Marshalling two strings cannot fail.
	txt, _ := json.Marshal(refusalBody{Code: ref.Code, Message: ref.Message})
	txt = append(txt, '\n')
	hdr.Set("Content-Length", strconv.Itoa(len(txt)))
	wri.WriteHeader(ref.Status)
	_, _ = wri.Write(txt)
}

// relayWhole buffers a response until it is complete and then relays it, so that an incomplete one can still
// be retried.
func (act *activeCall) relayWhole(ctx context.Context, ins router.Instance, con *conns.Conn, rsp *http.Response, ans *answer) (attemptState, place.Result) {
	txt, reserved, err := act.sender.readResponse(ctx, rsp, ans)
	defer func() { act.sender.buffered.Add(-reserved) }()
	if err != nil {
		con.Close()
		return act.failAttempt(ctx, "answer cut", ins, err)
	}
	written := con.RequestWritten()
	con.Release(rsp)
	res := place.Served
	if rsp.StatusCode >= http.StatusInternalServerError {
		res = place.Failed
		if act.mayRetryStatus(rsp.StatusCode) {
			act.logFailure("error of the upstream", ins, errors.Errorf("status %d", rsp.StatusCode))
			return unknown, res
		}
	}
	if written {
		act.releaseBody()
	}
	hdr := act.writer.Header()
	act.sender.options.Dialect.CopyHeader(hdr, rsp.Header)
	if act.job.Call.Method != http.MethodHead {
		hdr.Set("Content-Length", strconv.Itoa(len(txt)))
	}
	act.status = rsp.StatusCode
	now := act.sender.options.Timers.Now()
	act.firstEvent = now.Sub(act.job.Call.Arrived)
	if rsp.StatusCode < http.StatusMultipleChoices {
		act.begunAt = now
	}
	act.writer.WriteHeader(rsp.StatusCode)
	_ = ans.write(txt)
	return completed, res
}

// mayRetryStatus reports whether the call may be retried after an upstream itself responded with a 5xx
// status. A 504 is never retried.
func (act *activeCall) mayRetryStatus(status int) bool {
	rou := act.job.Route
	return status != http.StatusGatewayTimeout && rou.Repeat != router.AtMostOnce && act.attempts < rou.Attempts &&
		act.sender.options.Budget.Get(act.job.Service).HasToken()
}

// drainRejection reads the body of a rejection so that its connection can be reused, if it has arrived with the header.
// Otherwise it closes the connection, because a retry must not wait for it.
func (act *activeCall) drainRejection(con *conns.Conn, rsp *http.Response) {
	if rsp.ContentLength < 0 || rsp.ContentLength > int64(con.Buffered()) {
		con.Close()
		return
	}
	if _, err := io.Copy(io.Discard, rsp.Body); err != nil {
		con.Close()
		return
	}
	con.Release(rsp)
}

// relayStream relays server-sent events as they arrive. Only complete events are relayed, so that a stream can
// resume after the last one.
func (act *activeCall) relayStream(ctx context.Context, ins router.Instance, con *conns.Conn, rsp *http.Response, rsv *place.Reservation, ans *answer) (attemptState, place.Result) {
	buf := make([]byte, 0, initialEventBuffer)
	resumed := act.responseStarted
	for {
		var err error
		buf, err = ans.fill(ctx, buf, rsp.Body)
		if end := lastEventEnd(buf); end > 0 {
			act.countRun()
			if resumed && !continuesAfter(buf[:end], act.lastEventID) {
				con.Close()
				return act.failAttempt(ctx, "stream not continued", ins, errors.Errorf("no event after %q", act.lastEventID))
			}
			resumed = false
			rsv.ObserveEvent()
			if werr := act.writeEvents(buf[:end], rsp, ans); werr != nil {
				con.Close()
				return act.failAttempt(ctx, "caller does not read", ins, werr)
			}
			buf = buf[:copy(buf, buf[end:])]
			act.releaseBodyOfStream(con)
		}
		switch {
		case err == nil && len(buf) < maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && act.events > 0 && endsComplete(rsp, buf, resumed):
			con.Release(rsp)
			act.status = rsp.StatusCode
			return completed, place.Served
		case errors.Is(err, io.EOF):
			err = io.ErrUnexpectedEOF
		case err == nil:
			err = errors.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		con.Close()
		if len(buf) > 0 {
			act.countRun()
		}
		return act.failAttempt(ctx, "stream cut", ins, err)
	}
}

// endsComplete reports whether a stream that has ended is complete: it does not end inside an event. A resumed one without
// an event, empty, is complete only if its length or its chunks say so: the upstream may have closed the connection for another reason.
func endsComplete(rsp *http.Response, left []byte, empty bool) bool {
	return len(left) == 0 && (!empty || conns.Delimited(rsp))
}

// writeEvents writes complete events to the caller and flushes them.
func (act *activeCall) writeEvents(txt []byte, rsp *http.Response, ans *answer) (err error) {
	now := act.sender.options.Timers.Now()
	if act.responseStarted {
		act.maxGap = max(act.maxGap, now.Sub(act.lastEventAt))
	}
	act.lastEventAt = now
	if act.begunAt.IsZero() {
		act.begunAt = now
	}
	if now.Sub(act.begunAt) >= provenAfter {
		act.prove()
	}
	if !act.responseStarted {
		act.responseStarted = true
		act.firstEvent = now.Sub(act.job.Call.Arrived)
		act.sender.options.Dialect.CopyHeader(act.writer.Header(), rsp.Header)
		act.writer.WriteHeader(rsp.StatusCode)
	}
	act.events += bytes.Count(txt, []byte("\nid:"))
	if bytes.HasPrefix(txt, []byte("id:")) {
		act.events++
	}
	if last := findLastEventID(txt); last != "" {
		act.lastEventID = last
	}
	return ans.write(txt)
}

// lastEventEnd returns the offset of the end of the last complete event, or 0 if there is none.
func lastEventEnd(txt []byte) int {
	if pos := bytes.LastIndex(txt, []byte("\n\n")); pos >= 0 {
		return pos + 2
	}
	if pos := bytes.LastIndex(txt, []byte("\n\r\n")); pos >= 0 {
		return pos + 3
	}
	return 0
}

// continuesAfter reports whether complete events may follow the event with the given id: the first of them has an id, which is
// higher if both are numbers. Anything else is the stream from its start or no stream at all.
func continuesAfter(txt []byte, last string) bool {
	first := txt
	for _, sep := range []string{"\n\n", "\n\r\n"} {
		if pos := bytes.Index(first, []byte(sep)); pos >= 0 {
			first = first[:pos+len(sep)]
		}
	}
	id := findLastEventID(first)
	num, err := strconv.ParseInt(id, 10, 64)
	lastNum, lastErr := strconv.ParseInt(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != "" && id != last
	}
	return num > lastNum
}

// findLastEventID returns the id of the last event that has one, or an empty string.
func findLastEventID(txt []byte) string {
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
