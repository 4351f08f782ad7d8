package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store as it appears in answers.
type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion int64  `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. It is linearizable and loses nothing that it acknowledged.
type store struct {
	mut     sync.Mutex
	began   time.Time
	version int64
	// tables holds the rows by table, and by part and key.
	tables  map[string]map[[2]string]row
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), tables: map[string]map[[2]string]row{}, changed: make(chan struct{})}
}

// set writes or, with a nil value, removes a row of the empty part and returns the time of the acknowledgement.
func (str *store) set(table, key string, value []byte) time.Time {
	return str.setIn("", table, key, value)
}

// setIn is set for a row of any part.
func (str *store) setIn(part, table, key string, value []byte) time.Time {
	str.mut.Lock()
	defer str.mut.Unlock()
	str.version++
	str.put(row{Table: table, Part: part, Key: key, Value: value, Deleted: value == nil})
	return time.Now()
}

// value returns the value of a row of the empty part.
func (str *store) value(table, key string) []byte {
	str.mut.Lock()
	defer str.mut.Unlock()
	return str.tables[table][[2]string{"", key}].Value
}

// put applies a change at the current version; the caller holds the lock.
func (str *store) put(one row) {
	one.RowVersion = str.version
	if str.tables[one.Table] == nil {
		str.tables[one.Table] = map[[2]string]row{}
	}
	if one.Deleted {
		delete(str.tables[one.Table], [2]string{one.Part, one.Key})
	} else {
		str.tables[one.Table][[2]string{one.Part, one.Key}] = one
	}
	str.history = append(str.history, one)
	close(str.changed)
	str.changed = make(chan struct{})
}

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

func (str *store) answer(wri http.ResponseWriter, status int, body map[string]any) {
	time.Sleep(answerTime)
	wri.Header().Set("Store-Era", "1")
	body["nowMs"] = 1 + time.Since(str.began).Milliseconds()
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(body)
}

func (str *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", str.get)
	mux.HandleFunc("GET /rows-feed", str.feed)
	mux.HandleFunc("POST /rows-tx", str.transact)
	return mux
}

func (str *store) get(wri http.ResponseWriter, req *http.Request) {
	limit := 500
	if num, err := strconv.Atoi(req.FormValue("limit")); err == nil && num > 0 && num < limit {
		limit = num
	}
	str.mut.Lock()
	rows, more := []row{}, false
	for at, one := range str.tables[req.FormValue("table")] {
		if at[0] == req.FormValue("part") && at[1] >= req.FormValue("from") && (req.FormValue("to") == "" || at[1] < req.FormValue("to")) {
			rows = append(rows, one)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	if len(rows) > limit {
		rows, more = rows[:limit], true
	}
	version := str.version
	str.mut.Unlock()
	str.answer(wri, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "rowVersion": version})
}

func (str *store) feed(wri http.ResponseWriter, req *http.Request) {
	since, _ := strconv.ParseInt(req.FormValue("sinceRevision"), 10, 64)
	wait, _ := strconv.Atoi(req.FormValue("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for over := false; ; {
		str.mut.Lock()
		rows := []row{}
		for _, one := range str.history {
			if one.Table == req.FormValue("table") && one.RowVersion > since {
				rows = append(rows, one)
			}
		}
		version, changed := str.version, str.changed
		str.mut.Unlock()
		if over || len(rows) > 0 {
			str.answer(wri, http.StatusOK, map[string]any{"rows": rows, "rowVersion": version})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
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
	str.mut.Lock()
	for _, one := range append(txn.Write, txn.Remove...) {
		if one.Table == "op" || one.Table == "servers" {
			str.mut.Unlock()
			str.answer(wri, http.StatusForbidden, map[string]any{})
			return
		}
	}
	for _, one := range txn.ExpectedRevision {
		if str.tables[one.Table][[2]string{one.Part, one.Key}].RowVersion != one.RowVersion {
			rows := []row{}
			for _, cnd := range txn.ExpectedRevision {
				if now, fnd := str.tables[cnd.Table][[2]string{cnd.Part, cnd.Key}]; fnd {
					rows = append(rows, now)
				}
			}
			version := str.version
			str.mut.Unlock()
			str.answer(wri, http.StatusPreconditionFailed, map[string]any{"rows": rows, "rowVersion": version})
			return
		}
	}
	str.version++
	for _, one := range txn.Write {
		str.put(one)
	}
	for _, one := range txn.Remove {
		str.put(row{Table: one.Table, Part: one.Part, Key: one.Key, Deleted: true})
	}
	version := str.version
	str.mut.Unlock()
	str.answer(wri, http.StatusOK, map[string]any{"rowVersion": version})
}
