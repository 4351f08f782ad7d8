package send

import (
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

// countAnswered counts an attempt of a call that is no stream if its answer does not state that the call was not run. That includes
// answers that are not relayed, because the upstream may have run the call. Streams are counted at their first event.
func (act *activeCall) countAnswered(chk router.AnswerCheck) {
	if !act.job.Route.Stream && !chk.NotRun {
		act.countRun()
	}
}

// countUnanswered counts an attempt of a call that is no stream if its connection broke after the call was sent.
func (act *activeCall) countUnanswered(err error) {
	var unsent *conns.NotWrittenError
	if !act.job.Route.Stream && !errors.As(err, &unsent) {
		act.countRun()
	}
}
