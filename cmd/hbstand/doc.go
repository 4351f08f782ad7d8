// Command hbstand runs one simulation of a system around the router until it is killed: engine (an
// LLM inference engine), service (a plain HTTP service), store (the platform's metadata store) or
// vms (the VM list).
package main
