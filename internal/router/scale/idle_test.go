package scale

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// TestIdleMaximum guards against more upstreams than the maximum of a failure domain when an idle service is exchanged before upstreams that
// were cut have gone.
func TestIdleMaximum(t *testing.T) {
	spc, now := spec, time.Unix(1e9, 0)
	spc.SpotPrice, spc.Prices = 0.4, map[string]float64{"a": 1, "b": 1}
	vew := View{
		Now: now, Service: router.ServiceSpec{Name: "s", Engine: &router.EngineSpec{Slots: 10}, Scaling: &spc},
		Regions: map[string]string{"a": "north", "b": "north"}, Complete: true, HeldSince: now.Add(-time.Minute),
	}
	for num := range 11 {
		for _, dom := range []string{"a", "b"} {
			vew.Instances = append(vew.Instances, router.Instance{ID: fmt.Sprint(dom, num), FailureDomain: dom, Slots: 10})
		}
	}
	mem := NewMemory()
	for range 2 + int(idlePeriod/time.Second) {
		mem.Observe(vew)
		vew.Now = vew.Now.Add(time.Second)
	}
	mem.Record(Order{ScaleOrder: router.ScaleOrder{FailureDomain: "a", Count: 8}, Before: 11}, vew.Now, nil)
	mem.Observe(vew)
	for _, ord := range (Planner{}).Plan(vew, mem).Orders {
		if 11+ord.Count > spc.Max {
			t.Errorf("11 regular upstreams and the order %v, the maximum is %d", ord, spc.Max)
		}
	}
}
