package memtab

import (
	"context"
	"sync"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Table is an in-memory router.Table. It is safe for concurrent use and never expires rows.
type Table struct {
	mut  sync.Mutex
	rows map[string]router.Row
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{rows: make(map[string]router.Row)}
}

// Get returns the row, or router.ErrMissing.
func (tab *Table) Get(_ context.Context, key string) (row router.Row, err error) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	row, fnd := tab.rows[key]
	if !fnd {
		return router.Row{}, router.ErrMissing
	}
	return row, nil
}

// Put applies all writes, or applies none and returns router.ErrCondition.
func (tab *Table) Put(_ context.Context, wrs ...router.Write) (err error) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	for _, wrt := range wrs {
		if tab.rows[wrt.Row.Key].Version != wrt.IfVersion {
			return router.ErrCondition
		}
	}
	for _, wrt := range wrs {
		tab.rows[wrt.Row.Key] = wrt.Row
	}
	return nil
}

// Len returns the number of rows.
func (tab *Table) Len() int {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	return len(tab.rows)
}
