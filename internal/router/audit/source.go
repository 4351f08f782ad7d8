package audit

import (
	"cmp"
	"slices"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Position is a place in a text; lines and columns (in bytes) begin with 1.
type Position struct {
	Line, Column int
}

// Located is a finding with its place in the operators' text.
type Located struct {
	Position Position
	// Path identifies the value in the text.
	Path    string
	Error   bool
	Message string
}

// Source is a manifest with the places of its entries in the operators' text.
type Source struct {
	Manifest *router.Manifest
	// Locate returns the place of an entry and its path; a field that is left out is located at its entry.
	Locate func(ent Entry) (pos Position, path string)
	// Findings are faults of the text that the manifest does not show.
	Findings []Located
}

// Check returns the findings for the manifest in the order of their positions. A manifest that is not newer than old, which may be nil,
// is an error, since nodes ignore it.
func (src Source) Check(ctx Context, old *router.Manifest) (lcs []Located) {
	fds := Check(src.Manifest, ctx)
	if old != nil && src.Manifest.Version <= old.Version {
		fds = append(fds, Finding{
			Entry: Entry{Section: Whole, Field: Version}, Error: true,
			Message: "the version is not above that in force, so that nodes ignore the manifest",
		})
	}
	lcs = slices.Clone(src.Findings)
	for _, fnd := range fds {
		pos, path := src.Locate(fnd.Entry)
		lcs = append(lcs, Located{Position: pos, Path: path, Error: fnd.Error, Message: fnd.Message})
	}
	slices.SortStableFunc(lcs, func(one, oth Located) int {
		return cmp.Or(cmp.Compare(one.Position.Line, oth.Position.Line), cmp.Compare(one.Position.Column, oth.Position.Column),
			cmp.Compare(one.Path, oth.Path), cmp.Compare(one.Message, oth.Message))
	})
	return lcs
}
