// Package fleet runs a whole deployment on one machine as separate processes:
// the nodes of an example directory and a stand-in for everything around them.
//
// The directory has base.yaml, overlays/ and nodes/. Every upstream of the base
// becomes an hbstand process at the upstream's address. A fleet stops only the
// processes that it started, each by its process id.
package fleet
