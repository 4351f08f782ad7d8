// Package certs issues short-lived certificates of a private authority, for
// demonstrations and tests.
package certs
