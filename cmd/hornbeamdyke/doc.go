// Command hornbeamdyke routes language-model traffic with service levels and
// priorities. Every node runs the same binary. The commands serve, apply and
// drain change something; check, show, status, report and version only read.
//
// The exit code is 0 when the work was done, 1 when it failed, and 2 when the
// command line was wrong.
package main
