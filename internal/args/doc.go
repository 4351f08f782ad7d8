// Package args runs the project's auxiliary programs: it parses their command
// lines and turns what they return into exit codes.
package args
