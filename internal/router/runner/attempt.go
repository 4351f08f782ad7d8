package runner

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/relay"
)

// The causes for which an attempt is cancelled.
var (
	errRecalled = errors.New("slot recalled")
	errLost     = errors.New("another attempt came first")
	errStalled  = errors.New("stream stalled")
	errDead     = errors.New("upstream does not answer")
	errCaller   = errors.New("caller gone")
	errSlow     = errors.New("upstream became slow")
)

const (
	doneData      = "[DONE]"
	maxEventBytes = 1 << 20
	maxErrorBytes = 64 << 10
)

// ending is how an attempt ended.
type ending int

const (
	// endDone: the answer is whole.
	endDone ending = iota + 1
	// endRecalled: the slot was wanted back.
	endRecalled
	// endLost: another attempt won.
	endLost
	// endFailed: the upstream failed, or its connection did.
	endFailed
	// endRefused: the upstream answered with an error that is the caller's.
	endRefused
	// endCaller: the caller is gone.
	endCaller
	// endSlow: the stream is moved to another upstream.
	endSlow
)

type result struct {
	attempt *attempt
	ending  ending
	err     error
	// answer is the upstream's own error, with endRefused.
	answer *router.Answer
	// crashed is set when the upstream no longer accepts connections.
	crashed bool
	// unsent is set when no connection was obtained.
	unsent bool
}

// attempt is one try of a session on one granted slot.
type attempt struct {
	runner  *Runner
	session *session
	grant   router.Grant
	number  int
	context context.Context
	cancel  context.CancelCauseFunc
	// last is the time of the last event in Unix nanoseconds.
	last atomic.Int64
	// first is set when the first token has come, at firstAt in Unix nanoseconds; relayed counts the tokens.
	first   atomic.Bool
	firstAt atomic.Int64
	relayed atomic.Int64
	probing atomic.Bool
	// held is the event before the first token, kept until the attempt has won.
	held   string
	tokens int
}

// recallHook lets a grant's recall reach an attempt that is made after the grant.
type recallHook struct {
	mut    sync.Mutex
	cancel context.CancelCauseFunc
	fired  bool
}

func (hok *recallHook) fire() {
	hok.mut.Lock()
	defer hok.mut.Unlock()
	hok.fired = true
	if hok.cancel != nil {
		hok.cancel(errRecalled)
	}
}

func (hok *recallHook) bind(cancel context.CancelCauseFunc) {
	hok.mut.Lock()
	defer hok.mut.Unlock()
	hok.cancel = cancel
	if hok.fired {
		cancel(errRecalled)
	}
}

// run sends the request and relays the answer until either ends.
func (att *attempt) run() (res result) {
	att.runner.track(att)
	defer att.runner.untrack(att)
	res = att.exchange()
	res.attempt = att
	att.grant.Release(router.Result{
		Failed: res.ending == endFailed,
		Slow:   res.ending == endSlow || res.ending == endLost && att.tokens == 0,
	})
	att.cancel(nil)
	return res
}

func (att *attempt) exchange() result {
	ses := att.session
	cal, err := ses.chat.call(ses.prefix, ses.resumedAt, att.number, true)
	if err != nil {
		return result{ending: endFailed, err: err}
	}
	rep, snt, err := att.runner.options.Relay.Send(att.context, att.grant.Upstream(), cal)
	if snt {
		ses.sent.Store(true)
	}
	if err != nil {
		return att.classify(err, snt)
	}
	defer rep.Body.Close()
	if rep.Status != http.StatusOK {
		return att.refused(rep)
	}
	return att.pump(rep.Body)
}

// pump relays events until the stream ends.
func (att *attempt) pump(bdy io.Reader) result {
	for evt, err := range sse.Read(bdy, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return att.classify(err, true)
		}
		if evt.Data == doneData {
			return result{ending: endDone}
		}
		if err := att.event(evt.Data); err != nil {
			return att.classify(err, true)
		}
	}
	return att.classify(io.ErrUnexpectedEOF, true)
}

// event relays one event; the first with content decides who wins the session.
func (att *attempt) event(data string) (err error) {
	now := att.runner.now()
	con := gjson.Get(data, "choices.0.delta.content").String()
	if con != "" {
		att.progress(now)
	}
	att.last.Store(now.UnixNano())
	if !att.first.Load() && con == "" && isOpening(data) {
		att.held = data
		return nil
	}
	if !att.win() {
		return errLost
	}
	att.first.Store(true)
	if att.held != "" && att.session.resumedAt == 0 {
		if err := att.pass(att.held, ""); err != nil {
			return err
		}
	}
	att.held = ""
	return att.pass(data, con)
}

func (att *attempt) pass(data, content string) error {
	if err := att.session.relay(att.grant.Upstream(), data, content); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

// isOpening reports whether an event only names the role.
func isOpening(data string) bool {
	return gjson.Get(data, "choices.0.delta.role").Exists() &&
		!gjson.Get(data, "choices.0.delta.tool_calls").Exists()
}

func (att *attempt) progress(now time.Time) {
	att.tokens++
	att.relayed.Add(1)
	if att.tokens == 1 {
		att.firstAt.Store(now.UnixNano())
		att.grant.Progress(0)
		return
	}
	att.grant.Progress(now.Sub(time.Unix(0, att.last.Load())))
}

// win makes the attempt the session's winner unless another is.
func (att *attempt) win() bool {
	return att.session.winner.CompareAndSwap(nil, att) || att.session.winner.Load() == att
}

// classify tells how an error ended the attempt.
func (att *attempt) classify(err error, sent bool) result {
	if cse := context.Cause(att.context); cse != nil {
		err = cse
	}
	res := result{ending: endFailed, err: err, unsent: !sent}
	switch {
	case errors.Is(err, errRecalled):
		res.ending = endRecalled
	case errors.Is(err, errSlow):
		res.ending = endSlow
	case errors.Is(err, errLost):
		res.ending = endLost
	case errors.Is(err, errDead):
		res.crashed = true
	case errors.Is(err, errStalled), errors.Is(err, relay.ErrRetired):
	case errors.Is(err, errCaller), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		res.ending = endCaller
	default:
		res.crashed = sent && att.runner.crashed(att.context, att.grant.Upstream())
	}
	return res
}

// refused passes on a client error, and treats overload and server errors as failures.
func (att *attempt) refused(rep *relay.Reply) result {
	bdy, err := io.ReadAll(io.LimitReader(rep.Body, maxErrorBytes))
	if err != nil {
		return att.classify(err, true)
	}
	if rep.Status >= http.StatusInternalServerError || rep.Status == http.StatusTooManyRequests {
		return result{ending: endFailed, err: errors.Errorf("upstream answered %d", rep.Status)}
	}
	ans := &router.Answer{Status: rep.Status, Header: rep.Header, Body: bdy, Upstream: att.grant.Upstream().Name}
	return result{ending: endRefused, answer: ans}
}
