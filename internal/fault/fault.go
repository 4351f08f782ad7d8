package fault

import "github.com/go-faster/errors"

// Annotate wraps *err with a message unless it is nil; it is meant to be deferred.
func Annotate(err *error, msg string) {
	if *err != nil {
		*err = errors.Wrap(*err, msg)
	}
}

// Annotatef is Annotate with a formatted message.
func Annotatef(err *error, format string, args ...any) {
	if *err != nil {
		*err = errors.Wrapf(*err, format, args...)
	}
}
