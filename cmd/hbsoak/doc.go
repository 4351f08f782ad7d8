// Command hbsoak runs the randomized fault-injection test of package soak with one or more seeds. It
// prints the report of each seed as a line of JSON and exits with status 1 when a guarantee was
// violated or a seed could not run.
package main
