package conf

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"go.yaml.in/yaml/v3"
)

// Position is the location of a value in the settings files.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns file:line:column.
func (pos Position) String() string {
	return fmt.Sprintf("%s:%d:%d", pos.File, pos.Line, pos.Column)
}

// Tree is a YAML value with its position.
type Tree struct {
	Position Position
	// Scalar is the text of a scalar.
	Scalar string
	// Tag is the YAML tag of a scalar, such as !!null.
	Tag string
	// Fields are the members of a mapping in the order of the file; nil for other kinds.
	Fields []Field
	// Items are the elements of a sequence; nil for other kinds.
	Items []*Tree
	Kind  Kind
}

// Field is a member of a mapping.
type Field struct {
	Name     string
	Position Position
	Value    *Tree
}

// Kind is the kind of a YAML value.
type Kind int

// The values of Kind.
const (
	Scalar Kind = iota + 1
	Mapping
	Sequence
)

// nameField is the field that identifies a list element.
const nameField = "Name"

// Parse parses one YAML document; err is Errors. Aliases and repeated keys are errors.
func Parse(file string, text []byte) (tre *Tree, err error) {
	var doc yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(text))
	if err := dec.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, Errors{{Position: Position{File: file, Line: 1, Column: 1}, Message: "file is empty"}}
		}
		return nil, Errors{syntaxError(file, err)}
	}
	var ers Errors
	tre = convertNode(file, doc.Content[0], "", &ers)
	return tre, ers.orNil()
}

// Get returns the value of a mapping's field, or nil.
func (tre *Tree) Get(name string) *Tree {
	if tre == nil {
		return nil
	}
	for _, fld := range tre.Fields {
		if fld.Name == name {
			return fld.Value
		}
	}
	return nil
}

// Find returns the value at a path such as Pools[chat].Kind, or nil.
func (tre *Tree) Find(path string) *Tree {
	cur := tre
	for _, stp := range splitPath(path) {
		if cur == nil {
			return nil
		}
		cur = cur.child(stp)
	}
	return cur
}

func (tre *Tree) child(stp pathStep) *Tree {
	if !stp.isElement {
		return tre.Get(stp.name)
	}
	for idx, itm := range tre.Items {
		if elementName(itm, idx) == stp.name {
			return itm
		}
	}
	return nil
}

// pathStep is one step of a path: a field of a mapping, or an element of a list.
type pathStep struct {
	name      string
	isElement bool
}

func splitPath(path string) (sts []pathStep) {
	for path != "" {
		switch path[0] {
		case '.':
			path = path[1:]
		case '[':
			end := strings.IndexByte(path, ']')
			if end < 0 {
				return sts
			}
			sts = append(sts, pathStep{name: path[1:end], isElement: true})
			path = path[end+1:]
		default:
			end := strings.IndexAny(path, ".[")
			if end < 0 {
				end = len(path)
			}
			sts = append(sts, pathStep{name: path[:end]})
			path = path[end:]
		}
	}
	return sts
}

// elementName returns the name of a list element in a path: its field Name, else its text if it is a scalar,
// else its index.
func elementName(itm *Tree, idx int) string {
	if nam := itm.Get(nameField); nam != nil && nam.Scalar != "" {
		return nam.Scalar
	}
	if itm.Kind == Scalar {
		return itm.Scalar
	}
	return strconv.Itoa(idx)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func elementPath(path, name string) string {
	return path + "[" + name + "]"
}

// convertNode converts a node of the YAML parser to a Tree.
func convertNode(file string, nod *yaml.Node, path string, ers *Errors) *Tree {
	tre := &Tree{Position: Position{File: file, Line: nod.Line, Column: nod.Column}}
	switch nod.Kind {
	case yaml.MappingNode:
		tre.Kind = Mapping
		convertMapping(tre, file, nod, path, ers)
	case yaml.SequenceNode:
		tre.Kind = Sequence
		for idx, chd := range nod.Content {
			tre.Items = append(tre.Items, convertNode(file, chd, elementPath(path, strconv.Itoa(idx)), ers))
		}
	case yaml.ScalarNode:
		tre.Kind = Scalar
		tre.Scalar = nod.Value
		tre.Tag = nod.ShortTag()
	default:
		tre.Kind = Scalar
		ers.add(tre.Position, path, "aliases are not allowed")
	}
	return tre
}

func convertMapping(tre *Tree, file string, nod *yaml.Node, path string, ers *Errors) {
	seen := make(map[string]bool)
	for idx := 0; idx+1 < len(nod.Content); idx += 2 {
		key := nod.Content[idx]
		pos := Position{File: file, Line: key.Line, Column: key.Column}
		pth := joinPath(path, key.Value)
		if seen[key.Value] {
			ers.add(pos, pth, "field %s appears twice", key.Value)
			continue
		}
		seen[key.Value] = true
		val := convertNode(file, nod.Content[idx+1], pth, ers)
		tre.Fields = append(tre.Fields, Field{Name: key.Value, Position: pos, Value: val})
	}
}

// syntaxError moves the line number from the text of a YAML error into the position.
func syntaxError(file string, err error) Error {
	msg := strings.TrimPrefix(err.Error(), "yaml: ")
	lin := 1
	var num int
	if _, scn := fmt.Sscanf(msg, "line %d:", &num); scn == nil {
		lin = num
		msg = strings.TrimSpace(msg[strings.IndexByte(msg, ':')+1:])
	}
	return Error{Position: Position{File: file, Line: lin, Column: 1}, Message: msg}
}
