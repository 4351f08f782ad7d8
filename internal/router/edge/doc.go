// Package edge is the node that carries requests from callers to upstreams.
//
// A Node follows the operators' manifest and the upstreams' records, and serves
// callers by them. Front judges a request: its route, its workspace, its size.
// Package send carries it. The node is ready once it has a manifest and has
// read the upstreams' records; a planned stop makes it unready, and lets
// everything under way end.
package edge
