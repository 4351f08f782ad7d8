package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as it appears in answers.
type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion int64  `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// answer is the body of an answer of the store.
type answer struct {
	Rows       []row   `json:"rows"`
	HasMore    bool    `json:"hasMore"`
	RowVersion int64   `json:"rowVersion"`
	NowMs      float64 `json:"nowMs"`
}

// answerTime is how long the store takes to answer.
const answerTime = 4 * time.Millisecond

// store is a stand-in of the platform's metadata store. It discards no history.
type store struct {
	started time.Time

	mut     sync.Mutex
	version int64
	rows    map[string]map[string]row
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[string]map[string]row), changed: make(chan struct{})}
}

// set writes a row, as the operator or a server does.
func (str *store) set(table, key string, val any) {
	txt, err := json.Marshal(val)
	if err != nil {
		panic(err)
	}
	str.mut.Lock()
	defer str.mut.Unlock()
	str.version++
	str.put(row{Table: table, Key: key, Value: txt, RowVersion: str.version})
}

// remove deletes a row.
func (str *store) remove(table, key string) {
	str.mut.Lock()
	defer str.mut.Unlock()
	str.version++
	str.put(row{Table: table, Key: key, RowVersion: str.version, Deleted: true})
}

// put applies a change; the lock is held.
func (str *store) put(one row) {
	if str.rows[one.Table] == nil {
		str.rows[one.Table] = make(map[string]row)
	}
	if one.Deleted {
		delete(str.rows[one.Table], one.Key)
	} else {
		str.rows[one.Table][one.Key] = one
	}
	str.history = append(str.history, one)
	close(str.changed)
	str.changed = make(chan struct{})
}

func (str *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", str.get)
	mux.HandleFunc("GET /rows-feed", str.feed)
	mux.HandleFunc("POST /rows-tx", str.transact)
	return mux
}

func (str *store) reply(wri http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	txt, _ := json.Marshal(answer{Rows: rows, HasMore: more, RowVersion: str.version, NowMs: float64(time.Since(str.started).Milliseconds()) + 1})
	wri.Header().Set("Content-Type", "application/json")
	wri.Header().Set("Store-Era", "1")
	wri.WriteHeader(status)
	_, _ = wri.Write(txt)
}

func (str *store) get(wri http.ResponseWriter, req *http.Request) {
	time.Sleep(answerTime)
	str.mut.Lock()
	defer str.mut.Unlock()
	limit := 500
	if num, err := strconv.Atoi(req.FormValue("limit")); err == nil && num > 0 {
		limit = min(limit, num)
	}
	var rows []row
	for _, one := range str.rows[req.FormValue("table")] {
		to := req.FormValue("to")
		if one.Part == req.FormValue("part") && one.Key >= req.FormValue("from") && (to == "" || one.Key < to) {
			rows = append(rows, one)
		}
	}
	slices.SortFunc(rows, func(one, two row) int {
		if one.Key < two.Key {
			return -1
		}
		return 1
	})
	more := len(rows) > limit
	str.reply(wri, http.StatusOK, rows[:min(len(rows), limit)], more)
}

func (str *store) feed(wri http.ResponseWriter, req *http.Request) {
	since, _ := strconv.ParseInt(req.FormValue("sinceRevision"), 10, 64)
	wait, _ := strconv.Atoi(req.FormValue("waitMs"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	time.Sleep(answerTime)
	for expired := false; ; {
		str.mut.Lock()
		var rows []row
		for _, one := range str.history {
			if one.Table == req.FormValue("table") && one.RowVersion > since {
				rows = append(rows, one)
			}
		}
		if len(rows) > 0 || expired {
			str.reply(wri, http.StatusOK, rows, false)
			str.mut.Unlock()
			return
		}
		changed := str.changed
		str.mut.Unlock()
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-req.Context().Done():
			return
		}
	}
}

func (str *store) transact(wri http.ResponseWriter, req *http.Request) {
	var txn struct {
		ExpectedRevision []row `json:"expectedRevision"`
		Write            []row `json:"write"`
		Remove           []row `json:"remove"`
	}
	txt, err := io.ReadAll(req.Body)
	if err == nil {
		err = json.Unmarshal(txt, &txn)
	}
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(answerTime)
	str.mut.Lock()
	defer str.mut.Unlock()
	for _, one := range slices.Concat(txn.Write, txn.Remove) {
		if one.Table == "op" || one.Table == "servers" {
			http.Error(wri, "not yours", http.StatusForbidden)
			return
		}
	}
	met := true
	var current []row
	for _, one := range txn.ExpectedRevision {
		now, fnd := str.rows[one.Table][one.Key]
		met = met && now.RowVersion == one.RowVersion
		if fnd {
			current = append(current, now)
		}
	}
	if !met {
		str.reply(wri, http.StatusPreconditionFailed, current, false)
		return
	}
	str.version++
	for _, one := range txn.Write {
		one.RowVersion = str.version
		str.put(one)
	}
	for _, one := range txn.Remove {
		str.put(row{Table: one.Table, Key: one.Key, RowVersion: str.version, Deleted: true})
	}
	str.reply(wri, http.StatusOK, nil, false)
}
