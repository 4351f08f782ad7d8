// Command hbload compares scheduling policies under load. It starts an example
// deployment for each scenario, seed and policy, measures latency and correctness
// from the callers' side, and writes the results as JSON and as an HTML page.
package main
