// Package route matches calls to the routes and accounts of a manifest.
//
// A manifest lists routes, each with a host, a path prefix and weighted backend services, and
// accounts, each with the keys of one workspace. An Index returns the route and the account of a
// call and its ranks, which are its priorities at an engine. The index of a manifest is immutable, so
// that one version of the manifest applies to a whole call even if a newer one is installed meanwhile.
package route
