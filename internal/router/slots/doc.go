// Package slots divides the slots of upstreams between the nodes.
//
// Alone gives every node its fair share by a hash of names, without a message.
// It is the baseline, and what a node falls back to when the home of an
// upstream is silent.
//
// Leased asks the home of each upstream, which is one live node of the
// upstream's region, chosen by rendezvous hashing. Holders report what they hold
// and want; the home divides the slots in tier order, with a minimum for each
// tier that has demand, and spreads what is left over as standing slots, so that
// an uncontended request costs no message. A lease lives for a short time. A
// home never promises a slot that another holder may still use: a lowered limit
// counts until the holder confirms it or its lease ends.
//
// The state is soft. A new home first hears out the holders for one lease's
// life, during which it grants no more than the fair share. Two homes, old and
// new, therefore commit at most twice an upstream's slots, for at most one
// lease's life; the engine queues the excess by priority.
package slots
