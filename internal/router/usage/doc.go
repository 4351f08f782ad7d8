// Package usage counts the requests that upstreams began to execute, by workspace and usage window, and reports the counts of the
// fleet to the platform.
//
// Windows are numbered by the wall clock: the number of a window is its start in Unix time divided by the length of a window. Each
// node counts in memory (Counter) and sends copies of its counts to two other nodes, which keep them in case it ends.
//
// The node that holds the fleet's duties (router.DutyLease) collects the counts of all nodes after the end of a window and composes
// the report. The report is final once it is stored in the row usage/WINDOW, which is written before the first send on the
// condition that the node still holds the duties. Whoever holds the duties after that sends exactly the stored report. The row
// usage/era states the era of the store in which the rows were written and the first window that may be composed in it: when the
// store is restored from an older copy, rows of reports that were sent may be missing, and windows that ended before the restore are
// not composed again.
package usage
