// Package audit checks a manifest before it is sent to the platform.
//
// Check finds entries that can never match and limits that contradict each other; Compare finds what differs from
// another manifest. Both name an Entry, a part of a manifest, whose position in the operators' text the caller
// finds.
//
// A finding is an error if calls are certain to be refused or lost to their owner because of it, or if its bounds
// cannot hold. All other findings are warnings.
package audit
