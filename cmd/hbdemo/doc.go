// Command hbdemo starts example deployments on this machine one after the other, shows how requests pass
// through each, and stops it again.
package main
