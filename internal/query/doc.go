// Package query implements the read-only subcommands of the command line: it validates and shows
// settings from files, and reads the status and the burn rates (see package burn) of running nodes
// through their admin API.
package query
