package conf

import "sync/atomic"

// Live holds the active configuration, which may be replaced while it is read. Its users call Get for each
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

// Get returns the active configuration, which callers must not modify.
func (liv *Live) Get() *Config {
	return liv.cur.Load()
}

// Set replaces the active configuration.
func (liv *Live) Set(cfg Config) {
	liv.cur.Store(&cfg)
}
