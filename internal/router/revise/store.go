package revise

import (
	"context"
	"fmt"
	"strconv"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	headKey        = "config/head"
	revisionPrefix = "config/revision/"
	changePrefix   = "config/change/"
	// maxTries bounds how often Accept tries a change while the table service does not answer.
	maxTries = 3
)

// Conflict reports that the base of a change is not the head.
type Conflict struct {
	// Head is the number of the highest revision, Base that of the revision that the change was made against.
	Head uint64
	Base uint64
}

// Error returns a message with both revision numbers.
func (cfl *Conflict) Error() string {
	return fmt.Sprintf("the change was made against revision %d, and the head is %d", cfl.Base, cfl.Head)
}

// ErrUncertain reports that the table service did not answer, so the change may have been accepted.
// The client can send it again.
var ErrUncertain = errors.New("the store did not answer; send the change again with the same identifier")

// Store keeps the revisions in the table service.
type Store struct {
	table router.Table
}

// NewStore returns a Store on a table.
func NewStore(tab router.Table) *Store {
	return &Store{table: tab}
}

// Head returns the number of the highest revision, 0 if there is none, or router.ErrUnavailable.
func (sto *Store) Head(ctx context.Context) (num uint64, err error) {
	hed, _, err := sto.head(ctx)
	return hed.GetNumber(), err
}

// Get returns the revision of a number, router.ErrMissing or router.ErrUnavailable.
func (sto *Store) Get(ctx context.Context, num uint64) (rev *wire.Revision, err error) {
	defer errs.Annotatef(&err, "read revision %d", num)
	rev = &wire.Revision{}
	return rev, sto.read(ctx, revisionKey(num), rev)
}

// Latest returns the highest revision, router.ErrMissing or router.ErrUnavailable.
func (sto *Store) Latest(ctx context.Context) (rev *wire.Revision, err error) {
	num, err := sto.Head(ctx)
	if err != nil {
		return nil, err
	}
	if num == 0 {
		return nil, router.ErrMissing
	}
	return sto.Get(ctx, num)
}

// Accept stores a change as the revision after base and returns that revision's number.
//
// A change that was accepted before gets the same number again. Otherwise, the
// error is a *Conflict if base is not the head, or ErrUncertain if the table
// service does not answer after maxTries.
func (sto *Store) Accept(ctx context.Context, rev *wire.Revision, base uint64) (num uint64, err error) {
	defer errs.Annotatef(&err, "accept change %s", rev.GetChange())
	for try := 0; ; try++ {
		num, err = sto.tryAccept(ctx, rev, base)
		if !errors.Is(err, router.ErrUnavailable) {
			return num, err
		}
		if try+1 >= maxTries {
			return 0, errors.Join(ErrUncertain, err)
		}
	}
}

// tryAccept sends the transaction once, unless the change was accepted already.
func (sto *Store) tryAccept(ctx context.Context, rev *wire.Revision, base uint64) (num uint64, err error) {
	num, err = sto.acceptedNumber(ctx, rev.GetChange())
	if err != nil || num > 0 {
		return num, err
	}
	hed, ver, err := sto.head(ctx)
	if err != nil {
		return 0, err
	}
	if hed.GetNumber() != base {
		return 0, &Conflict{Head: hed.GetNumber(), Base: base}
	}
	wrs, err := acceptWrites(rev, base, ver)
	if err != nil {
		return 0, err
	}
	err = sto.table.Put(ctx, wrs...)
	if errors.Is(err, router.ErrCondition) {
		return sto.resolveFailedCondition(ctx, rev, base)
	}
	return base + 1, err
}

// resolveFailedCondition returns the revision's number if an earlier try of this change was accepted, and a
// *Conflict if another change was.
func (sto *Store) resolveFailedCondition(ctx context.Context, rev *wire.Revision, base uint64) (num uint64, err error) {
	num, err = sto.acceptedNumber(ctx, rev.GetChange())
	if err != nil || num > 0 {
		return num, err
	}
	hed, _, err := sto.head(ctx)
	if err != nil {
		return 0, err
	}
	return 0, &Conflict{Head: hed.GetNumber(), Base: base}
}

// acceptedNumber returns the number of the revision that a change became, or 0 if it was not accepted.
func (sto *Store) acceptedNumber(ctx context.Context, change string) (num uint64, err error) {
	hed := &wire.Head{}
	err = sto.read(ctx, changePrefix+change, hed)
	if errors.Is(err, router.ErrMissing) {
		return 0, nil
	}
	return hed.GetNumber(), err
}

// acceptWrites returns the writes that store a change as the revision after base; ver is the head's row version.
func acceptWrites(rev *wire.Revision, base uint64, ver string) (wrs []router.Write, err error) {
	rev = proto.CloneOf(rev)
	rev.Number = base + 1
	hed := &wire.Head{Number: rev.GetNumber(), Change: rev.GetChange()}
	for _, wri := range []struct {
		key, ifVersion string
		msg            proto.Message
	}{
		{headKey, ver, hed},
		{revisionKey(rev.GetNumber()), "", rev},
		{changePrefix + rev.GetChange(), "", hed},
	} {
		val, err := proto.Marshal(wri.msg)
		if err != nil {
			return nil, err
		}
		row := router.Row{Key: wri.key, Version: rowVersion(hed), Value: val}
		wrs = append(wrs, router.Write{Row: row, IfVersion: wri.ifVersion})
	}
	return wrs, nil
}

// head returns the head and its row version, or an empty head and "" if there is no row.
func (sto *Store) head(ctx context.Context) (hed *wire.Head, ver string, err error) {
	defer errs.Annotate(&err, "read head")
	row, err := sto.table.Get(ctx, headKey)
	if errors.Is(err, router.ErrMissing) {
		return &wire.Head{}, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	hed = &wire.Head{}
	return hed, row.Version, proto.Unmarshal(row.Value, hed)
}

// read decodes the row of a key into msg.
func (sto *Store) read(ctx context.Context, key string, msg proto.Message) error {
	row, err := sto.table.Get(ctx, key)
	if err != nil {
		return err
	}
	return proto.Unmarshal(row.Value, msg)
}

// rowVersion returns the version of all rows that one accepted change writes.
func rowVersion(hed *wire.Head) string {
	return strconv.FormatUint(hed.GetNumber(), 10) + "/" + hed.GetChange()
}

func revisionKey(num uint64) string {
	return revisionPrefix + strconv.FormatUint(num, 10)
}
