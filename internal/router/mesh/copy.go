package mesh

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// copyPath is where a node serves its copies to peers.
	copyPath = "/v1/copies/"
	// afterField names the version after which a peer wants changes; 0 asks for everything.
	afterField = "After"
	// copyDial limits connecting to a peer, and copyTimeout fetching its copy over a narrow link.
	copyDial    = time.Second
	copyTimeout = 4 * time.Second
	// copyBytes bounds a peer's copy.
	copyBytes = 16 << 20
	// copyPause is the least time between two fetches of one kind.
	copyPause = 300 * time.Millisecond
	// lagAllowed is how long a peer's copy may be newer before the own feed counts as silent; feeds batch changes for less.
	lagAllowed = 800 * time.Millisecond
)

// copier fetches peers' copies of one kind of record.
type copier struct {
	kind     router.RecordKind
	follower *follow.Follower

	mut sync.Mutex
	// seen is the newest version that any peer told, and behind since when it is newer than the own one.
	seen   int64
	behind time.Time
	busy   bool
	last   time.Time

	packing sync.Mutex
	// pack is what was compressed last: the changes after packAfter as of packVersion; nil before anyone asked.
	pack                   []byte
	packVersion, packAfter int64
}

var client = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: copyDial}).DialContext,
	MaxIdleConnsPerHost: 1,
	IdleConnTimeout:     5 * time.Second,
}}

// catchUp fetches a peer's copies that are newer, where the own feed does not bring them.
func (msh *Mesh) catchUp(ctx context.Context, dig *wire.Digest) {
	for _, cop := range msh.copiers {
		newer := dig.GetVersions()[string(cop.kind)]
		near := dig.GetFailureDomain() == msh.options.Self.FailureDomain
		if !cop.wants(newer, near, msh.options.Timers.Now()) {
			continue
		}
		go func() {
			defer cop.done(msh.options.Timers.Now())
			num, err := cop.fetch(ctx, dig.GetAddress())
			if err != nil {
				msh.options.Log.Info("copy not fetched", "Kind", cop.kind, "Peer", dig.GetNode(), "Error", err.Error())
				return
			}
			msh.options.Log.Info("copy fetched from peer", "Kind", cop.kind, "Peer", dig.GetNode(), "Version", newer, "Records", num)
		}()
	}
}

// wants reports whether a peer's version should be fetched now; peers in other failure domains are asked only when near ones do not have it.
func (cop *copier) wants(newer int64, near bool, now time.Time) bool {
	cop.mut.Lock()
	defer cop.mut.Unlock()
	own := cop.follower.Newest()
	cop.seen = max(cop.seen, newer)
	if own >= cop.seen {
		cop.behind = time.Time{}
	}
	if newer <= own {
		return false
	}
	if cop.behind.IsZero() {
		cop.behind = now
	}
	expected := cop.follower.Relays() || cop.follower.Failing() > 0
	silent := near && expected || now.Sub(cop.behind) > lagAllowed
	if !silent || cop.busy || now.Sub(cop.last) < copyPause {
		return false
	}
	cop.busy = true
	return true
}

func (cop *copier) done(now time.Time) {
	cop.mut.Lock()
	defer cop.mut.Unlock()
	cop.busy, cop.last, cop.behind = false, now, time.Time{}
}

func (cop *copier) fetch(ctx context.Context, address string) (num int, err error) {
	defer fault.Annotate(&err, "fetch copy")
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s%s?%s=%d", address, copyPath, cop.kind, afterField, cop.follower.Newest()), nil)
	if err != nil {
		return 0, err
	}
	rsp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer rsp.Body.Close()
	txt, err := io.ReadAll(io.LimitReader(rsp.Body, copyBytes))
	if err != nil {
		return 0, err
	}
	var msg wire.Copy
	if err := proto.Unmarshal(txt, &msg); err != nil {
		return 0, err
	}
	if rsp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("status %d", rsp.StatusCode)
	}
	chs := router.Changes{Version: msg.GetVersion(), Snapshot: msg.GetWhole(), AfterOutage: msg.GetAfterOutage()}
	for _, rec := range msg.GetRecords() {
		chs.Records = append(chs.Records, router.Record{Key: rec.GetKey(), Value: rec.GetValue(), Version: rec.GetVersion(), Deleted: rec.GetDeleted()})
	}
	cop.follower.Offer(chs)
	return len(chs.Records), nil
}

// Handler serves this node's copies to peers.
func (msh *Mesh) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, cop := range msh.copiers {
		mux.HandleFunc("GET "+copyPath+string(cop.kind), func(wri http.ResponseWriter, req *http.Request) {
			after, err := strconv.ParseInt(req.FormValue(afterField), 10, 64)
			if err != nil {
				http.Error(wri, err.Error(), http.StatusBadRequest)
				return
			}
			txt, err := cop.packed(after)
			if err != nil {
				http.Error(wri, err.Error(), http.StatusInternalServerError)
				return
			}
			if !strings.Contains(req.Header.Get("Accept-Encoding"), "gzip") {
				http.Error(wri, "gzip must be accepted", http.StatusNotAcceptable)
				return
			}
			wri.Header().Set("Content-Encoding", "gzip")
			_, _ = wri.Write(txt)
		})
	}
	return mux
}

// packed returns what changed after a version, marshalled and compressed; many peers ask for the same at once.
func (cop *copier) packed(after int64) (txt []byte, err error) {
	defer fault.Annotate(&err, "pack copy")
	cop.packing.Lock()
	defer cop.packing.Unlock()
	newest := cop.follower.Newest()
	if cop.pack != nil && cop.packVersion == newest && cop.packAfter == after {
		return cop.pack, nil
	}
	chs := cop.follower.Since(after)
	msg := &wire.Copy{Version: chs.Version, Whole: chs.Snapshot, AfterOutage: chs.AfterOutage}
	for _, rec := range chs.Records {
		msg.Records = append(msg.Records, &wire.CopiedRecord{Key: rec.Key, Value: rec.Value, Version: rec.Version, Deleted: rec.Deleted})
	}
	raw, err := proto.Marshal(msg)
	if err != nil {
		return nil, err
	}
	txt, err = compress(raw)
	if err != nil {
		return nil, err
	}
	cop.pack, cop.packVersion, cop.packAfter = txt, newest, after
	return txt, nil
}

func compress(raw []byte) (txt []byte, err error) {
	var buf bytes.Buffer
	wri, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := wri.Write(raw); err != nil {
		return nil, err
	}
	if err := wri.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}
