// Package load drives a deployment with an open loop of seeded requests and
// measures what their callers see.
//
// A Scenario says how each class's load changes with time, as a share of what
// the engines can do, and which faults strike when. Arrivals do not wait for
// answers. Every answer is compared with the one that its own prompt must
// produce, so a wrong, cut or swapped answer counts as missed.
package load
