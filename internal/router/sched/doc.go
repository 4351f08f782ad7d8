// Package sched decides which waiting request runs next, and on which upstream.
//
// A Scheduler has one pool of state for each configured pool, under a lock of
// its own. A request waits in the pool's queue until an upstream has a free
// slot for it. The queue decides the order, the picker the upstream, and the
// limits how many slots of each upstream this node may fill.
//
// When a request waits and a request of a lower tier runs that may be recalled,
// the scheduler asks for its slot back. The recalled request keeps the tokens
// it has and waits for its turn again. A request that runs by its class's
// minimum share is not recalled.
//
// The pace of each upstream is observed from the tokens of the streams that run
// there, because load reports come late. An upstream that failed gets no
// request until a pause has passed.
package sched
