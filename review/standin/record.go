package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and executed to a file.
type record struct {
	started time.Time

	mut  sync.Mutex
	file *os.File
}

func newRecord(path string) (rec *record, err error) {
	fil, err := os.Create(path)
	return &record{started: time.Now(), file: fil}, err
}

// add writes a line with the time since the start in seconds.
func (rec *record) add(format string, args ...any) {
	rec.addAt(time.Now(), format, args...)
}

func (rec *record) addAt(at time.Time, format string, args ...any) {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	fmt.Fprintf(rec.file, "%8.3f  %s\n", at.Sub(rec.started).Seconds(), fmt.Sprintf(format, args...))
}
