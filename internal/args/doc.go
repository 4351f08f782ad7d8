// Package args is the common main function of the auxiliary programs in cmd/: it parses the
// command line, runs the program and sets the exit code.
package args
