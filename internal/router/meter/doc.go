// Package meter records what requests met: metrics by tally for scraping in the
// Prometheus format, and the observations that the burn report is made from.
package meter
