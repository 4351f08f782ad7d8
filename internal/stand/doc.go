// Package stand holds small stand-ins for what surrounds the router: model
// engines, plain services, the table service, the object store and the VM list.
//
// Each is an http.Handler that speaks the published protocol of the real thing
// as far as the router uses it. Faults are switched by a POST of Faults to
// /control. A stand-in counts what it executed, so a test can judge the router
// without asking it.
package stand
