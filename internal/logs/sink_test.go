package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/logs"
)

// blockedWriter blocks writes until open is closed.
type blockedWriter struct {
	open chan struct{}
	mut  sync.Mutex
	buf  bytes.Buffer
}

func (bwr *blockedWriter) Write(txt []byte) (int, error) {
	<-bwr.open
	bwr.mut.Lock()
	defer bwr.mut.Unlock()
	return bwr.buf.Write(txt)
}

// A stalled reader of the log must not block callers of Write: lines are dropped, and the number of
// dropped lines is reported once the reader resumes.
func TestSinkDropsLinesOfStalledReader(t *testing.T) {
	bwr := &blockedWriter{open: make(chan struct{})}
	snk := logs.NewSink(bwr)
	const lines = 10000
	for range lines {
		if _, err := snk.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if snk.Dropped() == 0 {
		t.Error("no line was dropped although the writer is blocked")
	}
	close(bwr.open)
	for snk.Dropped() > 0 {
		_ = snk.Close()
	}
	bwr.mut.Lock()
	defer bwr.mut.Unlock()
	if !strings.Contains(bwr.buf.String(), "log lines dropped") {
		t.Error("the dropped lines are not reported")
	}
}
