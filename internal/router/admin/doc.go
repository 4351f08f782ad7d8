// Package admin is the operators' API: health, metrics, and, under /admin/v1,
// commands and queries for operators with a key.
//
// Commands change something and need the Editor role; queries only read and
// need either role. The two are in files of their own.
package admin
