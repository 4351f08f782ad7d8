package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and executed to a file.
type record struct {
	started time.Time

	mut   sync.Mutex
	file  *os.File
	lines []recordLine
}

// recordLine is a line with the time since the start.
type recordLine struct {
	at  time.Duration
	txt string
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
	lin := recordLine{at: at.Sub(rec.started)}
	lin.txt = fmt.Sprintf("%8.3f  %s\n", lin.at.Seconds(), fmt.Sprintf(format, args...))
	rec.lines = append(rec.lines, lin)
	_, _ = rec.file.WriteString(lin.txt)
}

// close writes all lines again, ordered by time.
func (rec *record) close() {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	slices.SortStableFunc(rec.lines, func(one, two recordLine) int { return int(one.at - two.at) })
	var txt strings.Builder
	for _, lin := range rec.lines {
		txt.WriteString(lin.txt)
	}
	_, _ = rec.file.WriteAt([]byte(txt.String()), 0)
	_ = rec.file.Close()
}
