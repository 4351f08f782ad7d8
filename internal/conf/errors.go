package conf

import (
	"fmt"
	"sort"
	"strings"
)

// Error is one error in the settings.
type Error struct {
	Position Position
	// Path identifies the value; it is empty for the whole file.
	Path    string
	Message string
}

// Error returns file:line:column, the path and the message.
func (err Error) Error() string {
	if err.Path == "" {
		return fmt.Sprintf("%s: %s", err.Position, err.Message)
	}
	return fmt.Sprintf("%s: %s: %s", err.Position, err.Path, err.Message)
}

// Errors holds all errors found in the settings, sorted by position.
type Errors []Error

// Error returns one line for each error.
func (ers Errors) Error() string {
	lns := make([]string, 0, len(ers))
	for _, err := range ers {
		lns = append(lns, err.Error())
	}
	return strings.Join(lns, "\n")
}

func (ers *Errors) add(pos Position, path, format string, args ...any) {
	*ers = append(*ers, Error{Position: pos, Path: path, Message: fmt.Sprintf(format, args...)})
}

// orNil sorts the errors and returns them as an error, or nil when there are none.
func (ers Errors) orNil() error {
	if len(ers) == 0 {
		return nil
	}
	sort.SliceStable(ers, func(one, two int) bool {
		return lessError(ers[one], ers[two])
	})
	return ers
}

// lessError orders errors by position, then by message.
func lessError(one, two Error) bool {
	if one.Position.File != two.Position.File {
		return one.Position.File < two.Position.File
	}
	if one.Position.Line != two.Position.Line {
		return one.Position.Line < two.Position.Line
	}
	if one.Position.Column != two.Position.Column {
		return one.Position.Column < two.Position.Column
	}
	return one.Message < two.Message
}
