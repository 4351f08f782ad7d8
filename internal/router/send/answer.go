package send

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/conns"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/intake"
)

const (
	// unreadTimeout is how long a caller may take no byte of its answer.
	unreadTimeout = 30 * time.Second
	// memoryWait is how long an answer that is not a stream waits for memory before it is given up.
	memoryWait = 2 * time.Second
	// unwaitedBytes is the size up to which the buffer of an answer does not wait for memory. Ordinary answers and events are
	// smaller.
	unwaitedBytes = 16 << 10
	// writePiece is the number of bytes after which a write to the caller counts as progress.
	writePiece = 64 << 10
	// initialResponseBuffer is the initial capacity of the buffer for a response, in bytes.
	initialResponseBuffer = 4 << 10
)

// errNoMemory means that the node has no memory for a response, which says nothing about the upstream.
var errNoMemory = errors.New("no memory for the response")

// answer is the memory of an answer and the way to its caller.
type answer struct {
	hold    *intake.Hold
	writer  http.ResponseWriter
	control *http.ResponseController
	timers  router.Timers
	done    func()
}

// openAnswer returns an answer, which the caller closes.
func (act *activeCall) openAnswer() (ans *answer) {
	ans = &answer{writer: act.writer, control: http.NewResponseController(act.writer), timers: act.sender.options.Timers}
	abort, done := intake.Guard(func() { _ = ans.control.SetWriteDeadline(ans.timers.Now()) })
	ans.hold, ans.done = act.sender.options.Memory.Open(intake.Answer, -1, abort), done
	return ans
}

// LimitWrites limits the time in which the caller takes what is written next to unreadTimeout. net/http removes the limit at the
// end of the request.
func LimitWrites(wri http.ResponseWriter, tms router.Timers) {
	_ = http.NewResponseController(wri).SetWriteDeadline(tms.Now().Add(unreadTimeout))
}

// close releases the memory, and limits the time for the end of the answer, which net/http writes.
func (ans *answer) close() {
	ans.hold.Release()
	ans.done()
	if ans.hold.Err() == nil {
		LimitWrites(ans.writer, ans.timers)
	}
}

// write writes to the caller and flushes. Without a deadline of the connection, as in tests, the caller may take any time.
func (ans *answer) write(txt []byte) (err error) {
	ans.hold.Watch(true)
	defer ans.hold.Watch(false)
	for first := true; first || len(txt) > 0; first = false {
		if err := ans.hold.Err(); err != nil {
			return err
		}
		LimitWrites(ans.writer, ans.timers)
		cut := min(writePiece, len(txt))
		if _, err := ans.writer.Write(txt[:cut]); err != nil {
			return err
		}
		txt = txt[cut:]
		ans.hold.Progress()
	}
	return ans.control.Flush()
}

// grow counts bytes of memory, and waits for them for a short time.
func (ans *answer) grow(ctx context.Context, num int64) (err error) {
	ctx, cancel := context.WithTimeout(ctx, memoryWait)
	defer cancel()
	if err := ans.hold.Grow(ctx, num); err != nil {
		return errors.Wrap(errNoMemory, err.Error())
	}
	return nil
}

// fill reads more of a body into a buffer, which it enlarges if it is full.
func (ans *answer) fill(ctx context.Context, buf []byte, bdy io.Reader) (res []byte, err error) {
	if len(buf) == cap(buf) {
		larger, err := ans.enlarge(ctx, buf, -1)
		if err != nil {
			return buf, err
		}
		buf = larger
	}
	num, err := bdy.Read(buf[len(buf):cap(buf)])
	return buf[:len(buf)+num], err
}

// readResponse reads the body of a response that is not a stream into memory that is counted for ans. The caller subtracts
// reserved from buffered when it no longer needs the body.
func (snd *Sender) readResponse(ctx context.Context, rsp *http.Response, ans *answer) (txt []byte, reserved int64, err error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			if buf, err = ans.enlarge(ctx, buf, rsp.ContentLength); err != nil {
				return nil, reserved, err
			}
		}
		num, err := rsp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+num]
		if over := int64(len(buf) - freeResponseBytes); over > reserved {
			total := snd.buffered.Add(over - reserved)
			reserved = over
			if total > maxBufferedBytes {
				return nil, reserved, errors.Wrapf(errNoMemory, "buffered responses exceed %d bytes", maxBufferedBytes)
			}
		}
		switch {
		case len(buf) > maxResponseBytes:
			return nil, reserved, errors.Errorf("response exceeds %d bytes", maxResponseBytes)
		case errors.Is(err, io.EOF):
			return buf, reserved, nil
		case err != nil:
			return nil, reserved, err
		}
	}
}

// enlarge returns a larger buffer with the same content, of a response with a length or less than zero. The first unwaitedBytes are not
// waited for.
func (ans *answer) enlarge(ctx context.Context, buf []byte, length int64) (res []byte, err error) {
	size := max(initialResponseBuffer, 2*cap(buf))
	if length >= int64(len(buf)) {
		// One more byte than the response has room for the read that returns its end.
		size = min(size, int(length)+1)
	}
	if size <= unwaitedBytes {
		ans.hold.Take(int64(size))
	} else if err := ans.grow(ctx, int64(size)); err != nil {
		return nil, err
	}
	res = make([]byte, len(buf), size)
	copy(res, buf)
	ans.hold.Shrink(int64(cap(buf)))
	return res, nil
}

// releaseBody releases the body of the call, which no attempt needs any more.
func (act *activeCall) releaseBody() {
	act.job.Call.Body = nil
	if act.job.ReleaseBody != nil {
		act.job.ReleaseBody()
	}
}

// releaseBodyOfStream releases the body of a stream that has begun, if no other attempt may continue it and the upstream has got
// the whole body.
func (act *activeCall) releaseBodyOfStream(con *conns.Conn) {
	rou := act.job.Route
	resumable := rou.Repeat == router.Resumable && act.attempts < rou.Attempts
	if !resumable && con.RequestWritten() {
		act.releaseBody()
	}
}
