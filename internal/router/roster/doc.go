// Package roster keeps the registry of live upstream instances.
//
// Each upstream writes a record of itself to the platform's store: its service, address, start time
// and whether it is draining. A Roster builds the list of available instances of each service from
// these records. An instance whose record is deleted or cannot be decoded is removed at once. One
// whose record expired during an outage of the store is kept for a grace period first, in which a
// live upstream writes its record again.
//
// A store that was restored from a copy lists upstreams as they were some seconds before. Of such records, a Roster ignores those
// that are older by the upstream's own numbers than what it knows, so that no upstream that is draining or gone becomes
// available again.
package roster
