package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// configIndex is a configuration indexed for the lookups of requests. It is immutable.
type configIndex struct {
	config conf.Config
	// keys maps the digest of a key to its workspace.
	keys    map[string]router.Workspace
	classes map[string]router.Class
	// models maps a model to the pool that serves it, and pools a name to its pool.
	models map[string]router.Pool
	pools  map[string]router.Pool
}

func newConfigIndex(cfg conf.Config) *configIndex {
	idx := &configIndex{
		config:  cfg,
		keys:    make(map[string]router.Workspace),
		classes: make(map[string]router.Class),
		models:  make(map[string]router.Pool),
		pools:   make(map[string]router.Pool),
	}
	for _, wsp := range cfg.Workspaces {
		for _, dig := range wsp.KeyDigests {
			idx.keys[dig] = wsp
		}
	}
	for _, cls := range cfg.Classes {
		idx.classes[cls.Name] = cls
	}
	for _, pol := range cfg.Pools {
		idx.pools[pol.Name] = pol
		for _, mod := range pol.Models {
			idx.models[mod] = pol
		}
	}
	return idx
}

const bearerPrefix = "Bearer "

// workspace returns the workspace that the request's bearer key authenticates.
func (idx *configIndex) workspace(req *http.Request) (wsp router.Workspace, err error) {
	hdr := req.Header.Get("Authorization")
	if !strings.HasPrefix(hdr, bearerPrefix) {
		return router.Workspace{}, router.Refuse(http.StatusUnauthorized, router.CodeKey, "send the workspace's key as a bearer token")
	}
	wsp, fnd := idx.keys[KeyDigest(strings.TrimPrefix(hdr, bearerPrefix))]
	if !fnd {
		return router.Workspace{}, router.Refuse(http.StatusUnauthorized, router.CodeKey, "the key belongs to no workspace")
	}
	return wsp, nil
}

// KeyDigest returns the SHA-256 digest of a key in hexadecimal, the form in which settings hold
// keys.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// class returns the class that the request names, or the default of its workspace, which is the
// first in its list.
func (idx *configIndex) class(req *http.Request, wsp router.Workspace) (cls router.Class, err error) {
	nam := req.Header.Get(router.HeaderClass)
	if nam == "" {
		nam = wsp.Classes[0]
	}
	for _, alw := range wsp.Classes {
		if alw == nam {
			return idx.classes[nam], nil
		}
	}
	return router.Class{}, router.Refuse(http.StatusBadRequest, router.CodeClass,
		"workspace %s has no class %s; it may use %s", wsp.Name, nam, strings.Join(wsp.Classes, ", "))
}

// operation returns the pool and the operation of a plain HTTP service that a request addresses.
func (idx *configIndex) operation(pool, method, path string) (pol router.Pool, opn router.Operation, err error) {
	pol, fnd := idx.pools[pool]
	if !fnd || pol.Kind != router.Service {
		return pol, opn, router.Refuse(http.StatusNotFound, router.CodePool, "no service pool %s", pool)
	}
	for _, opn := range pol.Operations {
		if opn.Method == method && opn.Path == path {
			return pol, opn, nil
		}
	}
	return pol, opn, router.Refuse(http.StatusNotFound, router.CodeOperation, "pool %s has no operation %s %s", pool, method, path)
}
