package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store as it is on the wire.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// StoreMode is how the store treats calls.
type StoreMode int

// The values of StoreMode.
const (
	StoreServes StoreMode = iota
	// StoreSilent answers nothing.
	StoreSilent
	// StoreBusy answers 503, after which nothing was done.
	StoreBusy
)

// Store is a stand-in of the platform's metadata store.
type Store struct {
	rec   *Recorder
	began time.Time

	mut     sync.Mutex
	era     int64
	version int64
	oldest  int64
	rows    map[rowID]Row
	history []Row
	changed chan struct{}
	mode    StoreMode
	modes   map[string]StoreMode
	delay   time.Duration
	lost    float64
	late    float64
	rnd     *rand.Rand
	lastTx  string
	// fed holds when a node last began to wait for changes of the servers, and answered when it last got an answer.
	fed, answered map[string]time.Time
	onCommit      func(node string, writes []Row)
}

// NewStore returns an empty store.
func NewStore(rec *Recorder, seed uint64) *Store {
	return &Store{
		rec: rec, began: time.Now(), rows: make(map[rowID]Row), changed: make(chan struct{}), modes: make(map[string]StoreMode),
		rnd: rand.New(rand.NewPCG(seed, 7)), fed: make(map[string]time.Time), answered: make(map[string]time.Time),
	}
}

// Set writes a row of the operator or of a server; nil removes it.
func (str *Store) Set(table, key string, val any) {
	var txt []byte
	if val != nil {
		if raw, ok := val.([]byte); ok {
			txt = raw
		} else {
			txt, _ = json.Marshal(val)
		}
	}
	str.mut.Lock()
	defer str.mut.Unlock()
	str.version++
	str.put(Row{Table: table, Key: key, Value: txt, Deleted: val == nil})
	str.notify()
}

func (str *Store) put(row Row) {
	row.Version = str.version
	id := rowID{row.Table, row.Part, row.Key}
	if row.Deleted {
		delete(str.rows, id)
	} else {
		str.rows[id] = row
	}
	str.history = append(str.history, row)
}

func (str *Store) notify() {
	close(str.changed)
	str.changed = make(chan struct{})
}

// SetMode sets how all calls are treated.
func (str *Store) SetMode(mode StoreMode) {
	str.mut.Lock()
	defer str.mut.Unlock()
	str.mode = mode
	str.notify()
}

// SetNodeMode sets how the calls of one node are treated.
func (str *Store) SetNodeMode(node string, mode StoreMode) {
	str.mut.Lock()
	defer str.mut.Unlock()
	str.modes[node] = mode
	str.notify()
}

// SetLosses sets the shares of writes that are done and not answered, and that are done 1 to 6 s later and not answered.
func (str *Store) SetLosses(lost, late float64) {
	str.mut.Lock()
	defer str.mut.Unlock()
	str.lost, str.late = lost, late
}

// SetDelay sets how long answers take.
func (str *Store) SetDelay(delay time.Duration) {
	str.mut.Lock()
	defer str.mut.Unlock()
	str.delay = delay
}

// LastWriter returns the node that last wrote under a condition.
func (str *Store) LastWriter() string {
	str.mut.Lock()
	defer str.mut.Unlock()
	return str.lastTx
}

// Polled returns when a node last began to wait for changes of the servers, and when such a wait of it last ended.
func (str *Store) Polled(node string) (began, ended time.Time) {
	str.mut.Lock()
	defer str.mut.Unlock()
	return str.fed[node], str.answered[node]
}

// Compact discards the history.
func (str *Store) Compact() {
	str.mut.Lock()
	defer str.mut.Unlock()
	str.oldest, str.history = str.version, nil
	str.notify()
}

// Backup is a copy of the store.
type Backup struct {
	version int64
	rows    map[rowID]Row
}

// Backup returns a copy.
func (str *Store) Backup() (bak Backup) {
	str.mut.Lock()
	defer str.mut.Unlock()
	bak = Backup{version: str.version, rows: make(map[rowID]Row, len(str.rows))}
	for id, row := range str.rows {
		bak.rows[id] = row
	}
	return bak
}

// Restore replaces all by a copy.
func (str *Store) Restore(bak Backup) {
	str.mut.Lock()
	defer str.mut.Unlock()
	str.era++
	str.version, str.oldest, str.history = bak.version, bak.version, nil
	str.rows = make(map[rowID]Row, len(bak.rows))
	for id, row := range bak.rows {
		str.rows[id] = row
	}
	str.rec.Line("store restored, era %d version %d", str.era, str.version)
	str.notify()
}

// Rows returns the rows of a table.
func (str *Store) Rows(table string) (rows []Row) {
	str.mut.Lock()
	defer str.mut.Unlock()
	for id, row := range str.rows {
		if id.table == table {
			rows = append(rows, row)
		}
	}
	return rows
}

type answerBody struct {
	Rows    []Row `json:"rows"`
	HasMore bool  `json:"hasMore"`
	Version int64 `json:"rowVersion"`
	NowMs   int64 `json:"nowMs"`
}

// answer writes an answer; the caller holds no lock.
func (str *Store) answer(wri http.ResponseWriter, status int, era int64, body answerBody) {
	if body.Rows == nil {
		body.Rows = []Row{}
	}
	body.NowMs = 1 + time.Since(str.began).Milliseconds()
	txt, _ := json.Marshal(body)
	wri.Header().Set("Content-Type", "application/json")
	wri.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	wri.WriteHeader(status)
	_, _ = wri.Write(txt)
}

// Handler returns the store's API for one node.
func (str *Store) Handler(node string) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		str.mut.Lock()
		mode := max(str.mode, str.modes[node])
		delay := str.delay
		str.mut.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		switch {
		case mode == StoreSilent:
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		case mode == StoreBusy:
			str.mut.Lock()
			era := str.era
			str.mut.Unlock()
			str.answer(wri, http.StatusServiceUnavailable, era, answerBody{})
			return
		}
		switch {
		case req.URL.Path == "/rows-get":
			str.get(wri, req)
		case req.URL.Path == "/rows-feed":
			str.feed(wri, req, node)
		case req.URL.Path == "/rows-tx" && req.Method == http.MethodPost:
			str.transact(wri, req, node, body)
		default:
			wri.WriteHeader(http.StatusNotFound)
		}
	})
}

func (str *Store) get(wri http.ResponseWriter, req *http.Request) {
	qry := req.URL.Query()
	limit := 500
	if num, err := strconv.Atoi(qry.Get("limit")); err == nil && num > 0 {
		limit = min(limit, num)
	}
	str.mut.Lock()
	body, era := answerBody{Version: str.version}, str.era
	for id, row := range str.rows {
		if id.table == qry.Get("table") && id.part == qry.Get("part") && id.key >= qry.Get("from") && (qry.Get("to") == "" || id.key < qry.Get("to")) {
			body.Rows = append(body.Rows, row)
		}
	}
	str.mut.Unlock()
	sort.Slice(body.Rows, func(one, two int) bool { return strings.Compare(body.Rows[one].Key, body.Rows[two].Key) < 0 })
	if len(body.Rows) > limit {
		body.Rows, body.HasMore = body.Rows[:limit], true
	}
	str.answer(wri, http.StatusOK, era, body)
}

func (str *Store) feed(wri http.ResponseWriter, req *http.Request, node string) {
	qry := req.URL.Query()
	since, _ := strconv.ParseInt(qry.Get("sinceRevision"), 10, 64)
	wait, _ := strconv.Atoi(qry.Get("waitMs"))
	if qry.Get("table") == "servers" {
		str.mut.Lock()
		str.fed[node] = time.Now()
		str.mut.Unlock()
		defer func() {
			str.mut.Lock()
			str.answered[node] = time.Now()
			str.mut.Unlock()
		}()
	}
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for expired := false; ; {
		str.mut.Lock()
		if max(str.mode, str.modes[node]) == StoreSilent {
			str.mut.Unlock()
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if since > str.version || since < str.oldest {
			body, era := answerBody{Version: str.version}, str.era
			str.mut.Unlock()
			str.answer(wri, http.StatusGone, era, body)
			return
		}
		body, era, changed := answerBody{Version: str.version}, str.era, str.changed
		for _, row := range str.history {
			if row.Table == qry.Get("table") && row.Version > since {
				body.Rows = append(body.Rows, row)
			}
		}
		str.mut.Unlock()
		if expired || len(body.Rows) > 0 {
			str.answer(wri, http.StatusOK, era, body)
			return
		}
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-req.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

type transaction struct {
	Conditions []Row `json:"expectedRevision"`
	Writes     []Row `json:"write"`
	Removals   []Row `json:"remove"`
}

func (str *Store) transact(wri http.ResponseWriter, req *http.Request, node string, txt []byte) {
	var txn transaction
	if err := json.Unmarshal(txt, &txn); err != nil {
		str.rec.Line("store: bad transaction of %s: %v %s", node, err, txt)
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]Row(nil), txn.Writes...), txn.Removals...) {
		if row.Table == "op" || row.Table == "servers" {
			wri.WriteHeader(http.StatusForbidden)
			return
		}
	}
	str.mut.Lock()
	draw := str.rnd.Float64()
	lost, late := draw < str.lost, draw >= str.lost && draw < str.lost+str.late
	pause := time.Second + time.Duration(str.rnd.Int64N(int64(5*time.Second)))
	str.mut.Unlock()
	if late {
		time.AfterFunc(pause, func() {
			status, _, _ := str.apply(node, txn)
			str.rec.Line("store: write of %s applied %s late: %d", node, pause.Round(time.Millisecond), status)
		})
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, era, body := str.apply(node, txn)
	if lost {
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	str.answer(wri, status, era, body)
}

func (str *Store) apply(node string, txn transaction) (status int, era int64, body answerBody) {
	str.mut.Lock()
	defer str.mut.Unlock()
	failed := false
	for _, cnd := range txn.Conditions {
		now, fnd := str.rows[rowID{cnd.Table, cnd.Part, cnd.Key}]
		if now.Version != cnd.Version {
			failed = true
		}
		if fnd {
			body.Rows = append(body.Rows, now)
		}
	}
	if failed {
		body.Version = str.version
		return http.StatusPreconditionFailed, str.era, body
	}
	if len(txn.Conditions) > 0 {
		str.lastTx = node
	}
	str.version++
	for _, row := range txn.Writes {
		str.put(row)
	}
	for _, row := range txn.Removals {
		row.Deleted = true
		str.put(row)
	}
	if str.onCommit != nil {
		str.onCommit(node, txn.Writes)
	}
	str.notify()
	return http.StatusOK, str.era, answerBody{Version: str.version}
}
