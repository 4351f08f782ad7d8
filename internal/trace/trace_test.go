package trace_test

import (
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/trace"
)

func logLine(second int, node, rest string) string {
	return fmt.Sprintf(`{"Time":"2026-01-01T00:00:%02dZ","Node":%q,%s}`, second, node, rest) + "\n"
}

// TestExplainFollowsRequestAcrossNodes guards against state that is missing for a node other than the first, that comes from
// an unrelated node, or that is newer than the node's last decision. The logs lie in a directory, partly compressed.
func TestExplainFollowsRequestAcrossNodes(t *testing.T) {
	dir := t.TempDir()
	one := logLine(1, "a", `"Message":"manifest applied","Version":1`) +
		logLine(2, "a", `"Message":"send failed","Request":"r1","Upstream":"u1"`) +
		logLine(3, "a", `"Message":"manifest applied","Version":2`)
	two := strings.Repeat("x", 3<<20) + "\n" +
		logLine(1, "b", `"Message":"manifest applied","Version":7`) +
		logLine(4, "b", `"Message":"request done","Request":"r1","Upstream":"u2"`) +
		logLine(1, "c", `"Message":"manifest applied","Version":9`)
	if err := os.Mkdir(filepath.Join(dir, "sub"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "one.log"), []byte(one), 0o600); err != nil {
		t.Fatal(err)
	}
	fil, err := os.Create(filepath.Join(dir, "sub", "two.log.gz"))
	if err != nil {
		t.Fatal(err)
	}
	zip := gzip.NewWriter(fil)
	if _, err := io.WriteString(zip, two); err != nil {
		t.Fatal(err)
	}
	if err := zip.Close(); err != nil {
		t.Fatal(err)
	}
	if err := fil.Close(); err != nil {
		t.Fatal(err)
	}
	logs, err := trace.FindLogs(dir)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := trace.Explain(&out, "r1", logs...); err != nil {
		t.Fatal(err)
	}
	want := "before   " + logLine(1, "a", `"Message":"manifest applied","Version":1`) +
		"before   " + logLine(1, "b", `"Message":"manifest applied","Version":7`) +
		"decision " + logLine(2, "a", `"Message":"send failed","Request":"r1","Upstream":"u1"`) +
		"decision " + logLine(4, "b", `"Message":"request done","Request":"r1","Upstream":"u2"`)
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

// TestExplainOrdersLinesOfTheSameTime guards against an order of lines that differs from run to run when several have the same
// time: they are ordered by node, and those of one node as they were logged.
func TestExplainOrdersLinesOfTheSameTime(t *testing.T) {
	var one, two, want string
	for num := range 8 {
		one += logLine(1, "a", fmt.Sprintf(`"Message":"state %d"`, 7-num))
		two += logLine(1, "b", fmt.Sprintf(`"Message":"state %d"`, num))
	}
	for _, lin := range strings.SplitAfter(strings.TrimSuffix(one+two, "\n"), "\n") {
		want += "before   " + strings.TrimSuffix(lin, "\n") + "\n"
	}
	done := logLine(1, "a", `"Message":"request done","Request":"r1"`) + logLine(1, "b", `"Message":"request done","Request":"r1"`)
	for _, lin := range strings.SplitAfter(strings.TrimSuffix(done, "\n"), "\n") {
		want += "decision " + strings.TrimSuffix(lin, "\n") + "\n"
	}
	open := func(txt string) func() (io.ReadCloser, error) {
		return func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(txt)), nil }
	}
	last := strings.SplitAfter(done, "\n")
	logs := []trace.Log{{Name: "two", Open: open(two + last[1])}, {Name: "one", Open: open(one + last[0])}}
	for range 20 {
		var out strings.Builder
		if err := trace.Explain(&out, "r1", logs...); err != nil {
			t.Fatal(err)
		}
		if out.String() != want {
			t.Fatalf("got\n%swant\n%s", out.String(), want)
		}
	}
}

// repeated is a log of many lines that is generated while it is read.
type repeated struct {
	line string
	left int
	rest string
}

func (rep *repeated) Read(buf []byte) (num int, err error) {
	for rep.rest == "" {
		if rep.left == 0 {
			return 0, io.EOF
		}
		rep.left--
		rep.rest = rep.line
	}
	num = copy(buf, rep.rest)
	rep.rest = rep.rest[num:]
	return num, nil
}

// TestExplainNeedsLittleMemory guards against memory that grows with the logs.
func TestExplainNeedsLittleMemory(t *testing.T) {
	const lines, limit = 200_000, 16 << 20
	filler := logLine(1, "a", `"Message":"request done","Request":"other","Text":"`+strings.Repeat("x", 300)+`"`)
	log := trace.Log{Name: "generated", Open: func() (io.ReadCloser, error) {
		last := strings.NewReader(logLine(2, "a", `"Message":"request done","Request":"r1"`))
		return io.NopCloser(io.MultiReader(&repeated{line: filler, left: lines}, last)), nil
	}}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	if err := trace.Explain(io.Discard, "r1", log); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapSys) - int64(before.HeapSys); grown > limit {
		t.Errorf("%d bytes of logs took %d bytes of memory", lines*len(filler), grown)
	}
}
