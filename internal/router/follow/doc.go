// Package follow keeps a node's copy of one kind of the platform's records.
//
// A Follower reads everything once and then waits for changes after the newest
// version it has. Records only move forward: an older version never replaces a
// newer one, wherever it comes from. While the store cannot be reached the copy
// stays as it is, and peers may offer what they have.
package follow
