package conf

import (
	"os"
	"sort"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
)

// Source is the name and the text of a settings file.
type Source struct {
	File string
	Text string
}

// Document is a configuration as operators write it: a base file and the overlays of the sites.
type Document struct {
	Base     Source
	Overlays []Source
}

// Site is the evaluated configuration of one site.
type Site struct {
	Config Config
	// Tree holds the merged settings with the position of each value.
	Tree *Tree
}

// ReadDocument reads the files of a configuration without parsing them; err names a file that cannot be read.
func ReadDocument(base string, overlays []string) (doc Document, err error) {
	doc.Base, err = readSource(base)
	if err != nil {
		return Document{}, err
	}
	for _, fil := range overlays {
		src, err := readSource(fil)
		if err != nil {
			return Document{}, err
		}
		doc.Overlays = append(doc.Overlays, src)
	}
	return doc, nil
}

// Evaluate parses, merges, decodes and checks the configuration of every site.
//
// The result has one entry for each failure domain. An error that several sites share is reported once; err is
// Errors.
func (doc Document) Evaluate() (sts map[string]Site, err error) {
	base, err := Parse(doc.Base.File, []byte(doc.Base.Text))
	if err != nil {
		return nil, err
	}
	bas, ers := evaluate(base)
	ovls := doc.parseOverlays(&ers)
	sts = make(map[string]Site)
	for _, dom := range bas.Config.FailureDomains {
		sts[dom.Name] = bas
	}
	for _, ovl := range ovls {
		if _, fnd := sts[ovl.Site]; !fnd {
			ers.add(ovl.position, siteField, "unknown site %q; a site is a failure domain of the base", ovl.Site)
			continue
		}
		tre, err := Merge(base, ovl.Overlay)
		if err != nil {
			ers.merge(err)
			continue
		}
		sit, sub := evaluate(tre)
		ers.merge(sub)
		sts[ovl.Site] = sit
	}
	return sts, ers.dedupe().orNil()
}

// LoadNode reads, decodes and checks the settings of a node.
func LoadNode(file string) (nod Node, err error) {
	src, err := readSource(file)
	if err != nil {
		return Node{}, err
	}
	tre, err := Parse(src.File, []byte(src.Text))
	if err != nil {
		return Node{}, err
	}
	nod = DefaultNode()
	if err := Decode(tre, &nod); err != nil {
		return Node{}, err
	}
	return nod, CheckNode(nod, tre)
}

// positionedOverlay is an overlay with the position that errors about its site refer to.
type positionedOverlay struct {
	Overlay

	position Position
}

func (doc Document) parseOverlays(ers *Errors) (ovls []positionedOverlay) {
	seen := make(map[string]bool)
	for _, src := range doc.Overlays {
		ovl, err := ParseOverlay(src.File, []byte(src.Text))
		if err != nil {
			ers.merge(err)
			continue
		}
		pos := Position{File: src.File, Line: 1, Column: 1}
		if seen[ovl.Site] {
			ers.add(pos, siteField, "site %s has two overlays", ovl.Site)
		}
		seen[ovl.Site] = true
		ovls = append(ovls, positionedOverlay{Overlay: ovl, position: pos})
	}
	return ovls
}

// evaluate decodes and checks a merged tree, and returns the errors of both stages together.
func evaluate(tre *Tree) (sit Site, ers Errors) {
	sit = Site{Config: DefaultConfig(), Tree: tre}
	ers.merge(Decode(tre, &sit.Config))
	ers.merge(Check(sit.Config, tre))
	return sit, ers
}

func readSource(file string) (src Source, err error) {
	defer errs.Annotate(&err, "read settings")
	txt, err := os.ReadFile(file)
	if err != nil {
		return Source{}, err
	}
	return Source{File: file, Text: string(txt)}, nil
}

// merge adds the errors of another stage; err must be nil or Errors.
func (ers *Errors) merge(err error) {
	var sub Errors
	if errors.As(err, &sub) {
		*ers = append(*ers, sub...)
	}
}

// dedupe drops errors that several sites share. It keeps only the first error for each path and position, so
// that a value that could not be decoded is not reported by a check too.
func (ers Errors) dedupe() (res Errors) {
	seen := make(map[Error]bool)
	pths := make(map[string]bool)
	for _, err := range ers {
		key := err.Position.String() + err.Path
		if seen[err] || err.Path != "" && pths[key] {
			continue
		}
		seen[err] = true
		pths[key] = true
		res = append(res, err)
	}
	return res
}

// SiteNames returns the names of the sites in alphabetical order.
func SiteNames(sts map[string]Site) (nms []string) {
	for nam := range sts {
		nms = append(nms, nam)
	}
	sort.Strings(nms)
	return nms
}
