// Package admin is the HTTP API of a node for its operators.
//
// Health checks and metrics need no key. Everything under /admin/v1 needs the key of
// an operator as a bearer token: queries (query.go) only read and need the role
// Viewer or Editor; commands (command.go, change.go) need the role Editor.
//
// The configuration of the cluster is a sequence of numbered revisions (see package
// revise). A change is an operator's edit; it is accepted as the next revision only
// if the revision that it was made against is still the newest, and rejected with a
// conflict otherwise. A change carries an ID that its client chose, so that it can
// safely be sent again.
//
// Bodies are JSON. The fields of Status, Member, Failure, Change, Accepted and
// Revision are encoded under their Go names, which are therefore part of the API.
package admin
