// Package errs adds context to errors when a function returns.
//
// A function names its error result and defers one call of Annotate:
//
//	func load(path string) (err error) {
//		defer errs.Annotatef(&err, "load %s", path)
//
// Every error that it returns then carries the context exactly once.
package errs
