// Package send delivers a call to an upstream, with retries, and relays the
// response to the caller.
//
// An attempt is one try to send the call to one upstream. It ends as notSent
// (no byte was sent), rejected (the upstream states that it did not execute the
// call), unknown (the upstream may have executed it, but there is no usable
// response), interrupted (a stream failed after some of its events were
// relayed) or completed. What is retried depends on the router.RetryPolicy of
// the route:
//
//   - A call of any policy is retried after notSent and rejected.
//   - An Idempotent or Resumable call is also retried after unknown.
//   - A Resumable stream is also retried after interrupted; the new attempt
//     continues after the last event that was relayed to the caller.
//
// The route of a call bounds the number of its attempts, and a retry budget the
// retries of all calls of a service. Failed connects count for neither; they have
// a bound of their own. The outcome sent to the caller is router.NotRun only if
// every attempt ended as notSent or rejected.
//
// A crash of an upstream is reported to package guard. A request that crashed
// upstreams repeatedly is quarantined: it is refused without being sent.
package send
