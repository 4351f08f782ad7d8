package stand

import (
	"strings"

	"github.com/go-faster/errors"
	"go.yaml.in/yaml/v3"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Codec decodes the records of Source, which hold YAML; it implements router.Codec.
type Codec struct{}

// Manifest decodes a configuration.
func (Codec) Manifest(rec router.Record) (man *router.Manifest, other bool, err error) {
	man = &router.Manifest{}
	return man, false, yaml.Unmarshal(rec.Value, man)
}

// Instance decodes an upstream's record; its ID is the record's key.
func (Codec) Instance(rec router.Record) (ins router.Instance, err error) {
	if err := yaml.Unmarshal(rec.Value, &ins); err != nil {
		return router.Instance{}, err
	}
	ins.ID = rec.Key
	return ins, nil
}

// Member decodes a node's record.
func (Codec) Member(rec router.Record) (mem router.Member, err error) {
	fds := strings.Fields(string(rec.Value))
	if len(fds) != 3 {
		return router.Member{}, errors.Errorf("%d fields instead of 3", len(fds))
	}
	return router.Member{Name: fds[0], Address: fds[1], FailureDomain: fds[2]}, nil
}
