// Package route matches calls to the routes and accounts of a manifest.
//
// A manifest lists routes, each with a host, a path prefix and weighted backend services, and
// accounts, each with the keys of one workspace. An Index answers which route and account a call
// has, and with which rank an engine queues it. The index of a manifest is immutable, so that one
// version of the manifest decides on all of a call even if a newer one is applied meanwhile.
package route
