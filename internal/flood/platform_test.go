package flood

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/mesh"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
	plat "github.com/hornbeamdyke/hornbeamdyke/platform"
	"github.com/hornbeamdyke/hornbeamdyke/platform/mock"
)

// endlessReads are answers without end to calls that read JSON.
var endlessReads = map[string]*fakes.EndlessAnswer{
	"no answer":     {Start: "", Text: "\x01\x02", Fast: forever},
	"one field":     {Start: okLine + "Long: ", Text: "x", Fast: forever},
	"many fields":   {Start: okLine + shortFields(8<<20), Text: "x", Fast: 0},
	"informational": {Start: "", Text: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", Fast: forever},
	"blanks":        {Start: okLine + "\r\n", Text: " ", Fast: forever},
	"rows":          {Start: okLine + "\r\n{\"rows\":[{}", Text: `,{"key":"k"}`, Fast: forever},
	"entries":       {Start: okLine + "\r\n[{}", Text: `,{"targets":[]}`, Fast: forever},
	"chunks":        {Start: okLine + chunked, Text: kilobyte, Fast: forever},
}

// TestEndlessStore guards against a store in trouble whose answers do not end.
func TestEndlessStore(t *testing.T) {
	for name, ans := range endlessReads {
		t.Run(name, func(t *testing.T) { playStore(t, ans) })
	}
}

// playStore plays a store that answers in this way for some time.
func playStore(t *testing.T, ans *fakes.EndlessAnswer) {
	t.Helper()
	var broken atomic.Bool
	nod, err := Start(Options{
		Binary: binary, Dir: t.TempDir(), MemoryMebibytes: memoryMebibytes, FileDescriptors: fileDescriptors,
		Upstream: mock.NewUpstream(upstreamID), UpstreamID: upstreamID,
		WrapStore: func(store http.Handler) http.Handler {
			return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
				if broken.Load() {
					ans.ServeHTTP(wri, req)
					return
				}
				store.ServeHTTP(wri, req)
			})
		},
	})
	t.Cleanup(nod.Stop)
	if err != nil {
		t.Fatal(err)
	}
	if !answers(t, nod, "before") {
		t.Fatalf("the node does not start: %s", nod.LogEnd())
	}
	broken.Store(true)
	timer.Sleep(t.Context(), endlessTime)
	broken.Store(false)
	checkLives(t, nod, answers(t, nod, "after"))
	t.Logf("%d KiB were sent", ans.Sent.Load()>>10)
}

// checkLives checks that the process lives and that its memory is within the bound.
func checkLives(t *testing.T, nod *Node, answered bool) {
	t.Helper()
	if !answered {
		t.Error("no ordinary request is answered afterwards")
	}
	peak := nod.Peak()
	t.Logf("memory %d MiB", peak.Bytes>>20)
	if !nod.Alive() {
		t.Errorf("the process ended: %s", nod.LogEnd())
	}
	if peak.Bytes > memoryMebibytes<<20 {
		t.Errorf("the process takes %d MiB of %d", peak.Bytes>>20, memoryMebibytes)
	}
}

// TestEndlessList guards against a list of VMs that does not end.
func TestEndlessList(t *testing.T) {
	for name, ans := range endlessReads {
		t.Run(name, func(t *testing.T) { playList(t, ans) })
	}
}

// playList plays a list of VMs that is answered in this way.
func playList(t *testing.T, ans *fakes.EndlessAnswer) {
	t.Helper()
	han := http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) { fmt.Fprint(wri, "stock") })
	nod, err := StartProduct(ProductOptions{
		Binary: binary, Dir: t.TempDir(), Engine: han, Service: han, List: ans, Slots: productSlots, AnswerBytes: productAnswerBytes,
	})
	t.Cleanup(nod.Stop)
	if err != nil {
		t.Fatal(err)
	}
	timer.Sleep(t.Context(), endlessTime)
	checkLives(t, nod, answersLookup(t.Context(), nod))
	if ans.Sent.Load() == 0 && ans.Fast > 0 {
		t.Error("the list was not read")
	}
}

// peerLoad is the load of a peer without any.
type peerLoad struct{}

func (peerLoad) AddLocal(*wire.Digest)          {}
func (peerLoad) SetPeer(*wire.Digest)           {}
func (peerLoad) AddStrikes([]*wire.CrashStrike) {}
func (peerLoad) History() []*wire.CrashStrike   { return nil }
func (peerLoad) RemovePeer(string)              {}

// startPeer starts a peer of a node whose digests state newer copies of all records, and which answers the requests for these.
func startPeer(t *testing.T, nod *Node, copies http.Handler) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.77.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: copies, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(lis) }()
	t.Cleanup(func() { _ = srv.Close() })
	log := slog.New(slog.DiscardHandler)
	opt := mesh.Options{
		Self:   router.Member{Name: "n-1", Address: lis.Addr().String(), FailureDomain: "here"},
		Timers: timer.Real{}, Log: log, Source: plat.NewStore(nod.Store), Codec: plat.Codec{}, Load: peerLoad{},
		Copies: make(map[router.RecordKind]*follow.Follower), Regions: map[string]string{"here": "home"},
	}
	for _, knd := range []router.RecordKind{router.Manifests, router.Instances} {
		fol := follow.New(follow.Options{Source: plat.NewStore(nod.Store), Kind: knd, Log: log, Apply: func(follow.Update) {}})
		fol.MergePeer(router.Changes{Era: 1, Version: 1 << 30, Snapshot: true, Records: []router.Record{{Key: "k", Value: []byte("{}"), Version: 1 << 30}}})
		opt.Copies[knd] = fol
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = mesh.New(opt).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// TestEndlessPeer guards against a peer in trouble whose copies of records do not end.
func TestEndlessPeer(t *testing.T) {
	record := strings.Repeat("\x12\x05\x0a\x03key", 100)
	cases := map[string]*fakes.EndlessAnswer{
		"records": {Start: okLine + "\r\n", Text: record, Fast: forever},
		"fields":  endlessReads["many fields"],
		"field":   endlessReads["one field"],
		"blanks":  endlessReads["blanks"],
	}
	for name, ans := range cases {
		t.Run(name, func(t *testing.T) { playPeer(t, ans) })
	}
}

// playPeer plays a peer whose copies are answered in this way.
func playPeer(t *testing.T, ans *fakes.EndlessAnswer) {
	t.Helper()
	nod := startNode(t)
	startPeer(t, nod, ans)
	before := ans.Sent.Load()
	timer.Sleep(t.Context(), endlessTime+2*time.Second)
	checkLives(t, nod, answers(t, nod, "after"))
	if ans.Sent.Load() == before && ans.Fast > 0 {
		t.Errorf("no copy was fetched: %s", nod.LogEnd())
	}
}

// complete returns an answer of a size that has its length and ends: begin, then text again and again, then end.
func complete(size int, begin, text, end string) *fakes.EndlessAnswer {
	num := (size - len(begin) - len(end)) / len(text)
	length := len(begin) + num*len(text) + len(end)
	return &fakes.EndlessAnswer{
		Start: okLine + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n" + begin + strings.Repeat(text, num) + end,
		Text:  "\n",
	}
}

// TestManyRecords guards against answers that are within their limit, but take many times their size when they are decoded.
func TestManyRecords(t *testing.T) {
	const mebibyte = 1 << 20
	t.Run("store", func(t *testing.T) {
		playStore(t, complete(4*mebibyte-1, `{"rowVersion":"9","rows":[{}`, `,{}`, `]}`))
	})
	t.Run("list", func(t *testing.T) {
		playList(t, complete(4*mebibyte-1, `[{}`, `,{}`, `]`))
	})
	t.Run("peer", func(t *testing.T) {
		playPeer(t, complete(8*mebibyte-1, "", "\x12\x00", ""))
	})
}
