package send

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/conns"
)

// countRun counts the current attempt, once, as one that its upstream began to execute. Calls of public routes have no workspace
// and are not counted.
func (act *activeCall) countRun() {
	if act.runCounted {
		return
	}
	act.runCounted = true
	if run := act.sender.options.OnRun; run != nil && act.job.Workspace != "" {
		run(act.job.Workspace)
	}
}

// countAnswered counts an attempt if its answer does not state that the call was not run. That includes answers that are not relayed,
// because the upstream may have run the call, and errors of the upstream. A stream is counted at its first event.
func (act *activeCall) countAnswered(chk router.AnswerCheck, status int) {
	if !chk.NotRun && (!act.job.Route.Stream || status != http.StatusOK) {
		act.countRun()
	}
}

// countLost returns a function that counts an attempt whose connection broke before the first event of a stream, or nil. An upstream that
// is still up has lost the answer rather than crashed, so that it ran the call.
func (act *activeCall) countLost() func() {
	run, workspace := act.sender.options.OnRun, act.job.Workspace
	if run == nil || workspace == "" || act.runCounted || !act.job.Route.Stream {
		return nil
	}
	act.runCounted = true
	return func() { run(workspace) }
}

// countUnanswered counts an attempt of a call that is no stream if its connection broke after the call was sent.
func (act *activeCall) countUnanswered(err error) {
	var unsent *conns.NotWrittenError
	if !act.job.Route.Stream && !errors.As(err, &unsent) {
		act.countRun()
	}
}
