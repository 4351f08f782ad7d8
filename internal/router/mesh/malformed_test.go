package mesh

import (
	"bytes"
	"compress/gzip"
	"log/slog"
	"strconv"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// fetchCopy fetches a copy from a peer that sends head and then a copy with one record. In head, {LENGTH} is the length of the copy. It
// returns the number of records that were merged.
func fetchCopy(t *testing.T, statusLine, fields, ending string) (merged int, err error) {
	t.Helper()
	body, err := proto.Marshal(&wire.Copy{Version: 4, Whole: true, Records: []*wire.CopiedRecord{{Key: "k", Value: []byte("v"), Version: 4}}})
	if err != nil {
		t.Fatal(err)
	}
	head := statusLine + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n" + fields + "\r\n"
	scr := fakes.NewScriptedServer(t, head+string(body)+ending)
	fol := follow.New(follow.Options{
		Source: fakes.NewRecordStore(), Kind: router.Instances, Log: slog.New(slog.DiscardHandler),
		Apply:    func(upd follow.Update) { merged += len(upd.Changed) },
		UsePeers: func() bool { return true },
	})
	cop := &copier{kind: router.Instances, follower: fol, transport: peerTransport}
	_, err = cop.fetch(t.Context(), scr.Address)
	return merged, err
}

// checkNoCopy checks that a peer's malformed answer is an error, and that nothing of it is merged.
func checkNoCopy(t *testing.T, statusLine, fields string) {
	t.Helper()
	if merged, err := fetchCopy(t, statusLine, fields, ""); err == nil || merged > 0 {
		t.Errorf("%d records were merged, error %v", merged, err)
	}
}

// TestSoundCopy guards against a stand-in whose answer fails for another reason than its malformed head.
func TestSoundCopy(t *testing.T) {
	if merged, err := fetchCopy(t, "HTTP/1.1 200 OK", "Content-Type: a\r\n", ""); err != nil || merged != 1 {
		t.Errorf("%d records were merged, error %v", merged, err)
	}
}

// TestInvalidStatusOfPeer guards against a peer's answer whose status is none, such as 000.
func TestInvalidStatusOfPeer(t *testing.T) {
	for name, line := range fakes.InvalidStatusLines() {
		t.Run(name, func(t *testing.T) { checkNoCopy(t, line, "") })
	}
}

// TestInvalidFieldOfPeer guards against a peer's answer with a malformed field.
func TestInvalidFieldOfPeer(t *testing.T) {
	for name, line := range fakes.InvalidFields() {
		t.Run(name, func(t *testing.T) { checkNoCopy(t, "HTTP/1.1 200 OK", line) })
	}
}

// TestEndlessCopy guards against a peer's answer that is read as long as it goes on, also one that is long only when it is decompressed,
// and against the begin of a copy that counts as all of it.
func TestEndlessCopy(t *testing.T) {
	const limit = 256 << 20
	// Any number of messages may follow each other. One of 1 KiB ends just where the limit of a copy is reached.
	var record []byte
	for size := 900; len(record) < 1<<10; size++ {
		var err error
		record, err = proto.Marshal(&wire.Copy{Version: 4, Whole: true, Records: []*wire.CopiedRecord{{Key: "k", Value: make([]byte, size), Version: 4}}})
		if err != nil {
			t.Fatal(err)
		}
	}
	var packed bytes.Buffer
	zip := gzip.NewWriter(&packed)
	for range 64 << 10 {
		if _, err := zip.Write(record); err != nil {
			t.Fatal(err)
		}
	}
	if err := zip.Close(); err != nil {
		t.Fatal(err)
	}
	const okHead = "HTTP/1.1 200 OK\r\n"
	cases := map[string]fakes.Repetition{
		"records":            {Start: okHead + "\r\n", Text: strings.Repeat(string(record), 16)},
		"compressed records": {Start: okHead + "Content-Encoding: gzip\r\n\r\n" + packed.String(), Text: "x"},
		"fields":             {Start: okHead, Text: "Odd: a\r\n"},
	}
	for name, rep := range cases {
		t.Run(name, func(t *testing.T) {
			rep.Limit = limit
			srv := fakes.NewEndlessServer(t, rep)
			merged := 0
			fol := follow.New(follow.Options{
				Source: fakes.NewRecordStore(), Kind: router.Instances, Log: slog.New(slog.DiscardHandler),
				Apply:    func(upd follow.Update) { merged += len(upd.Changed) },
				UsePeers: func() bool { return true },
			})
			cop := &copier{kind: router.Instances, follower: fol, transport: peerTransport}
			if _, err := cop.fetch(t.Context(), srv.Address); err == nil || merged > 0 {
				t.Errorf("%d records were merged, error %v", merged, err)
			}
			if got := srv.Sent.Load(); got >= limit {
				t.Errorf("%d bytes were read", got)
			}
		})
	}
}
