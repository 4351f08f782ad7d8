package chaos

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// PoisonText makes the engines of a failure run crash.
const PoisonText = "poison"

const (
	// poisonRepeats is how often the caller repeats the request, through every node in turn.
	poisonRepeats = 12
	poisonPause   = 100 * time.Millisecond
	// poisonVictims is how many engines one request may crash.
	poisonVictims = 2
)

// Poison repeats a request that crashes engines through all nodes, and returns how many engines it crashed; it
// starts them again.
func Poison(flt *fleet.Fleet) (crashed int, err error) {
	defer fault.Annotate(&err, "poison")
	cls := NewCallers(flt)
	bdy, err := json.Marshal(map[string]any{
		"model":    flt.Config.Pools[0].Models[0],
		"messages": []map[string]string{{"role": "user", "content": PoisonText}},
	})
	if err != nil {
		return 0, err
	}
	var last router.Outcome
	for num := range poisonRepeats {
		res, err := cls.send(context.Background(), http.MethodPost, num%len(flt.Nodes), "/v1/chat/completions", string(bdy), nil)
		if err != nil {
			return 0, err
		}
		// Only the outcome counts.
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		last = router.Outcome(res.Header.Get(router.HeaderOutcome))
		time.Sleep(poisonPause)
	}
	for _, ups := range flt.Config.Pools[0].Upstreams {
		prc := flt.Upstreams[ups.Name]
		select {
		case <-prc.Done():
			crashed++
			if err := prc.Start(); err != nil {
				return 0, err
			}
		default:
		}
	}
	if crashed > poisonVictims || last != router.NotRun {
		return crashed, errors.Errorf("%d engines crashed, and the last repeat was told %s", crashed, last)
	}
	return crashed, nil
}
