package admit

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// fill takes all slots of a model whose calls take a second, and returns it.
func fill() (mod *model) {
	mod = newModel()
	mod.play(startTime+time.Second, &arrivals{workspace: "fill", tier: 9, rate: constant(usual)})
	for len(mod.running) < slots+slots/16 {
		mod.send(&modelCall{kind: &arrivals{workspace: "fill", tier: 9}}, "")
		mod.running = append(mod.running, mod.waiting[len(mod.waiting)-1])
		mod.waiting = mod.waiting[:len(mod.waiting)-1]
	}
	return mod
}

// TestOrder guards against the start of a call before a more urgent one, one of a workspace within its share, or one that waited.
func TestOrder(t *testing.T) {
	type call struct {
		workspace, digest string
		tier              int
	}
	cases := map[string]struct {
		calls []call
		// want holds the digests in the order of their starts.
		want []string
	}{
		"tier": {calls: []call{{digest: "late", tier: 2}, {digest: "next", tier: 1}, {digest: "first"}}, want: []string{"first", "next", "late"}},
		"age":  {calls: []call{{digest: "one"}, {digest: "two"}}, want: []string{"one", "two"}},
		"early return": {
			calls: []call{{digest: "refused"}, {digest: "other"}},
			want:  []string{"other", "refused"},
		},
		"workspace above its share": {
			calls: []call{{digest: "one", workspace: "big"}, {digest: "two", workspace: "small"}},
			want:  []string{"two", "one"},
		},
		"early return of a more urgent call": {
			calls: []call{{digest: "other", tier: 1}, {digest: "refused"}},
			want:  []string{"refused", "other"},
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			mod := fill()
			ser, now := mod.services["svc"], mod.timers.Now()
			ser.returns.next("refused", time.Second, 1, time.Minute, now)
			ser.uses.add(account{workspace: "big"}, 1000, now)
			ser.uses.add(account{workspace: "small"}, 10, now)
			for _, cal := range cas.calls {
				mod.enter(mod.request(cal.workspace, cal.tier, cal.digest))
				mod.timers.Advance(time.Millisecond)
			}
			ser.order(now)
			var got []string
			for len(ser.queue) > 0 {
				wai, _ := ser.peek()
				ser.remove(wai)
				got = append(got, wai.Digest)
			}
			if !slices.Equal(got, cas.want) {
				t.Errorf("got %v, want %v", got, cas.want)
			}
		})
	}
}

// TestMinimumShare guards against calls that never start because more urgent ones, or those of other workspaces or sizes, keep coming.
func TestMinimumShare(t *testing.T) {
	cases := map[string]func(req *router.AdmissionRequest){
		"tier":      func(req *router.AdmissionRequest) { req.Tier = 3 },
		"workspace": func(req *router.AdmissionRequest) { req.Workspace, req.Tier = "other", 1 },
		"size":      func(req *router.AdmissionRequest) { req.Call.PromptTokens, req.Tier = 100_000, 1 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			ser := &service{}
			started := 0
			for num := range 100 {
				for _, rare := range []bool{false, true} {
					wai := &waiter{service: ser, AdmissionRequest: router.AdmissionRequest{Call: &router.Call{PromptTokens: 1000}, Workspace: "a"}}
					if rare {
						change(&wai.AdmissionRequest)
					}
					ser.push(wai)
				}
				ser.order(time.Unix(int64(num), 0))
				wai, shared := ser.peek()
				ser.remove(wai)
				ser.shares.record(wai, ser.queue, shared)
				if wai.Tier > 0 {
					started++
				}
			}
			if started < 100/minShare-1 || started > 2*100/minShare {
				t.Errorf("%d of 100", started)
			}
		})
	}
}

// TestCheck guards against sending a call whose output can't end in time, and against refusing one that may.
func TestCheck(t *testing.T) {
	cases := map[string]struct {
		running, hint int
		// left is the time to the deadline; zero selects 4 s.
		left time.Duration
		est  router.UpstreamEstimate
		// ratios are the times of former outputs, relative to the hinted tokens times the gap.
		ratios []float64
		want   bool
	}{
		"late, but before the deadline":            {running: slots, est: router.UpstreamEstimate{FirstEvent: 3 * time.Second}, want: true},
		"first event after the deadline":           {running: slots, est: router.UpstreamEstimate{FirstEvent: 6 * time.Second}},
		"output after the deadline":                {running: slots, hint: 480, ratios: []float64{0.2}, est: router.UpstreamEstimate{FirstEvent: 400 * time.Millisecond, EventGap: 50 * time.Millisecond}},
		"output in time without prefill of others": {running: slots, hint: 480, ratios: []float64{0.2}, est: router.UpstreamEstimate{FirstEvent: 400 * time.Millisecond, EventGap: 13 * time.Millisecond}, want: true},
		"one of three such outputs ends in time":   {running: slots, hint: 480, ratios: []float64{0.2, 0.05, 0.2}, est: router.UpstreamEstimate{EventGap: 50 * time.Millisecond}, want: true},
		"times of outputs unknown":                 {running: slots, hint: 480, est: router.UpstreamEstimate{EventGap: 50 * time.Millisecond}, want: true},
		"fewer than half of the slots are taken":   {running: slots / 3, est: router.UpstreamEstimate{FirstEvent: time.Minute}, want: true},
		"first event after the caller left":        {running: slots, left: time.Minute, est: router.UpstreamEstimate{FirstEvent: 8 * time.Second}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			mod := newModel()
			mod.timers.Advance(startTime)
			mod.running = make([]*modelCall, cas.running)
			req := mod.request("a", 0, "")
			req.Deadline = mod.timers.Now().Add(cmp.Or(cas.left, 4*time.Second))
			req.Call.OutputTokens = cas.hint
			wai := mod.enter(req)
			for num := range minRatios * min(1, len(cas.ratios)) {
				wai.service.outputs.add(time.Duration(1000*cas.ratios[num%len(cas.ratios)])*time.Second, 1000, time.Second)
			}
			if got := wai.Check(cas.est); got != cas.want {
				t.Errorf("fits: %t", got)
			}
		})
	}
}

// TestRetryAfter guards against callers that come back together, or when their deadline is near.
func TestRetryAfter(t *testing.T) {
	now := time.Unix(1000, 0)
	var ret returns
	last := time.Duration(0)
	for range 20 {
		after := ret.next("one", time.Second, 20, time.Minute, now)
		if after-last < time.Second/20 {
			t.Fatalf("%s after %s", after, last)
		}
		last = after
	}
	if last > 3*time.Second {
		t.Errorf("the last one is told %s, although 20 are served each second", last)
	}
	if after := ret.next("one", time.Minute, 20, 3*time.Second, now); after > time.Second {
		t.Errorf("%s of 3 s", after)
	}
}
