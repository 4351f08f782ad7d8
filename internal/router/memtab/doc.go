// Package memtab implements router.Table and router.Objects in the memory of one process.
//
// It is used by nodes that run without a platform, by the simulated platform and by tests.
package memtab
