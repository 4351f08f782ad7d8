package runner

import "testing"

// TestRoundOver plays how two attempts of one round end.
func TestRoundOver(t *testing.T) {
	fst, snd := &attempt{number: 1}, &attempt{number: 2}
	for name, tst := range map[string]struct {
		winner  *attempt
		results []result
		// last is how the round must be seen to end.
		last ending
		by   *attempt
	}{
		"a hedge that found no slot does not end the winner's round": {
			winner:  fst,
			results: []result{{ending: endLost}, {attempt: fst, ending: endDone}},
			last:    endDone, by: fst,
		},
		"a failure waits for the hedge": {
			winner:  snd,
			results: []result{{attempt: fst, ending: endFailed}, {attempt: snd, ending: endDone}},
			last:    endDone, by: snd,
		},
		"a failure after which no hedge found a slot": {
			results: []result{{attempt: fst, ending: endFailed}, {ending: endLost}},
			last:    endFailed, by: fst,
		},
		"a recall of the winner": {
			winner:  fst,
			results: []result{{attempt: fst, ending: endRecalled}},
			last:    endRecalled, by: fst,
		},
		"a refusal before any token": {
			results: []result{{attempt: snd, ending: endRefused}},
			last:    endRefused, by: snd,
		},
	} {
		t.Run(name, func(t *testing.T) {
			ses := &session{}
			ses.winner.Store(tst.winner)
			rnd := newRound(ses, fst)
			rnd.live = 2
			for idx, res := range tst.results {
				rnd.live--
				if over := rnd.over(res); over != (idx == len(tst.results)-1) {
					t.Fatalf("result %d: over %v", idx, over)
				}
			}
			if rnd.last.ending != tst.last || rnd.last.attempt != tst.by {
				t.Fatalf("ended as %d by attempt %d", rnd.last.ending, rnd.last.attempt.number)
			}
		})
	}
}
