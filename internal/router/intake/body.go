package intake

import (
	"context"
	"io"

	"github.com/go-faster/errors"
)

// firstBuffer is the memory that a body takes before any of it has arrived, in bytes.
const firstBuffer = 16 << 10

// Read reads a body to its end into a buffer that is counted in the hold, whose capacity doubles with the bytes that arrive.
// length is the announced length, negative if it is unknown. The error is ErrShed, ErrStalled, that of the context or that of
// the source.
func (hol *Hold) Read(ctx context.Context, src io.Reader, length int64) (buf []byte, err error) {
	for {
		if len(buf) == cap(buf) {
			if buf, err = hol.enlarge(ctx, buf, length); err != nil {
				return nil, err
			}
		}
		num, err := src.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+num]
		if num > 0 {
			hol.Progress()
		}
		switch {
		case errors.Is(err, io.EOF):
			hol.Watch(false)
			return buf, nil
		case err != nil && hol.Err() != nil:
			return nil, hol.Err()
		case err != nil:
			return nil, err
		}
	}
}

// enlarge returns a larger buffer with the same content.
func (hol *Hold) enlarge(ctx context.Context, buf []byte, length int64) (res []byte, err error) {
	size := int64(max(firstBuffer, 2*cap(buf)))
	if length >= int64(len(buf)) {
		// One more byte than the body has room for the read that returns its end.
		size = min(size, length+1)
	}
	if err := hol.Grow(ctx, size); err != nil {
		return nil, err
	}
	res = make([]byte, len(buf), size)
	copy(res, buf)
	hol.Shrink(int64(cap(buf)))
	return res, nil
}
