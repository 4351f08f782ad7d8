package query

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/audit"
)

// storeTimeout limits the reading of the manifest in force from the store.
const storeTimeout = 10 * time.Second

// ManifestOptions names a manifest and what it is checked against.
type ManifestOptions struct {
	// File holds the manifest, and Against the one in force; empty for none.
	File, Against string
	// Node holds the settings of a node, for the failure domains; empty for none.
	Node string
	// Store is the address of the store that holds the manifest in force and the upstreams; empty for none.
	Store string
	// MaxDeadline is the longest time that callers give a call; zero if it is not known.
	MaxDeadline time.Duration

	// Read decodes a manifest.
	Read func(txt []byte) (src audit.Source, err error)
	// Open returns the store at an address, and Codec decodes its records.
	Open  func(address string) router.RecordStore
	Codec router.Codec
}

// CheckManifest prints the findings for a manifest, and what differs from the manifest in force. It returns an error if there are errors
// among the findings.
func CheckManifest(out io.Writer, opt ManifestOptions) (err error) {
	src, err := opt.read(opt.File)
	if err != nil {
		return err
	}
	ctx := audit.Context{MaxDeadline: opt.MaxDeadline}
	if opt.Node != "" {
		set, err := conf.LoadNode(opt.Node)
		if err != nil {
			return err
		}
		for _, dom := range set.Platform.FailureDomains {
			ctx.FailureDomains = append(ctx.FailureDomains, dom.Name)
		}
	}
	old, oldFile := audit.Source{}, opt.Against
	if opt.Against != "" {
		if old, err = opt.read(opt.Against); err != nil {
			return err
		}
	}
	if opt.Store != "" {
		old, oldFile = audit.Source{}, opt.Store
		if old.Manifest, ctx.Upstreams, err = opt.inForce(); err != nil {
			return err
		}
	}
	failures := 0
	for _, loc := range src.Check(ctx, old.Manifest) {
		severity := "warning"
		if loc.Error {
			severity = "error"
			failures++
		}
		fmt.Fprintf(out, "%s:%d:%d: %s: %s: %s\n", opt.File, loc.Position.Line, loc.Position.Column, loc.Path, severity, loc.Message)
	}
	if old.Manifest != nil {
		opt.printDifferences(out, src, old, oldFile)
	}
	if failures > 0 {
		return errors.Errorf("%s: number of errors: %d", opt.File, failures)
	}
	_, err = fmt.Fprintf(out, "ok: version %d\n", src.Manifest.Version)
	return err
}

// read reads a manifest from a file.
func (opt ManifestOptions) read(file string) (src audit.Source, err error) {
	defer errs.Annotate(&err, file)
	txt, err := os.ReadFile(file)
	if err != nil {
		return audit.Source{}, err
	}
	return opt.Read(txt)
}

// inForce reads the manifest in force, or nil if there is none, and the number of upstreams by service from the store.
func (opt ManifestOptions) inForce() (man *router.Manifest, ups map[string]int, err error) {
	defer errs.Annotate(&err, "read the manifest in force")
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	str := opt.Open(opt.Store)
	mns, err := str.Read(ctx, router.Manifests)
	if err != nil {
		return nil, nil, err
	}
	for _, rec := range mns.Records {
		one, other, err := opt.Codec.Manifest(rec)
		if err != nil {
			return nil, nil, err
		}
		if !other {
			man = one
		}
	}
	ins, err := str.Read(ctx, router.Instances)
	if err != nil {
		return nil, nil, err
	}
	ups = make(map[string]int)
	for _, rec := range ins.Records {
		// Nodes ignore upstreams with an invalid record.
		if one, err := opt.Codec.Instance(rec); err == nil {
			ups[one.Service]++
		}
	}
	return man, ups, nil
}

// printDifferences prints what differs, entry by entry, with its position in the new manifest. What was removed is located in the old one
// if that is a file.
func (opt ManifestOptions) printDifferences(out io.Writer, src, old audit.Source, oldFile string) {
	for _, dif := range audit.Compare(old.Manifest, src.Manifest) {
		file, loc := opt.File, src.Locate
		if dif.Action == audit.Removed {
			file, loc = oldFile, old.Locate
		}
		place := file
		if loc != nil {
			pos, path := loc(dif.Entry)
			place = fmt.Sprintf("%s:%d:%d: %s", file, pos.Line, pos.Column, path)
		}
		fmt.Fprintf(out, "%s: %s %s\n", place, dif.Action, dif.Name)
		for _, fld := range dif.Fields {
			fmt.Fprintf(out, "    %s: %s -> %s\n", fld.Field, fld.Old, fld.New)
		}
	}
}
