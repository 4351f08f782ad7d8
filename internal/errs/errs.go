package errs

import "github.com/go-faster/errors"

// Annotate wraps *err with a message, or does nothing when *err is nil. It is meant to be deferred.
func Annotate(err *error, msg string) {
	if *err != nil {
		*err = errors.Wrap(*err, msg)
	}
}

// Annotatef is Annotate with a formatted message. A deferred call evaluates args at the defer statement.
func Annotatef(err *error, format string, args ...any) {
	if *err != nil {
		*err = errors.Wrapf(*err, format, args...)
	}
}
