// Package intake bounds the memory, the connections and the descriptors that callers make a node hold.
//
// A Budget counts bytes. What a caller makes the node hold, such as the body of a request, is a Hold, which grows before memory is
// allocated and waits if the bound is reached. If it stays reached, the Budget aborts the request that made the least progress. A
// Listener counts connections and closes the one that has been without a complete request for longest. Both decide without
// a network; the code that reads and writes reports progress to them.
package intake
