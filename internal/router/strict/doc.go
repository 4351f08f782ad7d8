// Package strict fails HTTP/1 responses that package net/http accepts although they are malformed.
//
// A Conn is a client's connection. It checks the bytes of a response's head as they arrive, before package net/http parses
// them, because some defects cannot be seen afterwards. Its user calls Begin before each request, which tells it that a head
// comes next; the bytes after a head are not checked. A read that meets a defect fails, so that the response ends with an error
// and the outcome of the request is unknown.
//
// A body without a length or chunks ends with its connection. A Conn tells an end in order from a reset that the system reported to a
// write of the request.
//
// Heads are bounded in bytes and in fields, and the memory of a long one can be reserved before it is parsed. Body checks what comes
// after the last chunk of a body in chunks. ReadAll reads a body up to a limit, beyond which it fails.
//
// Transport makes an http.Transport use such connections. Since http.Transport closes a connection when a write fails, there the
// end of the connection is left to the read, which gets a response that has arrived before.
package strict
