package strict

import (
	"io"

	"github.com/go-faster/errors"
)

// ErrTooLarge is the error of ReadAll for more bytes than its limit.
var ErrTooLarge = errors.New("answer is too large")

// ReadAll reads to the end of an answer. It fails with ErrTooLarge if there are more bytes than the limit; an io.LimitReader would end as
// if the answer had ended there.
func ReadAll(rdr io.Reader, limit int) (txt []byte, err error) {
	txt, err = io.ReadAll(io.LimitReader(rdr, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(txt) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	return txt, nil
}
