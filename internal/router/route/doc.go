// Package route finds the route and the workspace of a call in a manifest.
//
// An Index is built once for a manifest and never changes, so that a call is
// judged by one version from beginning to end.
package route
