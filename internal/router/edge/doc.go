// Package edge implements a router node on the users' platform: an HTTP reverse proxy that matches
// requests by host and path to routes and forwards them to upstreams.
//
// A Node connects the parts of the router. It watches the platform's store for two kinds of records:
// the manifest (routes, accounts and limits, written by the operators) and the instances (written by
// the upstreams). Its mesh sends the other nodes digests (its load, the crashes of upstreams, and where
// it placed prompt prefixes) and exchanges copies of the records with them. A Handler serves the
// callers: it checks a request against the manifest (route, account, body size), and package send then
// chooses an upstream and forwards the call.
//
// A node is ready once it has a manifest and the instance records. On SIGTERM or SIGINT it becomes
// unready, serves until the platform's load balancer has taken it out, refuses new requests after
// that, and exits when the requests in flight have ended or the grace period is over.
package edge
