package fakes

import (
	"strings"

	"github.com/go-faster/errors"
	"go.yaml.in/yaml/v3"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Codec decodes the records of RecordStore: manifests and instances in YAML, members as written by
// Register. It implements router.Codec.
type Codec struct{}

// Manifest decodes a manifest.
func (Codec) Manifest(rec router.Record) (man *router.Manifest, other bool, err error) {
	man = &router.Manifest{}
	return man, false, yaml.Unmarshal(rec.Value, man)
}

// Instance decodes the record of an upstream instance; the key of the record is its ID.
func (Codec) Instance(rec router.Record) (ins router.Instance, err error) {
	if err := yaml.Unmarshal(rec.Value, &ins); err != nil {
		return router.Instance{}, err
	}
	ins.ID = rec.Key
	return ins, nil
}

// Member decodes the record of a node: its name, address and failure domain, separated by spaces.
func (Codec) Member(rec router.Record) (mem router.Member, err error) {
	fds := strings.Fields(string(rec.Value))
	if len(fds) != 3 {
		return router.Member{}, errors.Errorf("member record has %d fields, want 3: name, address, failure domain", len(fds))
	}
	return router.Member{Name: fds[0], Address: fds[1], FailureDomain: fds[2]}, nil
}
