package conf

import (
	"reflect"
	"strconv"
	"strings"
	"time"
)

var durationType = reflect.TypeOf(time.Duration(0))

// Decode fills the struct that out points to. Values that the tree leaves out or sets to null stay as they
// are; err is Errors with all errors.
func Decode(tre *Tree, out any) (err error) {
	var ers Errors
	decodeValue(tre, reflect.ValueOf(out).Elem(), "", &ers)
	return ers.orNil()
}

func decodeValue(tre *Tree, val reflect.Value, path string, ers *Errors) {
	if tre.Kind == Scalar && tre.Tag == "!!null" {
		return
	}
	switch {
	case val.Type() == durationType:
		decodeDuration(tre, val, path, ers)
	case val.Kind() == reflect.Struct:
		decodeStruct(tre, val, path, ers)
	case val.Kind() == reflect.Slice:
		decodeSlice(tre, val, path, ers)
	default:
		decodeScalar(tre, val, path, ers)
	}
}

func decodeStruct(tre *Tree, val reflect.Value, path string, ers *Errors) {
	if tre.Kind != Mapping {
		ers.add(tre.Position, path, "must be a mapping with the fields %s", fieldNames(val.Type()))
		return
	}
	for _, fld := range tre.Fields {
		mem := val.FieldByName(fld.Name)
		if !mem.IsValid() {
			ers.add(fld.Position, joinPath(path, fld.Name), "field %s not allowed; allowed are %s", fld.Name, fieldNames(val.Type()))
			continue
		}
		decodeValue(fld.Value, mem, joinPath(path, fld.Name), ers)
	}
}

func decodeSlice(tre *Tree, val reflect.Value, path string, ers *Errors) {
	if tre.Kind != Sequence {
		ers.add(tre.Position, path, "must be a list")
		return
	}
	val.Set(reflect.MakeSlice(val.Type(), len(tre.Items), len(tre.Items)))
	seen := make(map[string]bool)
	for idx, itm := range tre.Items {
		nam := elementName(itm, idx)
		if seen[nam] {
			ers.add(itm.Position, elementPath(path, nam), "duplicate name %s", nam)
		}
		seen[nam] = true
		decodeValue(itm, val.Index(idx), elementPath(path, nam), ers)
	}
}

func decodeDuration(tre *Tree, val reflect.Value, path string, ers *Errors) {
	dur, err := time.ParseDuration(tre.Scalar)
	if tre.Kind != Scalar || err != nil {
		ers.add(tre.Position, path, "%q is not a duration; write a number with ms, s, m or h, such as 250ms", tre.Scalar)
		return
	}
	val.SetInt(int64(dur))
}

func decodeScalar(tre *Tree, val reflect.Value, path string, ers *Errors) {
	if tre.Kind != Scalar {
		ers.add(tre.Position, path, "must be a single value")
		return
	}
	switch val.Kind() {
	case reflect.String:
		val.SetString(tre.Scalar)
	case reflect.Bool:
		decodeParsed(tre, path, ers, "true or false", strconv.ParseBool, val.SetBool)
	case reflect.Float64:
		parse := func(txt string) (float64, error) { return strconv.ParseFloat(txt, 64) }
		decodeParsed(tre, path, ers, "a number", parse, val.SetFloat)
	default:
		parse := func(txt string) (int64, error) { return strconv.ParseInt(txt, 10, 64) }
		decodeParsed(tre, path, ers, "a whole number without a unit", parse, val.SetInt)
	}
}

// decodeParsed parses a scalar and passes the result to set. The text want describes valid values.
func decodeParsed[T any](tre *Tree, path string, ers *Errors, want string, parse func(string) (T, error), set func(T)) {
	val, err := parse(tre.Scalar)
	if err != nil {
		ers.add(tre.Position, path, "%q is not %s", tre.Scalar, want)
		return
	}
	set(val)
}

// fieldNames lists the fields of a struct type for error messages.
func fieldNames(typ reflect.Type) string {
	nms := make([]string, 0, typ.NumField())
	for idx := range typ.NumField() {
		nms = append(nms, typ.Field(idx).Name)
	}
	return strings.Join(nms, ", ")
}
