package revise

import (
	"context"
	"fmt"
	"strconv"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	headKey        = "config/head"
	revisionPrefix = "config/revision/"
	changePrefix   = "config/change/"
	// maxTries is how often a change is sent when the store does not answer.
	maxTries = 3
)

// Conflict reports that a change was made against a revision that is not the head.
type Conflict struct {
	Head uint64
	Base uint64
}

// Error names both revisions.
func (cfl *Conflict) Error() string {
	return fmt.Sprintf("the change was made against revision %d, and the head is %d", cfl.Base, cfl.Head)
}

// ErrUncertain reports that the store did not answer, so the change may have been accepted; it can be sent again.
var ErrUncertain = errors.New("the store did not answer; send the change again with the same identifier")

// Store keeps the revisions in the table service.
type Store struct {
	table router.Table
}

// NewStore returns a Store.
func NewStore(tab router.Table) *Store {
	return &Store{table: tab}
}

// Head returns the highest revision's number, 0 if there is none, or router.ErrUnavailable.
func (sto *Store) Head(ctx context.Context) (num uint64, err error) {
	hed, _, err := sto.head(ctx)
	return hed.GetNumber(), err
}

// Get returns a revision, router.ErrMissing or router.ErrUnavailable.
func (sto *Store) Get(ctx context.Context, num uint64) (rev *wire.Revision, err error) {
	defer fault.Annotatef(&err, "read revision %d", num)
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

// Accept makes a change the next revision after base and returns its number.
//
// The error is a *Conflict, ErrUncertain, or router.ErrUnavailable when it is
// certain that nothing was written.
func (sto *Store) Accept(ctx context.Context, rev *wire.Revision, base uint64) (num uint64, err error) {
	defer fault.Annotatef(&err, "accept change %s", rev.GetChange())
	for try := 0; ; try++ {
		num, err = sto.try(ctx, rev, base)
		if !errors.Is(err, router.ErrUnavailable) {
			return num, err
		}
		if try+1 >= maxTries {
			return 0, errors.Join(ErrUncertain, err)
		}
	}
}

// try sends the transaction once, unless the change is accepted already.
func (sto *Store) try(ctx context.Context, rev *wire.Revision, base uint64) (num uint64, err error) {
	num, err = sto.accepted(ctx, rev.GetChange())
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
	wrs, err := transaction(rev, base, ver)
	if err != nil {
		return 0, err
	}
	err = sto.table.Put(ctx, wrs...)
	if errors.Is(err, router.ErrCondition) {
		return sto.afterCondition(ctx, rev, base)
	}
	return base + 1, err
}

// afterCondition tells whether the condition failed because of another change or of this one, sent before.
func (sto *Store) afterCondition(ctx context.Context, rev *wire.Revision, base uint64) (num uint64, err error) {
	num, err = sto.accepted(ctx, rev.GetChange())
	if err != nil || num > 0 {
		return num, err
	}
	hed, _, err := sto.head(ctx)
	if err != nil {
		return 0, err
	}
	return 0, &Conflict{Head: hed.GetNumber(), Base: base}
}

// accepted returns the revision that a change became, or 0.
func (sto *Store) accepted(ctx context.Context, change string) (num uint64, err error) {
	hed := &wire.Head{}
	err = sto.read(ctx, changePrefix+change, hed)
	if errors.Is(err, router.ErrMissing) {
		return 0, nil
	}
	return hed.GetNumber(), err
}

// transaction returns the writes that make a change the revision after base.
func transaction(rev *wire.Revision, base uint64, ver string) (wrs []router.Write, err error) {
	rev = proto.CloneOf(rev)
	rev.Number = base + 1
	hed := &wire.Head{Number: rev.GetNumber(), Change: rev.GetChange()}
	for _, one := range []struct {
		key, expect string
		msg         proto.Message
	}{
		{headKey, ver, hed},
		{revisionKey(rev.GetNumber()), "", rev},
		{changePrefix + rev.GetChange(), "", hed},
	} {
		val, err := proto.Marshal(one.msg)
		if err != nil {
			return nil, err
		}
		row := router.Row{Key: one.key, Version: headVersion(hed), Value: val}
		wrs = append(wrs, router.Write{Row: row, IfVersion: one.expect})
	}
	return wrs, nil
}

func (sto *Store) head(ctx context.Context) (hed *wire.Head, ver string, err error) {
	defer fault.Annotate(&err, "read head")
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

func (sto *Store) read(ctx context.Context, key string, msg proto.Message) error {
	row, err := sto.table.Get(ctx, key)
	if err != nil {
		return err
	}
	return proto.Unmarshal(row.Value, msg)
}

// headVersion is the row version of everything that one accepted change writes.
func headVersion(hed *wire.Head) string {
	return strconv.FormatUint(hed.GetNumber(), 10) + "/" + hed.GetChange()
}

func revisionKey(num uint64) string {
	return revisionPrefix + strconv.FormatUint(num, 10)
}
