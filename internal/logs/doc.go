// Package logs makes the structured log: JSON lines with Pascal-case keys.
package logs
