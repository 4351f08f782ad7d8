package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/logs"
)

// gate is a reader that does not read until it is opened.
type gate struct {
	open chan struct{}
	mut  sync.Mutex
	buf  bytes.Buffer
}

func (gat *gate) Write(txt []byte) (int, error) {
	<-gat.open
	gat.mut.Lock()
	defer gat.mut.Unlock()
	return gat.buf.Write(txt)
}

func TestSinkNeverBlocks(t *testing.T) {
	gat := &gate{open: make(chan struct{})}
	snk := logs.NewSink(gat)
	const lines = 10000
	for range lines {
		if _, err := snk.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if snk.Dropped() == 0 {
		t.Error("nothing was dropped though nobody reads")
	}
	close(gat.open)
	for snk.Dropped() > 0 {
		_ = snk.Close()
	}
	gat.mut.Lock()
	defer gat.mut.Unlock()
	if !strings.Contains(gat.buf.String(), "log lines dropped") {
		t.Error("the dropped lines are not reported")
	}
}
