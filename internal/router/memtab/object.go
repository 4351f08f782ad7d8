package memtab

import (
	"context"
	"sync"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Objects is an in-memory router.Objects. It is safe for concurrent use.
type Objects struct {
	mut  sync.Mutex
	vals map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{vals: make(map[string][]byte)}
}

// Store keeps a copy of val under key; it never fails.
func (obj *Objects) Store(_ context.Context, key string, val []byte) (err error) {
	obj.mut.Lock()
	defer obj.mut.Unlock()
	obj.vals[key] = append([]byte(nil), val...)
	return nil
}

// Load returns an object, or router.ErrMissing. The caller must not modify it.
func (obj *Objects) Load(_ context.Context, key string) (val []byte, err error) {
	obj.mut.Lock()
	defer obj.mut.Unlock()
	val, fnd := obj.vals[key]
	if !fnd {
		return nil, router.ErrMissing
	}
	return val, nil
}
