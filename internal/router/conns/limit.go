package conns

import (
	"io"

	"github.com/go-faster/errors"
)

// maxHeadBytes bounds the bytes from the start of a response to the end of its header, informational responses included.
const maxHeadBytes = 64 << 10

// errHeadTooLong reports a response whose header did not end within maxHeadBytes.
var errHeadTooLong = errors.Errorf("response header exceeds %d bytes", maxHeadBytes)

// limitedReader limits what is read from a connection while a header is read, because package net/http does not.
type limitedReader struct {
	source io.Reader
	// limited is set while left, the number of bytes that may still be read, applies.
	limited bool
	left    int
}

// Read implements io.Reader.
func (lim *limitedReader) Read(buf []byte) (num int, err error) {
	if !lim.limited {
		return lim.source.Read(buf)
	}
	if lim.left <= 0 {
		return 0, errHeadTooLong
	}
	num, err = lim.source.Read(buf[:min(len(buf), lim.left)])
	lim.left -= num
	return num, err
}
