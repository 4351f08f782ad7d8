package conf

import (
	"bytes"

	"github.com/go-faster/errors"
	"go.yaml.in/yaml/v3"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const workspacesField = "Workspaces"

// ErrNoWorkspace is returned when the configuration has no workspace of the given name.
var ErrNoWorkspace = errors.New("no such workspace")

// SetWorkspace adds or replaces one workspace in the text of a base file. It preserves all other values and the
// comments.
func SetWorkspace(text string, wsp router.Workspace) (res string, err error) {
	defer errs.Annotatef(&err, "set workspace %s", wsp.Name)
	return editWorkspaces(text, func(lst *yaml.Node) error {
		nod := workspaceNode(wsp)
		for idx, itm := range lst.Content {
			if itemName(itm) == wsp.Name {
				lst.Content[idx] = nod
				return nil
			}
		}
		lst.Content = append(lst.Content, nod)
		return nil
	})
}

// DeleteWorkspace removes one workspace from the text of a base file; err wraps ErrNoWorkspace if there is none
// of that name.
func DeleteWorkspace(text, name string) (res string, err error) {
	defer errs.Annotatef(&err, "delete workspace %s", name)
	return editWorkspaces(text, func(lst *yaml.Node) error {
		for idx, itm := range lst.Content {
			if itemName(itm) == name {
				lst.Content = append(lst.Content[:idx], lst.Content[idx+1:]...)
				return nil
			}
		}
		return ErrNoWorkspace
	})
}

// editWorkspaces parses text, applies edit to its list of workspaces and encodes the result.
func editWorkspaces(text string, edit func(lst *yaml.Node) error) (res string, err error) {
	var doc yaml.Node
	if err := yaml.Unmarshal([]byte(text), &doc); err != nil {
		return "", err
	}
	if len(doc.Content) == 0 {
		return "", errors.New("file is empty")
	}
	if err := edit(workspaceList(doc.Content[0])); err != nil {
		return "", err
	}
	var buf bytes.Buffer
	enc := yaml.NewEncoder(&buf)
	enc.SetIndent(2)
	if err := enc.Encode(&doc); err != nil {
		return "", err
	}
	return buf.String(), nil
}

// workspaceList returns the list of workspaces, and adds an empty one if the file has none.
func workspaceList(root *yaml.Node) *yaml.Node {
	for idx := 0; idx+1 < len(root.Content); idx += 2 {
		if root.Content[idx].Value == workspacesField {
			return root.Content[idx+1]
		}
	}
	lst := &yaml.Node{Kind: yaml.SequenceNode, Tag: "!!seq"}
	root.Content = append(root.Content, stringNode(workspacesField), lst)
	return lst
}

func workspaceNode(wsp router.Workspace) *yaml.Node {
	nod := &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map"}
	add := func(nam string, val any) {
		var enc yaml.Node
		// Strings, numbers and lists of strings always encode.
		_ = enc.Encode(val)
		nod.Content = append(nod.Content, stringNode(nam), &enc)
	}
	add(nameField, wsp.Name)
	add("KeyDigests", wsp.KeyDigests)
	add("RequestRate", wsp.RequestRate)
	add("Burst", wsp.Burst)
	add("InFlight", wsp.InFlight)
	add("Classes", wsp.Classes)
	return nod
}

func stringNode(val string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: val}
}

// itemName returns the value of an item's field Name, or "".
func itemName(itm *yaml.Node) string {
	for idx := 0; idx+1 < len(itm.Content); idx += 2 {
		if itm.Content[idx].Value == nameField {
			return itm.Content[idx+1].Value
		}
	}
	return ""
}
