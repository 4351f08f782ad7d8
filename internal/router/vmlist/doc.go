// Package vmlist reads the platform's list of VMs, which is published in the Prometheus HTTP
// service-discovery format.
//
// Each target group has the labels role, name and state; the state is live or leaving (about to be
// shut down). The list is eventually consistent: it can miss new VMs and still show stopped ones.
package vmlist
