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
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/strict"
)

// Causes with which an attempt's context is cancelled. The texts of some become part of a refusal's message.
var (
	errRecalled    = errors.New("slot recalled")
	errSuperseded  = errors.New("another attempt came first")
	errStalled     = errors.New("stream stalled")
	errProbeFailed = errors.New("upstream does not answer")
	errCallerGone  = errors.New("caller gone")
	errSlow        = errors.New("upstream is slow")
)

const (
	// doneData is the data of the event that ends a chat-completions stream.
	doneData      = "[DONE]"
	maxEventBytes = 1 << 20
)

// endReason is how an attempt ended.
type endReason int

const (
	// endCompleted: the answer is complete.
	endCompleted endReason = iota + 1
	// endRecalled: the scheduler preempted the attempt.
	endRecalled
	// endSuperseded: another attempt of the round won, or a hedge was not sent at all.
	endSuperseded
	// endFailed: the upstream or the connection to it failed.
	endFailed
	// endClientError: the upstream answered with a client error.
	endClientError
	// endCallerGone: the caller disconnected or its context ended.
	endCallerGone
	// endSlow: the upstream is too slow, so the stream moves to another one.
	endSlow
)

// result is the result of an attempt.
type result struct {
	attempt *attempt
	reason  endReason
	err     error
	// answer is the upstream's error response; it is set for endClientError only.
	answer *router.Answer
	// crashed is set when the upstream failed a health check on a new connection.
	crashed bool
	// unsent is set when no connection was obtained, so nothing was sent.
	unsent bool
}

// attempt sends the request of a session to one upstream, on a granted slot.
type attempt struct {
	runner  *Runner
	session *session
	grant   router.Grant
	// number is the number of the attempt within the session, from 1; hedges count too.
	number  int
	context context.Context
	cancel  context.CancelCauseFunc
	// lastEventAt is the time of the last event, or of the start before the first event, in Unix nanoseconds.
	lastEventAt atomic.Int64
	// started is set when the attempt has won its round and relays events.
	started atomic.Bool
	// firstTokenAt is the time of the first token in Unix nanoseconds.
	firstTokenAt atomic.Int64
	// watchedTokens equals tokens and may be read by other goroutines.
	watchedTokens atomic.Int64
	// probing is set once the upstream is probed, which happens at most once per attempt.
	probing atomic.Bool
	// roleEvent is the opening event that only names the role, kept back until the attempt has won.
	roleEvent string
	// tokens is the number of events with content.
	tokens int
}

// recallHook cancels an attempt when its slot is recalled (preempted by the scheduler). The recall may
// come before the attempt is created, because the scheduler needs the callback to grant the slot.
type recallHook struct {
	mut    sync.Mutex
	cancel context.CancelCauseFunc
	// recalled is set by the first recall, which may come before attach.
	recalled bool
}

// recall cancels the attempt, now or in attach.
func (hok *recallHook) recall() {
	hok.mut.Lock()
	defer hok.mut.Unlock()
	hok.recalled = true
	if hok.cancel != nil {
		hok.cancel(errRecalled)
	}
}

// attach sets the function that cancels the attempt, and calls it if the slot was recalled already.
func (hok *recallHook) attach(cancel context.CancelCauseFunc) {
	hok.mut.Lock()
	defer hok.mut.Unlock()
	hok.cancel = cancel
	if hok.recalled {
		cancel(errRecalled)
	}
}

// run sends the request, relays the answer and releases the slot. An attempt that was superseded before its
// first token also counts as slow.
func (att *attempt) run() (res result) {
	att.runner.track(att)
	defer att.runner.untrack(att)
	res = att.send()
	res.attempt = att
	att.grant.Release(router.Result{
		Failed: res.reason == endFailed,
		Slow:   res.reason == endSlow || res.reason == endSuperseded && att.tokens == 0,
	})
	att.cancel(nil)
	return res
}

// send sends the request and relays the answer.
func (att *attempt) send() result {
	ses := att.session
	cal, err := ses.chat.upstreamCall(ses.resumedText, ses.resumedTokens, att.number, true)
	if err != nil {
		return result{reason: endFailed, err: err}
	}
	rsp, snt, err := att.runner.options.Relay.Send(att.context, att.grant.Upstream(), cal)
	if snt {
		ses.sent.Store(true)
	}
	if err != nil {
		return att.classify(err, snt)
	}
	defer rsp.Body.Close()
	if rsp.Status != http.StatusOK {
		return att.handleErrorStatus(rsp)
	}
	return att.relayEvents(rsp.Body)
}

// relayEvents relays events until the stream ends.
func (att *attempt) relayEvents(bdy io.Reader) result {
	for evt, err := range sse.Read(bdy, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return att.classify(err, true)
		}
		if evt.Data == doneData {
			return result{reason: endCompleted}
		}
		if err := att.handleEvent(evt.Data); err != nil {
			return att.classify(err, true)
		}
	}
	return att.classify(io.ErrUnexpectedEOF, true)
}

// handleEvent relays one event. The first attempt with an event other than the opening one wins the round.
func (att *attempt) handleEvent(data string) (err error) {
	now := att.runner.now()
	con := gjson.Get(data, "choices.0.delta.content").String()
	if con != "" {
		att.recordToken(now)
	}
	att.lastEventAt.Store(now.UnixNano())
	if !att.started.Load() && con == "" && hasOnlyRole(data) {
		att.roleEvent = data
		return nil
	}
	if !att.claimRound() {
		return errSuperseded
	}
	att.started.Store(true)
	if att.roleEvent != "" && att.session.resumedTokens == 0 {
		if err := att.relay(att.roleEvent, ""); err != nil {
			return err
		}
	}
	att.roleEvent = ""
	return att.relay(data, con)
}

// relay writes an event to the caller; any error means that the caller is gone.
func (att *attempt) relay(data, content string) error {
	if err := att.session.relay(att.grant.Upstream(), data, content); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// hasOnlyRole reports whether an event without content carries just the role of the message. Engines send
// such an event before they have a token.
func hasOnlyRole(data string) bool {
	return gjson.Get(data, "choices.0.delta.role").Exists() &&
		!gjson.Get(data, "choices.0.delta.tool_calls").Exists()
}

// recordToken counts a token and reports it to the scheduler.
func (att *attempt) recordToken(now time.Time) {
	att.tokens++
	att.watchedTokens.Add(1)
	if att.tokens == 1 {
		att.firstTokenAt.Store(now.UnixNano())
		att.grant.Progress(0)
		return
	}
	att.grant.Progress(now.Sub(time.Unix(0, att.lastEventAt.Load())))
}

// claimRound makes the attempt the winner of the round and reports whether it is.
func (att *attempt) claimRound() bool {
	return att.session.winner.CompareAndSwap(nil, att) || att.session.winner.Load() == att
}

// classify derives the result from an error and from the cause with which the attempt was cancelled.
func (att *attempt) classify(err error, sent bool) result {
	if cse := context.Cause(att.context); cse != nil {
		err = cse
	}
	res := result{reason: endFailed, err: err, unsent: !sent}
	switch {
	case errors.Is(err, errRecalled):
		res.reason = endRecalled
	case errors.Is(err, errSlow):
		res.reason = endSlow
	case errors.Is(err, errSuperseded):
		res.reason = endSuperseded
	case errors.Is(err, errProbeFailed):
		res.crashed = true
	case errors.Is(err, errStalled), errors.Is(err, relay.ErrRetired):
	case errors.Is(err, errCallerGone), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		res.reason = endCallerGone
	default:
		res.crashed = sent && att.runner.crashed(att.context, att.grant.Upstream())
	}
	return res
}

// handleErrorStatus returns a client error for the caller; status 429 and server errors are failures.
func (att *attempt) handleErrorStatus(rsp *relay.Response) result {
	bdy, err := strict.ReadAll(rsp.Body, att.runner.options.Live.Get().Limits.AnswerBytes)
	if err != nil {
		return att.classify(err, true)
	}
	if rsp.Status >= http.StatusInternalServerError || rsp.Status == http.StatusTooManyRequests {
		return result{reason: endFailed, err: errors.Errorf("upstream answered %d", rsp.Status)}
	}
	ans := &router.Answer{Status: rsp.Status, Header: rsp.Header, Body: bdy, Upstream: att.grant.Upstream().Name}
	return result{reason: endClientError, answer: ans}
}
