// Package terms records what upstreams state about themselves in the headers of their answers.
//
// An upstream in trouble states a rate limit: the requests per second that it accepts from all nodes together. The limit holds
// until the upstream answers a later request without stating one. A Registry holds the statements by incarnation, and logs
// how many requests this node sends to each upstream that states a limit.
//
// An upstream that rejects a request may state for how long it accepts no others from this node. Other nodes are not told.
//
// An upstream that is about to stop states that it is leaving. That holds for the rest of its incarnation.
package terms
