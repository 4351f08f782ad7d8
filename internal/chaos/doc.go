// Package chaos strikes a running deployment with seeded faults and judges what
// its services executed against what its callers were told.
//
// The judge reads the services' own journals and never asks the router. A
// fault counts only when it was seen to have landed: a killed process is gone,
// a stopped one does not answer, a store that is down refuses.
package chaos
