// Command hbfault strikes an example deployment with seeded faults and judges
// its promises; it first shows that they break without their protection.
package main
