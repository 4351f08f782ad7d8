package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sinkLines bounds the lines that wait to be written; at most a megabyte with lines of usual length.
	sinkLines = 2048
	// dropPeriod is how often dropped lines are reported.
	dropPeriod = time.Second
	// closeTimeout is how long Close waits for a reader that does not read.
	closeTimeout = 200 * time.Millisecond
)

// Sink writes lines on a goroutine of its own and drops what its reader does not take in time.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}
}

// NewSink returns a Sink before out.
func NewSink(out io.Writer) *Sink {
	snk := &Sink{out: out, lines: make(chan []byte, sinkLines), done: make(chan struct{}), stop: make(chan struct{})}
	go snk.run()
	return snk
}

// Write takes a line; it never blocks and never fails.
func (snk *Sink) Write(txt []byte) (num int, err error) {
	select {
	case snk.lines <- append([]byte(nil), txt...):
	default:
		snk.dropped.Add(1)
	}
	return len(txt), nil
}

// Dropped returns the number of lines dropped and not reported yet.
func (snk *Sink) Dropped() int64 {
	return snk.dropped.Load()
}

// Close writes what waits, unless the reader does not read.
func (snk *Sink) Close() (err error) {
	snk.once.Do(func() { close(snk.stop) })
	select {
	case <-snk.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

func (snk *Sink) run() {
	defer close(snk.done)
	tic := time.NewTicker(dropPeriod)
	defer tic.Stop()
	for {
		select {
		case lin := <-snk.lines:
			_, _ = snk.out.Write(lin)
		case <-tic.C:
			snk.report()
		case <-snk.stop:
			snk.drain()
			return
		}
	}
}

func (snk *Sink) drain() {
	for {
		select {
		case lin := <-snk.lines:
			_, _ = snk.out.Write(lin)
		default:
			snk.report()
			return
		}
	}
}

// report writes how many lines were dropped.
func (snk *Sink) report() {
	if num := snk.dropped.Swap(0); num > 0 {
		fmt.Fprintf(snk.out, "{\"Time\":%q,\"Level\":\"WARN\",\"Message\":\"log lines dropped\",\"Lines\":%d}\n",
			time.Now().UTC().Format(time.RFC3339Nano), num)
	}
}
