package place

import "github.com/hornbeamdyke/hornbeamdyke/internal/router"

// FleetDemand is the demand of the whole fleet for a service, as far as this node and the digests of its peers tell.
type FleetDemand struct {
	// Calls is the number of calls per second, and PrefillTokens the number of prompt tokens per second that engines prefill. Both
	// are moving averages with a half-life of 10 s; they are zero for plain services.
	Calls, PrefillTokens float64
	// InFlight is the present number of calls at the upstreams.
	InFlight int
	// Waiting is the present number of calls that wait at nodes. FleetDemand leaves it zero; whoever knows the queues adds it.
	Waiting int
	// PendingTokens is the present number of prompt tokens that engines have yet to prefill.
	PendingTokens int
	// PrefillRate is the mean prefill rate of an engine in tokens per second; zero before this node observed one.
	PrefillRate float64
	// Ejected is the number of upstreams that this node avoids at present because calls failed there.
	Ejected int
}

// FleetDemand returns the demand for a service with a list of its instances.
func (bal *Balancer) FleetDemand(name string, list []router.Instance) (dem FleetDemand) {
	now := bal.options.Timers.Now()
	svc := bal.serviceOf(name)
	svc.mut.Lock()
	for cls := range svc.numClasses() {
		one := svc.demand(cls, now)
		dem.Calls += one.Calls
		dem.PrefillTokens += one.PrefillTokens
	}
	svc.mut.Unlock()
	rates, sum := 0, 0.0
	for _, ins := range list {
		bal.mut.Lock()
		lod := bal.loads[ins.Key()]
		bal.mut.Unlock()
		if lod == nil {
			continue
		}
		lod.mut.Lock()
		all := lod.local
		all.add(lod.peers, 1)
		if rate := lod.observedRate(); rate > 0 {
			rates++
			sum += rate
		}
		if now.Before(lod.ejectedUntil) {
			dem.Ejected++
		}
		lod.mut.Unlock()
		dem.InFlight += max(0, all.Running)
		dem.PendingTokens += max(0, all.Pending.total())
	}
	if rates > 0 {
		dem.PrefillRate = sum / float64(rates) * 1000
	}
	return dem
}

// observedRate returns the prefill rate of the engine as the fleet learned it, else as this node observed it, or zero. The caller holds the lock.
func (lod *load) observedRate() (rate float64) {
	if lod.rated() {
		return lod.rate.fleet.value
	}
	return lod.prefillRate
}
