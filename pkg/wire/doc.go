// Package wire holds the messages that nodes exchange and the records that they
// keep in the platform's stores, generated from wire.proto.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto
