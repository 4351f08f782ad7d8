package conf

import "sync/atomic"

// Live holds the configuration in force; parts read it at each decision.
type Live struct {
	cur atomic.Pointer[Config]
}

// NewLive returns a Live with a configuration in force.
func NewLive(cfg Config) *Live {
	liv := &Live{}
	liv.Set(cfg)
	return liv
}

// Get returns the configuration in force, which must not be changed.
func (liv *Live) Get() *Config {
	return liv.cur.Load()
}

// Set puts a configuration in force.
func (liv *Live) Set(cfg Config) {
	liv.cur.Store(&cfg)
}
