// Command hbload starts an example deployment, drives it through scenarios with
// the policy and its baselines, and writes what callers saw as JSON and a page.
package main
