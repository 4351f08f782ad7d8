package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBuffered is the number of lines that can wait to be written. With lines of usual length,
	// these take at most 1 MB.
	maxBuffered = 2048
	// dropPeriod is how often dropped lines are reported.
	dropPeriod = time.Second
	// closeTimeout bounds how long Close waits for the buffer to be written.
	closeTimeout = 200 * time.Millisecond
)

// Sink is an io.WriteCloser that buffers lines and writes them to out from a goroutine of its own. It
// drops lines while its buffer is full. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}
}

// NewSink returns a Sink that writes to out, and starts its goroutine.
func NewSink(out io.Writer) *Sink {
	snk := &Sink{out: out, lines: make(chan []byte, maxBuffered), done: make(chan struct{}), stop: make(chan struct{})}
	go snk.run()
	return snk
}

// Write buffers a copy of one line, or drops it when the buffer is full. It never blocks and never
// returns an error.
func (snk *Sink) Write(txt []byte) (num int, err error) {
	select {
	case snk.lines <- append([]byte(nil), txt...):
	default:
		snk.dropped.Add(1)
	}
	return len(txt), nil
}

// Dropped returns the number of lines dropped since the last report of dropped lines.
func (snk *Sink) Dropped() int64 {
	return snk.dropped.Load()
}

// Close writes the buffered lines and stops the goroutine. It gives up after closeTimeout when out
// blocks, and always returns nil.
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
	tck := time.NewTicker(dropPeriod)
	defer tck.Stop()
	for {
		select {
		case lin := <-snk.lines:
			_, _ = snk.out.Write(lin)
		case <-tck.C:
			snk.report()
		case <-snk.stop:
			snk.drain()
			return
		}
	}
}

// drain writes the buffered lines and a last report.
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

// report writes a log line with the number of dropped lines and resets it.
func (snk *Sink) report() {
	if num := snk.dropped.Swap(0); num > 0 {
		fmt.Fprintf(snk.out, "{\"Time\":%q,\"Level\":\"WARN\",\"Message\":\"log lines dropped\",\"Lines\":%d}\n",
			time.Now().UTC().Format(time.RFC3339Nano), num)
	}
}
