package chaos

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// PoisonText is the text in a prompt that makes an engine crash; the fleet needs it in Options.CrashOn.
const PoisonText = "poison"

const (
	// poisonRepeats is how often the client sends the request, through the nodes in turn.
	poisonRepeats  = 12
	poisonInterval = 100 * time.Millisecond
	// maxPoisonCrashes is how many engines one request may crash before the router must refuse it.
	maxPoisonCrashes = 2
)

// RunPoison sends a request that crashes its engine repeatedly through all nodes, restarts the crashed engines
// and returns their number. It fails if there were more than maxPoisonCrashes or if the last answer was not
// NotRun.
func RunPoison(flt *fleet.Fleet) (crashed int, err error) {
	defer errs.Annotate(&err, "poison")
	cli := NewClient(flt)
	bdy, err := json.Marshal(map[string]any{
		"model":    flt.Config.Pools[0].Models[0],
		"messages": []map[string]string{{"role": "user", "content": PoisonText}},
	})
	if err != nil {
		return 0, err
	}
	var last router.Outcome
	for num := range poisonRepeats {
		res, err := cli.send(context.Background(), http.MethodPost, num%len(flt.Nodes), "/v1/chat/completions", string(bdy), nil)
		if err != nil {
			return 0, err
		}
		// Only the outcome in the header is needed.
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		last = router.Outcome(res.Header.Get(router.HeaderOutcome))
		time.Sleep(poisonInterval)
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
	if crashed > maxPoisonCrashes || last != router.NotRun {
		return crashed, errors.Errorf("%d engines crashed, and the last repeat was answered %s", crashed, last)
	}
	return crashed, nil
}
