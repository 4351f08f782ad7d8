// Package meter exports a node's request metrics in the Prometheus format.
//
// Meter records requests to pools, by class; Routes records requests on routes. An Observation also
// decides whether a request counts towards the service level objective (SLO) of its class and met it;
// package burn builds its report from Observations.
package meter
