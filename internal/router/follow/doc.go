// Package follow maintains a node's local copy of one kind of record of the platform's store.
//
// A Follower reads all records of its kind, and then watches the store for changes by
// long polling: each call returns the changes after the newest version that the Follower
// has, or nothing when its wait ends.
//
// A node can also get changes from its peers, either because it does not watch the store
// itself (see Options.UsePeers) or because they have newer changes. Versions are the store's, so
// copies from any origin can be merged: an older version of a record never replaces a newer
// one.
//
// The versions belong to an era. When the store is restored from a copy it gives versions out again and states a later era. A
// Follower compares only versions of one era: it replaces its copy by the first snapshot of a later era, from the store or from
// a peer, and drops what comes from an earlier one. Peers that state no era are of the earliest.
//
// A copy holds all changes up to some version of the store. A snapshot shows no deletions, so a copy that was built from one
// cannot tell whether a record which only another copy holds was deleted or never existed; see Position. Two copies are
// compared by the versions up to which they are complete, never by their newest known changes alone.
//
// A copy is confirmed whenever it is known to hold all changes up to a time of the store's
// clock, by an answer of the store or by a peer that knows that nothing changed after the version up to which it is complete.
//
// During an outage of the store the copy keeps its records. Records with a short lifetime
// may expire in the store meanwhile, although their owners are alive; Update.StoreRecovered
// marks the changes in which they may be missing.
package follow
