package conf

import "github.com/hornbeamdyke/hornbeamdyke/internal/router"

// Region returns the region of a failure domain, or "" if the configuration does not list it.
func (cfg Config) Region(domain string) string {
	for _, dom := range cfg.FailureDomains {
		if dom.Name == domain {
			return dom.Region
		}
	}
	return ""
}

// Class returns the class with the given name.
func (cfg Config) Class(name string) (cls router.Class, found bool) {
	for _, cls := range cfg.Classes {
		if cls.Name == name {
			return cls, true
		}
	}
	return router.Class{}, false
}

// Pool returns the pool with the given name.
func (cfg Config) Pool(name string) (pol router.Pool, found bool) {
	for _, pol := range cfg.Pools {
		if pol.Name == name {
			return pol, true
		}
	}
	return router.Pool{}, false
}

// ModelPool returns the pool that serves a model.
func (cfg Config) ModelPool(model string) (pol router.Pool, found bool) {
	for _, pol := range cfg.Pools {
		for _, mod := range pol.Models {
			if mod == model {
				return pol, true
			}
		}
	}
	return router.Pool{}, false
}

// Upstream returns the upstream with the given name. Names of upstreams are unique among all pools.
func (cfg Config) Upstream(name string) (ups router.Upstream, found bool) {
	for _, pol := range cfg.Pools {
		for _, ups := range pol.Upstreams {
			if ups.Name == name {
				return ups, true
			}
		}
	}
	return router.Upstream{}, false
}

// Minimums returns, for each tier, the sum of the minimum shares of its classes.
func (cfg Config) Minimums() (mns [router.MaxTier + 1]float64) {
	for _, cls := range cfg.Classes {
		mns[cls.Tier] += cls.MinimumShare
	}
	return mns
}
