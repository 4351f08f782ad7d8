// Command hbdemo starts example deployments on this machine, shows a request's
// whole path through each, and stops them again.
package main
