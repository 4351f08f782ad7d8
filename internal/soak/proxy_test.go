package soak_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/soak"
)

// noAnswerTimeout is how long a request waits before it counts as unanswered.
const noAnswerTimeout = 300 * time.Millisecond

// TestProxyModes guards against a mode that does not cause its fault or that outlasts it: it sends
// a request before, during and after each mode through a client that reuses its connection.
func TestProxyModes(t *testing.T) {
	cases := map[string]struct {
		mode          soak.Mode
		during, after bool
	}{
		"pass":      {soak.Pass, true, true},
		"delay":     {soak.Delay, true, true},
		"reset":     {soak.Reset, false, true},
		"one way":   {soak.OneWay, false, true},
		"blackhole": {soak.Blackhole, false, true},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wri, "ok") }))
			defer srv.Close()
			prx, err := soak.NewProxy(strings.TrimPrefix(srv.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer prx.Close()
			cli := &http.Client{Transport: &http.Transport{}, Timeout: noAnswerTimeout}
			isAnswered := func() bool {
				rsp, err := cli.Get("http://" + prx.Address())
				if err != nil {
					return false
				}
				defer rsp.Body.Close()
				txt, err := io.ReadAll(rsp.Body)
				return err == nil && string(txt) == "ok"
			}
			if !isAnswered() {
				t.Fatal("no answer before the fault")
			}
			prx.SetMode(cas.mode)
			if got := isAnswered(); got != cas.during {
				t.Errorf("answered %t during the fault, want %t", got, cas.during)
			}
			prx.SetMode(soak.Pass)
			if got := isAnswered(); got != cas.after {
				t.Errorf("answered %t after the fault, want %t", got, cas.after)
			}
		})
	}
}
