// Package vmlist reads the platform's VM list in the Prometheus HTTP
// service-discovery format.
//
// Each target group has the labels role, name and state, where state is live
// or leaving. The list lags behind what is true.
package vmlist
