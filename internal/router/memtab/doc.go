// Package memtab keeps rows and objects in the memory of one process.
//
// It serves a node that runs without a platform, the stand-ins, and tests.
package memtab
