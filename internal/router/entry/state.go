package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// state is a configuration prepared for looking things up by request.
type state struct {
	config conf.Config
	// keys holds the workspaces by the digest of their keys.
	keys    map[string]router.Workspace
	classes map[string]router.Class
	// models holds the pools by model, and pools all of them by name.
	models map[string]router.Pool
	pools  map[string]router.Pool
}

func newState(cfg conf.Config) *state {
	sta := &state{
		config:  cfg,
		keys:    make(map[string]router.Workspace),
		classes: make(map[string]router.Class),
		models:  make(map[string]router.Pool),
		pools:   make(map[string]router.Pool),
	}
	for _, wsp := range cfg.Workspaces {
		for _, dig := range wsp.KeyDigests {
			sta.keys[dig] = wsp
		}
	}
	for _, cls := range cfg.Classes {
		sta.classes[cls.Name] = cls
	}
	for _, pol := range cfg.Pools {
		sta.pools[pol.Name] = pol
		for _, mod := range pol.Models {
			sta.models[mod] = pol
		}
	}
	return sta
}

const bearer = "Bearer "

// workspace returns the workspace whose key the request carries.
func (sta *state) workspace(req *http.Request) (wsp router.Workspace, err error) {
	hdr := req.Header.Get("Authorization")
	if !strings.HasPrefix(hdr, bearer) {
		return router.Workspace{}, router.Refuse(http.StatusUnauthorized, router.CodeKey, "send the workspace's key as a bearer token")
	}
	wsp, fnd := sta.keys[KeyDigest(strings.TrimPrefix(hdr, bearer))]
	if !fnd {
		return router.Workspace{}, router.Refuse(http.StatusUnauthorized, router.CodeKey, "the key belongs to no workspace")
	}
	return wsp, nil
}

// KeyDigest returns the hexadecimal SHA-256 digest by which settings name a key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// class returns the class that the request names, or the workspace's default.
func (sta *state) class(req *http.Request, wsp router.Workspace) (cls router.Class, err error) {
	nam := req.Header.Get(router.HeaderClass)
	if nam == "" {
		nam = wsp.Classes[0]
	}
	for _, alw := range wsp.Classes {
		if alw == nam {
			return sta.classes[nam], nil
		}
	}
	return router.Class{}, router.Refuse(http.StatusBadRequest, router.CodeClass,
		"workspace %s has no class %s; it may use %s", wsp.Name, nam, strings.Join(wsp.Classes, ", "))
}

// operation returns the operation of a Service pool that a request asks for.
func (sta *state) operation(pool, method, path string) (pol router.Pool, opn router.Operation, err error) {
	pol, fnd := sta.pools[pool]
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
