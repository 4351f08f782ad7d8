// Package query holds what the command line reads: it changes nothing.
package query
