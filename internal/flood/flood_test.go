package flood

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/platform/mock"
)

const (
	// envRun is the environment variable without which the tests do not run; see the package documentation.
	envRun = "HORNBEAMDYKE_FLOOD"
	// memoryMebibytes and fileDescriptors are the settings of the node and the bounds of the tests. The heap of an idle node and
	// the Go runtime take a small part of that memory; 200 descriptors are reserved for files.
	memoryMebibytes = 64
	fileDescriptors = 300
	// hangTime is the time after which a node that does not answer an ordinary request hangs.
	hangTime = time.Minute
	// bodyCallers is the number of callers that send bodies, 200 MiB together, and headCallers the number of those
	// that send headers.
	bodyCallers = 50
	headCallers = 400
	// answerBytes is the size of a large answer. A buffer that doubles as it grows takes about twice as much for it.
	answerBytes = 2<<20 + 128<<10
)

// upstreamID is the ID of the upstream.
const upstreamID = "u-0"

// binary is the path of the executable under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) (code int) {
	if os.Getenv(envRun) == "" {
		fmt.Printf("%s is not set: no test of this package runs\n", envRun)
		return 0
	}
	dir, err := os.MkdirTemp("", "flood")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "hornbeamdyke")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/hornbeamdyke").CombinedOutput(); err != nil {
		fmt.Printf("build: %s: %s\n", err, out)
		return 1
	}
	return m.Run()
}

// startNode starts a node that answers an ordinary request.
func startNode(t *testing.T) (nod *Node) {
	t.Helper()
	return startNodeWith(t, fileDescriptors, &mock.LargeUpstream{Upstream: mock.NewUpstream(upstreamID), Bytes: answerBytes, Delay: 200 * time.Millisecond})
}

// startNodeWith starts a node with a number of descriptors and an upstream, whose ID is upstreamID.
func startNodeWith(t *testing.T, descriptors int, ups http.Handler) (nod *Node) {
	t.Helper()
	nod, err := Start(Options{
		Binary: binary, Dir: t.TempDir(), MemoryMebibytes: memoryMebibytes, FileDescriptors: descriptors,
		Upstream: ups, UpstreamID: upstreamID,
	})
	t.Cleanup(nod.Stop)
	if err != nil {
		t.Fatal(err)
	}
	if !answers(t, nod, "before") {
		t.Fatalf("the node does not start: %s", nod.LogEnd())
	}
	return nod
}

// play runs a crowd against a node and checks the bounds.
func play(t *testing.T, crw crowd) {
	t.Helper()
	playOn(t, startNode(t), fileDescriptors, crw)
}

// playOn is play on a node that was started with a number of descriptors.
func playOn(t *testing.T, nod *Node, descriptors int, crw crowd) {
	t.Helper()
	idle := nod.Peak()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	crw.start(ctx, nod.Address)()
	if !answers(t, nod, "after") {
		t.Errorf("no ordinary request is answered afterwards")
	}
	peak := nod.Peak()
	t.Logf("memory %d MiB, %d before the load; descriptors %d", peak.Bytes>>20, idle.Bytes>>20, peak.Descriptors)
	if !nod.Alive() {
		t.Errorf("the process ended: %s", nod.LogEnd())
	}
	if peak.Bytes > memoryMebibytes<<20 {
		t.Errorf("the process takes %d MiB of %d", peak.Bytes>>20, memoryMebibytes)
	}
	if peak.Descriptors > descriptors {
		t.Errorf("the process has %d descriptors of %d", peak.Descriptors, descriptors)
	}
}

// answers reports whether the node answers an ordinary request. The caller repeats it after a refusal or a closed connection.
func answers(t *testing.T, nod *Node, name string) bool {
	t.Helper()
	cli := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	for num, end := 0, time.Now().Add(hangTime); time.Now().Before(end) && nod.Alive(); num++ {
		req, err := mock.NewRequest(t.Context(), nod.Address, "lookup", name+"-"+strconv.Itoa(num), 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		rsp, err := cli.Do(req)
		if err != nil {
			timer.Sleep(t.Context(), 100*time.Millisecond)
			continue
		}
		txt, err := io.ReadAll(rsp.Body)
		_ = rsp.Body.Close()
		if err == nil && rsp.StatusCode == http.StatusOK && string(txt) == mock.AnswerBody(name+"-"+strconv.Itoa(num)) {
			return true
		}
		after, _ := strconv.ParseFloat(rsp.Header.Get("Retry-After"), 64)
		timer.Sleep(t.Context(), max(100*time.Millisecond, time.Duration(after*float64(time.Second))))
	}
	return false
}

// TestLargeHeaders guards against headers just below the limit of bytes whose many short fields take a multiple of it in memory,
// on more connections than the node has descriptors for.
func TestLargeHeaders(t *testing.T) {
	play(t, crowd{size: headCallers, send: sendFields(60 << 10)})
}

// TestHeadersWithoutEnd guards against headers that go on for as long as the node reads them.
func TestHeadersWithoutEnd(t *testing.T) {
	play(t, crowd{size: headCallers, send: sendFields(1 << 30), read: true})
}

// TestEmptyLinesWithoutEnd guards against callers that send empty lines in place of a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	play(t, crowd{size: headCallers, send: sendLines})
}

// TestWholeBodies guards against many bodies of the highest legal size at once, complete.
func TestWholeBodies(t *testing.T) {
	play(t, crowd{size: bodyCallers, send: sendBody(maxBodyBytes, 0), read: true})
}

// TestBodiesInPieces guards against many bodies that arrive piece by piece and stop just short of their end.
func TestBodiesInPieces(t *testing.T) {
	play(t, crowd{size: bodyCallers, send: sendBody(32<<10, bodyShort)})
}

// TestLargeChunks guards against chunked bodies, of unknown length, that stop just short of their end.
func TestLargeChunks(t *testing.T) {
	play(t, crowd{size: bodyCallers, send: sendChunks(64 << 10)})
}

// TestSmallChunks guards against chunked bodies in chunks of a few bytes, which cost a multiple of their length to read.
func TestSmallChunks(t *testing.T) {
	play(t, crowd{size: bodyCallers, send: sendChunks(4)})
}

// TestUnreadAnswers guards against callers that do not read large answers, which the node holds for them.
func TestUnreadAnswers(t *testing.T) {
	play(t, crowd{size: bodyCallers, send: sendLarge})
}

// TestOneLargeBody guards against limits that a single request of the highest legal size meets, with its length and without.
func TestOneLargeBody(t *testing.T) {
	cases := map[string]int64{"length": maxBodyBytes, "chunked": -1}
	for name, length := range cases {
		t.Run(name, func(t *testing.T) {
			nod := startNode(t)
			req, err := mock.NewRequest(t.Context(), nod.Address, "order", name, hangTime)
			if err != nil {
				t.Fatal(err)
			}
			req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), length
			rsp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: hangTime}).Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer rsp.Body.Close()
			if rsp.StatusCode != http.StatusOK {
				t.Errorf("status %d: %s", rsp.StatusCode, nod.LogEnd())
			}
		})
	}
}
