// Package guard quarantines requests that crash the upstreams that run them.
//
// A request is identified by a digest of its content. When an upstream crashes,
// the crash is recorded against every request that it was running, because it
// is not known which one caused it; these requests become suspects. A suspect
// that later completes is cleared. A suspect with a configured number of
// crashes is quarantined: it is refused and not run again. The scheduler in
// package sched never runs two suspects of a node on one upstream, so that an
// innocent request does not share the second crash of the one that caused the
// first.
//
// A part of a prompt may be what crashes upstreams, in requests that are all different. A crash makes those parts suspect that
// requests share, of the requests that the upstream had not begun to answer: it crashes when it begins. An upstream
// that begins to answer a request with a part clears that part of all crashes before. The parts that explain most of
// the crashes are quarantined.
//
// The nodes send each other the crashes that they record and the parts that they clear, because the caller may
// repeat the request at any node. Crashes expire and are not persisted. Once they
// are lost, a request can cause no more than the configured number of further
// crashes before it is quarantined again.
package guard
