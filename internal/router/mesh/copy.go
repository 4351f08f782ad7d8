package mesh

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
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
	// pack is the compressed copy as of packVersion; nil before anyone asked.
	pack        []byte
	packVersion int64
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+copyPath+string(cop.kind), nil)
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
	chs := router.Changes{Version: msg.GetVersion(), Whole: true, AfterOutage: msg.GetAfterOutage()}
	for _, rec := range msg.GetRecords() {
		chs.Records = append(chs.Records, router.Record{Key: rec.GetKey(), Value: rec.GetValue(), Version: rec.GetVersion()})
	}
	cop.follower.Offer(chs)
	return len(chs.Records), nil
}

// Handler serves this node's copies to peers.
func (msh *Mesh) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, cop := range msh.copiers {
		mux.HandleFunc("GET "+copyPath+string(cop.kind), func(wri http.ResponseWriter, req *http.Request) {
			txt, err := cop.packed()
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

// packed returns the copy, marshalled and compressed; many peers ask for the same version at once.
func (cop *copier) packed() (txt []byte, err error) {
	defer fault.Annotate(&err, "pack copy")
	cop.packing.Lock()
	defer cop.packing.Unlock()
	if cop.pack != nil && cop.packVersion == cop.follower.Newest() {
		return cop.pack, nil
	}
	newest := cop.follower.Newest()
	chs := cop.follower.Copy()
	msg := &wire.Copy{Version: chs.Version, AfterOutage: chs.AfterOutage}
	for _, rec := range chs.Records {
		msg.Records = append(msg.Records, &wire.CopiedRecord{Key: rec.Key, Value: rec.Value, Version: rec.Version})
	}
	raw, err := proto.Marshal(msg)
	if err != nil {
		return nil, err
	}
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
	cop.pack, cop.packVersion = buf.Bytes(), newest
	return cop.pack, nil
}
