// Package fault annotates errors.
//
// A function that can fail names its error result and defers one call of
// Annotate, so every error leaves it with the same context exactly once.
package fault
