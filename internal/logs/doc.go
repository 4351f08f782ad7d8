// Package logs writes structured logs as JSON lines with keys in Pascal case.
//
// New returns the logger. Sink decouples it from its output, so that a slow or stalled reader of the
// log cannot block a request; lines that do not fit into the buffer are dropped and counted.
package logs
