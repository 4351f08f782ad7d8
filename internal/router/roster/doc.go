// Package roster knows which upstreams exist and which of them take new work.
//
// It follows the records that upstreams write of themselves. A record that
// cannot be read names no upstream. One that disappeared while the store was
// away is kept for a short time, in which a living upstream writes it again.
package roster
