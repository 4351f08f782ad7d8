// Command hbstand runs a stand-in, a process that serves one fake of a system around the router, until
// it is killed: engine (an LLM inference engine), service (a plain HTTP service), store (the
// platform's metadata store) or vms (the VM list). The fakes are in the packages fakes and mock.
package main
