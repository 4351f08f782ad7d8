package conf

import (
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Value is one effective setting and its origin.
type Value struct {
	Path string
	Text string
	// Origin is the file:line:column that sets the value, or "default".
	Origin string
}

const (
	originDefault = "default"
	redactedText  = "(hidden)"
)

// Values lists the effective settings of a site in the order of the fields of Config. Digests of keys are
// replaced by a placeholder.
func (sit Site) Values() (vls []Value) {
	walkValues(reflect.ValueOf(sit.Config), "", sit.Tree, &vls)
	return vls
}

// WriteValues prints one line for each value, with its path, text and origin.
func WriteValues(out io.Writer, vls []Value) (err error) {
	for _, val := range vls {
		if _, err = fmt.Fprintf(out, "%s: %s  # %s\n", val.Path, val.Text, val.Origin); err != nil {
			return err
		}
	}
	return nil
}

// walkValues appends the scalars in val. The Tree tre, which is nil for defaults, has their positions.
func walkValues(val reflect.Value, path string, tre *Tree, vls *[]Value) {
	switch {
	case val.Type() == durationType:
		appendValue(path, time.Duration(val.Int()).String(), tre, vls)
	case val.Kind() == reflect.Struct:
		for idx := range val.NumField() {
			nam := val.Type().Field(idx).Name
			walkValues(val.Field(idx), joinPath(path, nam), tre.Get(nam), vls)
		}
	case val.Kind() == reflect.Slice:
		walkSlice(val, path, tre, vls)
	default:
		appendValue(path, fmt.Sprint(val.Interface()), tre, vls)
	}
}

func walkSlice(val reflect.Value, path string, tre *Tree, vls *[]Value) {
	for idx := range val.Len() {
		var itm *Tree
		nam := strconv.Itoa(idx)
		if tre != nil && idx < len(tre.Items) {
			itm = tre.Items[idx]
			nam = elementName(itm, idx)
		}
		// A digest must not appear as the name of its list element.
		if strings.HasSuffix(path, "KeyDigests") {
			nam = strconv.Itoa(idx)
		}
		walkValues(val.Index(idx), elementPath(path, nam), itm, vls)
	}
}

func appendValue(path, text string, tre *Tree, vls *[]Value) {
	org := originDefault
	if tre != nil {
		org = tre.Position.String()
	}
	if strings.Contains(path, "KeyDigest") {
		text = redactedText
	}
	*vls = append(*vls, Value{Path: path, Text: text, Origin: org})
}
