// Hbsoak runs the fault soak for one or more seeds and exits with 1 when a promise was broken.
package main
