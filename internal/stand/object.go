package stand

import (
	"fmt"
	"io"
	"net/http"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/memtab"
)

// Object is a stand-in for the object store with the S3 API, as far as package bucket uses it.
type Object struct {
	vals   *memtab.Objects
	faults *Switch
}

// NewObject returns an empty Object.
func NewObject(swt *Switch) *Object {
	return &Object{vals: memtab.NewObjects(), faults: swt}
}

// Handler serves the API.
func (obj *Object) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /{key...}", func(wri http.ResponseWriter, req *http.Request) {
		val, err := io.ReadAll(req.Body)
		if err == nil {
			err = obj.vals.Store(req.Context(), req.PathValue("key"), val)
		}
		if err != nil {
			http.Error(wri, err.Error(), http.StatusInternalServerError)
		}
	})
	mux.HandleFunc("GET /{key...}", func(wri http.ResponseWriter, req *http.Request) {
		val, err := obj.vals.Load(req.Context(), req.PathValue("key"))
		if err != nil {
			wri.WriteHeader(http.StatusNotFound)
			fmt.Fprint(wri, `<Error><Code>NoSuchKey</Code></Error>`)
			return
		}
		if _, err := wri.Write(val); err != nil {
			return
		}
	})
	return obj.faults.Wrap(mux)
}
