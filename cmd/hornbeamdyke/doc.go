// Command hornbeamdyke routes language-model traffic with service levels and
// priorities. Every node runs the same binary; the subcommands serve, check,
// show, status and version are described by --help.
//
// The exit code is 0 when the work was done, 1 when it failed, and 2 when the
// command line was wrong.
package main
