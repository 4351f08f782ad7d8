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
// Body checks what comes after the last chunk of a body in chunks.
//
// Transport makes an http.Transport use such connections.
package strict
