package conf

import "sync/atomic"

// Live holds the configuration in force, which may be replaced while it is read. Its users call Get for each
// decision, so that a new configuration takes effect at once.
type Live struct {
	cur atomic.Pointer[Config]
}

// NewLive returns a Live that holds cfg.
func NewLive(cfg Config) *Live {
	liv := &Live{}
	liv.Set(cfg)
	return liv
}

// Get returns the configuration in force, which callers must not modify.
func (liv *Live) Get() *Config {
	return liv.cur.Load()
}

// Set replaces the configuration in force.
func (liv *Live) Set(cfg Config) {
	liv.cur.Store(&cfg)
}
