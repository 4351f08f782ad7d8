// Package flood tests a node against callers outside the limits of the platform: the real command, run as a process on loopback
// addresses, under a load that made it run out of memory or descriptors.
//
// The tests check only that the process lives, that its memory and its open descriptors stay under their bounds, and that an
// ordinary request is answered afterwards. Memory is the anonymous resident memory, without socket buffers. No test checks a time
// or a share of served requests, so that results do not depend on the speed of the machine. The load still needs the machine for
// itself: the tests run only if the environment variable HORNBEAMDYKE_FLOOD is set, one at a time (make flood).
package flood
