package edge

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// dutyRows is a store of one row, whose values it keeps.
type dutyRows struct {
	calls  int
	values []string
}

func (rws *dutyRows) List(context.Context, string) (all []router.StoredRow, era int64, err error) {
	rws.calls++
	if num := len(rws.values); num > 0 {
		all = []router.StoredRow{{Key: "lease", Value: []byte(rws.values[num-1]), Version: int64(num)}}
	}
	return all, 1, nil
}

func (rws *dutyRows) Transact(_ context.Context, _ int64, wrs ...router.RowWrite) (version int64, err error) {
	rws.calls++
	rws.values = append(rws.values, string(wrs[0].Value))
	return int64(len(rws.values)), nil
}

// dutyCalls records the lease that the calls check.
type dutyCalls struct {
	router.DutyCaller

	lease router.DutyLease
}

func (cal *dutyCalls) SetLease(les router.DutyLease) { cal.lease = les }

// TestDutyParts guards against a node that calls the store for duties which its settings do not enable, acts before its start, or keeps
// the lease when it stops.
func TestDutyParts(t *testing.T) {
	cases := map[string]struct {
		address string
		calls   int
	}{
		"disabled": {"", 0},
		// A read, the acquisition and the release.
		"enabled": {"127.0.0.1:1", 3},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			tms := timer.NewManual(time.Unix(1e9, 0))
			rws, cal := &dutyRows{}, &dutyCalls{}
			nod := New(Options{
				Settings: conf.Node{Name: "node", FailureDomain: "here", Platform: conf.Platform{
					Duties: conf.Duties{Address: cas.address, LeaseMilliseconds: 3.6e6},
				}},
				Timers: tms, Log: slog.New(slog.DiscardHandler), Source: fakes.NewRecordStore(), Codec: fakes.Codec{}, Dialect: fakes.Dialect{},
				Rows: rws, Duties: cal,
			})
			tms.Advance(time.Second)
			if rws.calls != 0 || (cal.lease != nil) != (cas.calls > 0) {
				t.Fatalf("%d calls before the start, lease %v", rws.calls, cal.lease)
			}
			nod.duties.start()
			tms.Advance(time.Second)
			nod.duties.stop()
			tms.Advance(time.Minute)
			if rws.calls != cas.calls {
				t.Errorf("%d calls, want %d", rws.calls, cas.calls)
			}
			if num := len(rws.values); num > 0 && !strings.Contains(rws.values[num-1], `"Released":true`) {
				t.Errorf("left the row %s", rws.values[num-1])
			}
		})
	}
}
