// Command hornbeamdyke is the request router, which sends requests of callers to language-model
// engines and other HTTP services by service level and priority, together with its operators'
// tools. Every node of a cluster runs the same binary.
//
// The command serve runs a node; apply and drain change a running cluster. The commands check,
// show, status, report, explain and version only read.
//
// The exit code is 0 on success, 1 on failure, and 2 for an invalid command line.
package main
