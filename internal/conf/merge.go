package conf

// Overlay holds the differences between the configuration of one site and the base.
type Overlay struct {
	// Site is a failure domain of the base.
	Site string
	// Changes has the structure of the base but contains only the values that differ; nil if there are none.
	Changes *Tree
}

const (
	siteField    = "Site"
	changesField = "Changes"
)

// ParseOverlay parses an overlay file; err is Errors.
func ParseOverlay(file string, text []byte) (ovl Overlay, err error) {
	tre, err := Parse(file, text)
	if err != nil {
		return Overlay{}, err
	}
	var ers Errors
	for _, fld := range tre.Fields {
		switch fld.Name {
		case siteField:
			ovl.Site = fld.Value.Scalar
		case changesField:
			ovl.Changes = fld.Value
		default:
			ers.add(fld.Position, fld.Name, "field %s not allowed; allowed are %s, %s", fld.Name, siteField, changesField)
		}
	}
	if ovl.Site == "" {
		ers.add(tre.Position, siteField, "is missing")
	}
	return ovl, ers.orNil()
}

// Merge returns the base with the values of the overlay applied, and does not modify the base. It is an error
// if the overlay names a value that the base does not set, or repeats the value of the base; err is Errors.
func Merge(base *Tree, ovl Overlay) (tre *Tree, err error) {
	if ovl.Changes == nil {
		return base, nil
	}
	var ers Errors
	tre = merge(base, ovl.Changes, "", &ers)
	return tre, ers.orNil()
}

// merge returns base with chg applied, and adds errors to ers.
func merge(base, chg *Tree, path string, ers *Errors) *Tree {
	if base.Kind != chg.Kind {
		ers.add(chg.Position, path, "has another shape than in %s", base.Position)
		return base
	}
	switch chg.Kind {
	case Mapping:
		return mergeFields(base, chg, path, ers)
	case Sequence:
		return mergeItems(base, chg, path, ers)
	default:
		if base.Scalar == chg.Scalar {
			ers.add(chg.Position, path, "value %s is unchanged from %s", chg.Scalar, base.Position)
		}
		return chg
	}
}

func mergeFields(base, chg *Tree, path string, ers *Errors) *Tree {
	res := *base
	res.Fields = append([]Field(nil), base.Fields...)
	for _, fld := range chg.Fields {
		idx := fieldIndex(res.Fields, fld.Name)
		if idx < 0 {
			ers.add(fld.Position, joinPath(path, fld.Name), "field %s not allowed; the base does not set it", fld.Name)
			continue
		}
		// The Name in a change only identifies the list element.
		if fld.Name == nameField {
			continue
		}
		res.Fields[idx].Value = merge(res.Fields[idx].Value, fld.Value, joinPath(path, fld.Name), ers)
	}
	return &res
}

// mergeItems merges each element in chg into the element of base with the same name; an element without one is an
// error. A list of scalars is replaced as a whole.
func mergeItems(base, chg *Tree, path string, ers *Errors) *Tree {
	if len(chg.Items) > 0 && chg.Items[0].Kind == Scalar {
		return chg
	}
	res := *base
	res.Items = append([]*Tree(nil), base.Items...)
	for pos, itm := range chg.Items {
		nam := elementName(itm, pos)
		idx := itemIndex(res.Items, nam)
		if idx < 0 {
			ers.add(itm.Position, elementPath(path, nam), "no element named %s in %s", nam, base.Position)
			continue
		}
		res.Items[idx] = merge(res.Items[idx], itm, elementPath(path, nam), ers)
	}
	return &res
}

func fieldIndex(fls []Field, name string) int {
	for idx, fld := range fls {
		if fld.Name == name {
			return idx
		}
	}
	return -1
}

func itemIndex(its []*Tree, name string) int {
	for idx, itm := range its {
		if elementName(itm, idx) == name {
			return idx
		}
	}
	return -1
}
