package query

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
)

// Check validates the settings of a node, unless node is empty, and then the configuration. Without a base file
// only the node is checked. Errors in the settings are returned as conf.Errors.
func Check(out io.Writer, base string, overlays []string, node string) (err error) {
	if node != "" {
		set, err := conf.LoadNode(node)
		if err != nil {
			return err
		}
		if base == "" {
			_, err = fmt.Fprintf(out, "ok: node %s\n", set.Name)
			return err
		}
	}
	doc, err := conf.ReadDocument(base, overlays)
	if err != nil {
		return err
	}
	sts, err := doc.Evaluate()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "ok: %d sites\n", len(sts))
	return err
}

// Show prints the effective settings of a site with the origin of each value.
func Show(out io.Writer, base string, overlays []string, site string) (err error) {
	defer errs.Annotate(&err, "show settings")
	doc, err := conf.ReadDocument(base, overlays)
	if err != nil {
		return err
	}
	sts, err := doc.Evaluate()
	if err != nil {
		return err
	}
	sit, fnd := sts[site]
	if !fnd {
		return errors.Errorf("unknown site %q; sites are %v", site, conf.SiteNames(sts))
	}
	return conf.WriteValues(out, sit.Values())
}
