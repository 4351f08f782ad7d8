// Package bench measures slopes: what one more request, token, peer, upstream,
// workspace, change or order costs a node, by varying one size at a time.
//
// Path figures come from real processes and are ratios to a direct call in the
// same run. Control figures come from the parts themselves over loopback or
// memory.
package bench
