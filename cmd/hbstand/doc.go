// Command hbstand runs one stand-in for what surrounds the router: engine,
// service, table, object or vms.
package main
