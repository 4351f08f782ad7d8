package mesh

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/strict"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// copiesPath is the path below which a node serves its copies to peers.
	copiesPath = "/v1/copies/"
	// afterParam is the query parameter with the version after which a peer requests changes; 0
	// requests a snapshot. completeParam is the query parameter with the version up to which the peer's copy is complete, and
	// eraParam that with the era of both.
	afterParam    = "After"
	completeParam = "Complete"
	eraParam      = "Era"
	// dialTimeout limits connecting to a peer, and fetchTimeout limits the whole fetch, which may
	// go over a slow link.
	dialTimeout  = time.Second
	fetchTimeout = 4 * time.Second
	// maxCopyBytes bounds a peer's response, decompressed. It has room for some ten thousand records, and while it is read the
	// smallest nodes have memory left for callers.
	maxCopyBytes = 8 << 20
	// maxCopyRecords bounds the records in it: one without content takes over a hundred times its bytes when it is decoded.
	maxCopyRecords = 20_000
	// minFetchInterval is the shortest time between two fetches of one kind.
	minFetchInterval = 300 * time.Millisecond
	// maxLag is how long a peer's copy may be newer before this node fetches it although its own
	// watch seems to work. Watches batch changes for less than that.
	maxLag = 800 * time.Millisecond
	// maxHiddenLag is the same if the peer read a snapshot, which may hide deletions. Other peers show within the interval of
	// their watches that there was none.
	maxHiddenLag = 1500 * time.Millisecond
)

// copier fetches the changes of one kind of record from peers and serves them to peers.
type copier struct {
	kind      router.RecordKind
	follower  *follow.Follower
	transport http.RoundTripper

	mut sync.Mutex
	// newestSeen is the newest position in the digests of all peers, and behindSince is since when
	// this node's copy may lack changes of it.
	newestSeen  follow.Position
	behindSince time.Time
	fetching    bool
	lastFetch   time.Time

	cacheMut sync.Mutex
	// cache is the last encoded response; nil before the first request.
	cache    []byte
	cacheKey cacheKey
}

// cacheKey identifies an encoded response.
type cacheKey struct {
	// position is that of the copy, without the version up to which it is complete.
	position follow.Position
	// after is the version after which changes were requested. It is zero if snapshot is set.
	after    int64
	snapshot bool
}

// peerTransport connects to peers.
var peerTransport = strict.Transport(&http.Transport{
	DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	MaxIdleConnsPerHost: 1,
	IdleConnTimeout:     5 * time.Second,
})

// fetchNewerCopies fetches the changes that the sender of a digest has and this node's own watch
// does not deliver. If there are none, the copies are as current as those of the sender.
func (msh *Mesh) fetchNewerCopies(ctx context.Context, dig *wire.Digest) {
	for _, cop := range msh.copiers {
		newer := copyPosition(dig, cop.kind)
		cop.follower.Confirm(newer, dig.GetConfirmedStoreMs(), time.Duration(dig.GetConfirmedAgeMs())*time.Millisecond)
		sameDomain := dig.GetFailureDomain() == msh.options.Self.FailureDomain
		if !cop.beginFetch(newer, sameDomain, msh.options.Timers.Now()) {
			continue
		}
		go func() {
			defer cop.endFetch(msh.options.Timers.Now())
			num, err := cop.fetch(ctx, dig.GetAddress())
			if err != nil {
				msh.options.Log.Info("copy not fetched", "Kind", cop.kind, "Peer", dig.GetNode(), "Error", err.Error())
				return
			}
			msh.options.Log.Info("copy fetched from peer", "Kind", cop.kind, "Peer", dig.GetNode(), "Era", newer.Era, "Version", newer.LastChange, "DeletionsAfter", newer.DeletionsAfter, "Records", num)
		}()
	}
}

// beginFetch reports whether to fetch from a peer at a position now, and if so marks the copier as
// fetching. A node that uses peers or cannot reach the store fetches a newer change from peers in its failure domain
// at once. In all other cases it must have been behind for some time, so that it fetches from other
// failure domains only what its own does not have, and whole copies only if none of its peers rules out a deletion.
func (cop *copier) beginFetch(newer follow.Position, sameDomain bool, now time.Time) bool {
	cop.mut.Lock()
	defer cop.mut.Unlock()
	own := cop.follower.Position()
	cop.newestSeen = cop.newestSeen.Max(newer)
	if !own.Lacks(cop.newestSeen) {
		cop.behindSince = time.Time{}
	}
	if !own.Lacks(newer) {
		return false
	}
	if cop.behindSince.IsZero() {
		cop.behindSince = now
	}
	needsPeers := cop.follower.UsesPeers() || cop.follower.OutageDuration() > 0
	lag := maxHiddenLag
	if own.LacksChange(newer) {
		lag = maxLag
		if sameDomain && needsPeers {
			lag = 0
		}
	}
	due := now.Sub(cop.behindSince) >= lag
	if !due || cop.fetching || now.Sub(cop.lastFetch) < minFetchInterval {
		return false
	}
	cop.fetching = true
	return true
}

// endFetch ends a fetch, successful or not, that beginFetch allowed.
func (cop *copier) endFetch(now time.Time) {
	cop.mut.Lock()
	defer cop.mut.Unlock()
	cop.fetching, cop.lastFetch, cop.behindSince = false, now, time.Time{}
}

// fetch requests the changes that are newer than this node's copy from the peer at address, merges
// them and returns the number of records received.
func (cop *copier) fetch(ctx context.Context, address string) (num int, err error) {
	defer errs.Annotate(&err, "fetch copy")
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	own := cop.follower.Position()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet,
		fmt.Sprintf("http://%s%s%s?%s=%d&%s=%d&%s=%d", address, copiesPath, cop.kind,
			afterParam, own.LastChange, completeParam, own.Complete, eraParam, own.Era), nil)
	if err != nil {
		return 0, err
	}
	rsp, err := (&http.Client{Transport: cop.transport}).Do(req)
	if err != nil {
		return 0, err
	}
	defer rsp.Body.Close()
	txt, err := strict.ReadAll(rsp.Body, maxCopyBytes)
	if err != nil {
		return 0, err
	}
	if rsp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("unexpected status %d", rsp.StatusCode)
	}
	if err := checkRecords(txt); err != nil {
		return 0, err
	}
	var msg wire.Copy
	if err := proto.Unmarshal(txt, &msg); err != nil {
		return 0, err
	}
	chs := router.Changes{Era: msg.GetEra(), Version: msg.GetVersion(), Snapshot: msg.GetWhole(), AfterOutage: msg.GetAfterOutage()}
	for _, rec := range msg.GetRecords() {
		chs.Records = append(chs.Records, router.Record{Key: rec.GetKey(), Value: rec.GetValue(), Version: rec.GetVersion(), Deleted: rec.GetDeleted()})
	}
	cop.follower.MergePeer(chs)
	return len(chs.Records), nil
}

// checkRecords checks that an encoded copy has no more than maxCopyRecords fields, before they are decoded.
func checkRecords(txt []byte) error {
	for num := 0; len(txt) > 0; num++ {
		_, _, size := protowire.ConsumeField(txt)
		if size < 0 {
			return protowire.ParseError(size)
		}
		if num >= maxCopyRecords {
			return errors.Errorf("copy has more than %d records", maxCopyRecords)
		}
		txt = txt[size:]
	}
	return nil
}

// Handler serves this node's copies to peers.
func (msh *Mesh) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, cop := range msh.copiers {
		mux.HandleFunc("GET "+copiesPath+string(cop.kind), func(wri http.ResponseWriter, req *http.Request) {
			after, err := strconv.ParseInt(req.FormValue(afterParam), 10, 64)
			if err != nil {
				http.Error(wri, err.Error(), http.StatusBadRequest)
				return
			}
			// Nodes of earlier releases state no era, and no version up to which their copy is complete.
			era, _ := strconv.ParseInt(req.FormValue(eraParam), 10, 64)
			complete, _ := strconv.ParseInt(req.FormValue(completeParam), 10, 64)
			txt, err := cop.encodeChanges(follow.Position{Era: era, LastChange: after, Complete: max(complete, after)})
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

// encodeChanges returns the changes that a copy at a position may lack, marshalled and compressed.
// The result is cached, because many peers request the same changes at once.
func (cop *copier) encodeChanges(pos follow.Position) (txt []byte, err error) {
	defer errs.Annotate(&err, "encode changes")
	cop.cacheMut.Lock()
	defer cop.cacheMut.Unlock()
	own := cop.follower.Position()
	key := cacheKey{position: own, snapshot: own.RequiresSnapshot(pos)}
	key.position.Complete = 0
	if !key.snapshot {
		key.after = pos.LastChange
	}
	if cop.cache != nil && cop.cacheKey == key {
		return cop.cache, nil
	}
	chs := cop.follower.ChangesFor(pos)
	msg := &wire.Copy{Era: chs.Era, Version: chs.Version, Whole: chs.Snapshot, AfterOutage: chs.AfterOutage}
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
	cop.cache, cop.cacheKey = txt, key
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
