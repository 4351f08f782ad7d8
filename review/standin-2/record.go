package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes what was sent, answered and run, with the seconds since its start.
type Recorder struct {
	began time.Time

	mut    sync.Mutex
	file   *os.File
	out    *bufio.Writer
	broken []string
}

// NewRecorder creates the record file.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Line writes a line.
func (rec *Recorder) Line(format string, args ...any) {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	if rec.out != nil {
		fmt.Fprintf(rec.out, "%8.3f %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Break records that a rule was broken.
func (rec *Recorder) Break(format string, args ...any) {
	txt := fmt.Sprintf(format, args...)
	rec.mut.Lock()
	rec.broken = append(rec.broken, txt)
	rec.mut.Unlock()
	rec.Line("BROKEN %s", txt)
}

// Broken returns what was broken so far.
func (rec *Recorder) Broken() []string {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	return append([]string(nil), rec.broken...)
}

// Close writes the rest.
func (rec *Recorder) Close() {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	if rec.out != nil {
		_ = rec.out.Flush()
		_ = rec.file.Close()
		rec.out = nil
	}
}
