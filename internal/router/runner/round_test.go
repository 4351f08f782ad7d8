package runner

import "testing"

// TestRoundEnd guards against a round that ends while its winner still streams, that ends as failed while
// a hedge could still answer, or that never ends: the results of two attempts arrive in various orders.
func TestRoundEnd(t *testing.T) {
	fst, snd := &attempt{number: 1}, &attempt{number: 2}
	for name, tst := range map[string]struct {
		winner  *attempt
		results []result
		// final and by are the reason and the attempt of the expected final result.
		final endReason
		by    *attempt
	}{
		"a hedge that found no slot does not end the winner's round": {
			winner:  fst,
			results: []result{{reason: endSuperseded}, {attempt: fst, reason: endCompleted}},
			final:   endCompleted, by: fst,
		},
		"a failure does not end the round while the hedge runs": {
			winner:  snd,
			results: []result{{attempt: fst, reason: endFailed}, {attempt: snd, reason: endCompleted}},
			final:   endCompleted, by: snd,
		},
		"a failure ends the round once the hedge found no slot": {
			results: []result{{attempt: fst, reason: endFailed}, {reason: endSuperseded}},
			final:   endFailed, by: fst,
		},
		"a recall of the winner ends the round": {
			winner:  fst,
			results: []result{{attempt: fst, reason: endRecalled}},
			final:   endRecalled, by: fst,
		},
		"a client error before any token ends the round": {
			results: []result{{attempt: snd, reason: endClientError}},
			final:   endClientError, by: snd,
		},
	} {
		t.Run(name, func(t *testing.T) {
			ses := &session{}
			ses.winner.Store(tst.winner)
			rnd := newRound(ses, fst)
			rnd.inFlight = 2
			for idx, res := range tst.results {
				rnd.inFlight--
				if over := rnd.recordResult(res); over != (idx == len(tst.results)-1) {
					t.Fatalf("result %d: over %v", idx, over)
				}
			}
			if rnd.final.reason != tst.final || rnd.final.attempt != tst.by {
				t.Fatalf("ended as %d by attempt %d", rnd.final.reason, rnd.final.attempt.number)
			}
		})
	}
}
