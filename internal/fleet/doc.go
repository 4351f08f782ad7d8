// Package fleet runs a complete deployment on one machine, for tests, benchmarks and demos: each router
// node and everything that the nodes connect to is a process of its own.
//
// The deployment is read from an example directory with the base configuration (base.yaml), its overlays
// (overlays/*.yaml) and the settings of each node (nodes/*.yaml). The nodes run the real binary. A
// stand-in, a process of the hbstand binary, imitates each upstream at the address in the base
// configuration, the platform's metadata store and the service that publishes the VM list. Stand-ins inject
// the faults that SetFaults sends to them.
//
// A fleet kills only the processes that it started, by their process IDs.
package fleet
