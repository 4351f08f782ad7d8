// Command hbbench measures what a node costs: its control work by the size of
// the deployment, and what it adds to a request compared with a direct call.
package main
