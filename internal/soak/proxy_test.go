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

// silence is how long a test waits for an answer that must not come.
const silence = 300 * time.Millisecond

// TestProxyModes asks through a proxy in each mode, and again on the same connection after the fault.
func TestProxyModes(t *testing.T) {
	cases := map[string]struct {
		mode          soak.Mode
		during, after bool
	}{
		"pass":    {soak.Pass, true, true},
		"delay":   {soak.Delay, true, true},
		"reset":   {soak.Reset, false, true},
		"one way": {soak.OneWay, false, true},
		"silence": {soak.Silence, false, true},
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
			cli := &http.Client{Transport: &http.Transport{}, Timeout: silence}
			ask := func() bool {
				rsp, err := cli.Get("http://" + prx.Address())
				if err != nil {
					return false
				}
				defer rsp.Body.Close()
				txt, err := io.ReadAll(rsp.Body)
				return err == nil && string(txt) == "ok"
			}
			if !ask() {
				t.Fatal("no answer before the fault")
			}
			prx.Set(cas.mode)
			if got := ask(); got != cas.during {
				t.Errorf("answered %t during the fault, want %t", got, cas.during)
			}
			prx.Set(soak.Pass)
			if got := ask(); got != cas.after {
				t.Errorf("answered %t after the fault, want %t", got, cas.after)
			}
		})
	}
}
