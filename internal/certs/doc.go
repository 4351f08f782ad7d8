// Package certs is a private certificate authority for tests, benchmarks and
// example deployments. It issues short-lived X.509 certificates for mutual TLS
// between nodes.
package certs
