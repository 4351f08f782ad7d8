package audit

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Action states how an entry differs.
type Action string

// The values of Action.
const (
	Added   Action = "Added"
	Removed Action = "Removed"
	Changed Action = "Changed"
)

// Difference is an entry that differs between two manifests.
type Difference struct {
	Action Action
	// Entry is the place in the new manifest, or in the old one for what was removed.
	Entry Entry
	// Name identifies the entry for readers.
	Name string
	// Fields are the changed fields.
	Fields []FieldChange
}

// FieldChange is a field with its values; those of secrets are left out.
type FieldChange struct {
	Field    string
	Old, New string
}

// Compare returns what differs in a manifest from an older one, entry by entry.
func Compare(old, man *router.Manifest) (dfs []Difference) {
	dfs = append(dfs, compareLists(Routes, old.Routes, man.Routes, func(rou router.Route) string {
		return fmt.Sprintf("%s (%s%s)", rou.Name, rou.Host, rou.Prefix)
	}, func(rou router.Route) string { return rou.Name + "\n" + rou.Host + "\n" + rou.Prefix })...)
	for _, nam := range slices.Sorted(maps.Keys(man.Services)) {
		ent := Entry{Section: Services, Service: nam}
		if spc, fnd := old.Services[nam]; !fnd {
			dfs = append(dfs, Difference{Action: Added, Entry: ent, Name: nam})
		} else if fds := changes("", reflect.ValueOf(spc), reflect.ValueOf(man.Services[nam])); len(fds) > 0 {
			dfs = append(dfs, Difference{Action: Changed, Entry: ent, Name: nam, Fields: fds})
		}
	}
	for _, nam := range slices.Sorted(maps.Keys(old.Services)) {
		if _, fnd := man.Services[nam]; !fnd {
			dfs = append(dfs, Difference{Action: Removed, Entry: Entry{Section: Services, Service: nam}, Name: nam})
		}
	}
	name := func(acc router.Account) string { return acc.Name }
	dfs = append(dfs, compareLists(Accounts, old.Accounts, man.Accounts, name, name)...)
	if fds := changes("", reflect.ValueOf(old.Limits), reflect.ValueOf(man.Limits)); len(fds) > 0 {
		dfs = append(dfs, Difference{Action: Changed, Entry: Entry{Section: Limits}, Name: "limits", Fields: fds})
	}
	return dfs
}

// compareLists compares two lists whose entries are identified by a key. Of entries with the same key, the first ones correspond, the
// second ones, and so on.
func compareLists[Val any](sec Section, old, now []Val, name, key func(val Val) string) (dfs []Difference) {
	before := make(map[string][]int)
	for num, val := range old {
		before[key(val)] = append(before[key(val)], num)
	}
	for num, val := range now {
		ent := Entry{Section: sec, Index: num}
		nms := before[key(val)]
		if len(nms) == 0 {
			dfs = append(dfs, Difference{Action: Added, Entry: ent, Name: name(val)})
			continue
		}
		before[key(val)] = nms[1:]
		if fds := changes("", reflect.ValueOf(old[nms[0]]), reflect.ValueOf(val)); len(fds) > 0 {
			dfs = append(dfs, Difference{Action: Changed, Entry: ent, Name: name(val), Fields: fds})
		}
	}
	for num, val := range old {
		if slices.Contains(before[key(val)], num) {
			dfs = append(dfs, Difference{Action: Removed, Entry: Entry{Section: sec, Index: num}, Name: name(val)})
		}
	}
	return dfs
}

// changes returns the fields in which two structs of the same type differ; pointers to structs are followed.
func changes(path string, old, now reflect.Value) (fds []FieldChange) {
	for num := range old.NumField() {
		fld := old.Type().Field(num)
		one, oth := old.Field(num), now.Field(num)
		if reflect.DeepEqual(one.Interface(), oth.Interface()) {
			continue
		}
		nam := path + fld.Name
		switch {
		case fld.Name == string(Keys):
			fds = append(fds, keyChange(nam, one.Interface().([]string), oth.Interface().([]string)))
		case fld.Type.Kind() == reflect.Pointer && !one.IsNil() && !oth.IsNil():
			fds = append(fds, changes(nam+".", one.Elem(), oth.Elem())...)
		default:
			fds = append(fds, FieldChange{Field: nam, Old: text(one), New: text(oth)})
		}
	}
	return fds
}

// keyChange counts the keys that were added and removed.
func keyChange(nam string, old, now []string) FieldChange {
	missing := func(from, list []string) (num int) {
		for _, key := range list {
			if !slices.Contains(from, key) {
				num++
			}
		}
		return num
	}
	return FieldChange{Field: nam, Old: fmt.Sprintf("%d removed", missing(now, old)), New: fmt.Sprintf("%d added", missing(old, now))}
}

// text returns a value for readers.
func text(val reflect.Value) string {
	if val.Kind() == reflect.Pointer {
		if val.IsNil() {
			return "none"
		}
		val = val.Elem()
	}
	if pol, fnd := val.Interface().(router.RetryPolicy); fnd {
		return [...]string{"AtMostOnce", "Idempotent", "Resumable"}[pol]
	}
	txt := strings.TrimSpace(fmt.Sprintf("%+v", val.Interface()))
	if txt == "" {
		return `""`
	}
	return txt
}
