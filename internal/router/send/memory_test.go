package send_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/intake"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// TestShortMemoryIsNoFailureOfTheUpstream guards against a node that avoids upstreams because it has no memory for their responses.
func TestShortMemoryIsNoFailureOfTheUpstream(t *testing.T) {
	const size = 400 << 10
	large := head + "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("x", size)
	grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
	defer stop()
	// The second upstream is chosen only if the first one counts as failing.
	scrs := []*fakes.ScriptedServer{fakes.NewScriptedServer(t, large, whole), fakes.NewScriptedServer(t, whole, whole)}
	opt := senderOptions(grd, scrs...)
	opt.Memory = intake.New(intake.Options{Timers: timer.Real{}, MemoryBytes: 300 << 10, OnRefuse: func(string) {}})
	full := opt.Memory.Open(intake.Answer, -1, func() {})
	full.Take(300 << 10)
	snd := send.New(opt)
	first := 0
	for num, want := range []int{http.StatusBadGateway, http.StatusOK} {
		if rec, _, _ := sendCall(snd, router.Route{Attempts: 1}, router.Call{}); rec.Code != want {
			t.Errorf("call %d: status %d, want %d", num, rec.Code, want)
		}
		first = len(scrs[0].Requests())
	}
	if first != 2 {
		t.Errorf("%d of 2 calls at the first upstream", first)
	}
}
